/**
 * What a slot costs the leader in memory and in the log: a service is opened,
 * and all of its slots are granted by one entry, as an instance applies it.
 */
import {applyEntry} from '@dogwooddeck/control/apply';
import {encodeCommands} from '@dogwooddeck/control/command';
import {type ControlState, emptyControl, encodeControl} from '@dogwooddeck/control/state';
import {PartitionPolicy} from '@dogwooddeck/model/contract';

/** What slots cost at one size. */
export type SlotMemory = {
	readonly slots: number;
	/** Of the control state, for the slots. */
	readonly heapBytes: number;
	/** The length of the entry that grants them all. */
	readonly entryCharacters: number;
	/** The length of a snapshot. */
	readonly snapshotCharacters: number;
};

/** Reads the bytes of the heap that are in use after a collection. */
export type HeapReader = () => number;

/** The sizes that are measured. */
export const slotMemorySizes: readonly number[] = [256, 4096, 16_384, 65_536];

const service = 'team/service';
const upstreams = 4;

function grantEntry(slots: number): string {
	const owners = Array.from({length: upstreams}, (_, number) => ({service, name: `upstream-${number}`, incarnation: 1}));
	const grants = Array.from({length: slots}, (_, slot) => ({slot, owner: owners[slot % upstreams]!}));
	return encodeCommands([{kind: 'assignmentsGranted', service, grants}]);
}

function opened(slots: number): ControlState {
	const open = encodeCommands([{
		kind: 'serviceOpened', service, slots, policy: {whenCut: PartitionPolicy.hold, longestDeadlineMilliseconds: 1000},
	}]);
	return applyEntry(emptyControl, open, 1).state;
}

function granted(slots: number, entry: string): ControlState {
	const {state} = applyEntry(opened(slots), entry, 2);
	return state;
}

/** Measures one size. */
export function measureSlotMemory(slots: number, heap: HeapReader): SlotMemory {
	const entry = grantEntry(slots);
	const before = heap();
	const state = granted(slots, entry);
	const heapBytes = heap() - before;
	return {
		slots, heapBytes, entryCharacters: entry.length, snapshotCharacters: encodeControl(state).length,
	};
}
