/**
 * Delta encoding of lists with one item for each slot. Items that are equal but
 * for the slot form a group, which holds the common fields once and the slots as
 * differences from one to the next. An owner is therefore written once instead of
 * for each of its slots, and after decoding its slots share one object.
 */
import {type Slot} from '@dogwooddeck/model/identifiers';
import {type JsonRecord, isRecord} from '@dogwooddeck/model/json-record';

/** The slots of items that share all other fields. */
export type SlotGroup<Common> = {
	readonly common: Common;
	/** The first slot, then the difference of each slot from the one before it. */
	readonly steps: readonly number[];
};

type Slotted = {readonly slot: Slot};
type OpenGroup<Common> = {readonly common: Common; readonly steps: number[]; last: Slot};

/** Groups items. The groups are sorted by their smallest slot. */
export function groupSlots<Item extends Slotted>(items: readonly Item[]): ReadonlyArray<SlotGroup<Omit<Item, 'slot'>>> {
	const groups = new Map<string, OpenGroup<Omit<Item, 'slot'>>>();
	for (const {slot, ...common} of items.toSorted((one, other) => one.slot - other.slot)) {
		const key = JSON.stringify(common);
		const group = groups.get(key) ?? {common, steps: [], last: 0};
		groups.set(key, group);
		group.steps.push(slot - group.last);
		group.last = slot;
	}

	return [...groups.values()].map(({common, steps}) => ({common, steps}));
}

function isGroup(value: unknown): value is SlotGroup<JsonRecord> {
	return isRecord(value)
		&& isRecord(value.common)
		&& Array.isArray(value.steps)
		&& value.steps.every(step => Number.isSafeInteger(step));
}

function itemsOf({common, steps}: SlotGroup<JsonRecord>): ReadonlyArray<JsonRecord & Slotted> {
	let slot = 0;
	return steps.map(step => {
		slot += step;
		return {...common, slot};
	});
}

/** Returns the items of groups, sorted by slot; undefined if the value isn't a list of groups. */
export function ungroupSlots(value: unknown): ReadonlyArray<JsonRecord & Slotted> | undefined {
	return Array.isArray(value) && value.every(group => isGroup(group))
		? value.flatMap(group => itemsOf(group)).toSorted((one, other) => one.slot - other.slot)
		: undefined;
}
