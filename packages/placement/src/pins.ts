/**
 * Which hot keys are split out of their slots, so that they can move alone,
 * and which go back.
 */
import {AssignmentPhase, type PinnedKey} from '@dogwooddeck/model/assignment';
import {sameUpstream, type Slot, type UpstreamIdentity} from '@dogwooddeck/model/identifiers';
import {
	type Book, rateOf, scoreOf, type Shelf,
} from './book.js';
import {type HotKey, type PlacementInput} from './input.js';
import {type PlacementPolicy} from './policy.js';
import {
	MoveReason, type PlannedMove, type PlannedPin, type PlannedUnpin,
} from './proposal.js';

/** A slot whose other keys have less than this part of its load moves as a whole. */
export const leastRemainder = 0.1;

/** What is planned for hot keys. */
export type PinPlan = {
	readonly pins: readonly PlannedPin[];
	readonly unpins: readonly PlannedUnpin[];
	readonly moves: readonly PlannedMove[];
};

function ownersBySlot(input: PlacementInput): ReadonlyMap<Slot, UpstreamIdentity> {
	return new Map(input.assignments.assignments.flatMap(assignment =>
		assignment.phase === AssignmentPhase.granted ? [[assignment.slot, assignment.owner]] : []));
}

function isWorthPinning(book: Book, policy: PlacementPolicy, shelf: Shelf | undefined, hot: HotKey): boolean {
	return shelf !== undefined
		&& hot.rate > policy.pinShare * book.loadPerCapacity
		&& scoreOf(book, shelf) > policy.balanceTrigger
		&& rateOf(book.input, hot.home) - hot.rate > leastRemainder * rateOf(book.input, hot.home);
}

function choosePins(input: PlacementInput, book: Book, policy: PlacementPolicy): readonly PlannedPin[] {
	const room = policy.mostPinned - input.assignments.pinned.length;
	const pinned = new Set(input.assignments.pinned.map(pin => pin.key));
	const owners = ownersBySlot(input);
	return input.hotKeys
		.filter(hot => !pinned.has(hot.key) && owners.has(hot.home))
		.toSorted((one, other) => (other.rate - one.rate) || (one.key < other.key ? -1 : 1))
		.filter(hot => isWorthPinning(book, policy, book.shelves.find(shelf => shelf.slots.has(hot.home)), hot))
		.slice(0, Math.max(0, room))
		.map(({key, home}) => ({key, home}));
}

function isCool(book: Book, policy: PlacementPolicy, pin: PinnedKey): boolean {
	return rateOf(book.input, pin.slot) < policy.unpinShare * book.loadPerCapacity;
}

/** Plans pins, and the way back for pinned keys that are no longer hot: first to their slot's owner, then into the slot. */
export function planPins(input: PlacementInput, book: Book, policy: PlacementPolicy): PinPlan {
	const owners = ownersBySlot(input);
	const unpins: PlannedUnpin[] = [];
	const moves: PlannedMove[] = [];
	for (const pin of input.assignments.pinned.filter(pin => isCool(book, policy, pin))) {
		const owner = owners.get(pin.slot);
		const homeOwner = owners.get(pin.home);
		if (owner === undefined || homeOwner === undefined) {
			continue;
		}

		if (sameUpstream(owner, homeOwner)) {
			unpins.push({key: pin.key, slot: pin.slot});
		} else if (book.shelves.some(shelf => sameUpstream(shelf.identity, homeOwner))) {
			moves.push({
				slot: pin.slot, from: owner, to: homeOwner, reason: MoveReason.unpin,
			});
		}
	}

	return {pins: choosePins(input, book, policy), unpins, moves};
}
