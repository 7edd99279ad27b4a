/**
 * The working table of one plan: what each upstream owns and would own. It is
 * made for one call of the planner and updated in place, unlike its input.
 */
import {
	type Assignment, AssignmentPhase, assignmentsInUse, type PinnedKey,
} from '@dogwooddeck/model/assignment';
import {
	incarnationKey, type RegionName, sameUpstream, type Slot, type UpstreamIdentity,
} from '@dogwooddeck/model/identifiers';
import {identityOf, UpstreamPhase, type UpstreamRecord} from '@dogwooddeck/model/registry';
import {type PlacementInput, type PlacementUpstream} from './input.js';
import {type PlacementPolicy} from './policy.js';

/** An upstream that may be granted slots, and what it owns. */
export type Shelf = {
	readonly identity: UpstreamIdentity;
	readonly region: RegionName;
	/** How much of a full share it may carry, from just above 0 to 1. */
	readonly capacity: number;
	readonly slots: Set<Slot>;
	/** Requests a second. */
	load: number;
	/** Slots but for those of pinned keys. */
	count: number;
};

/** The working table. */
export type Book = {
	readonly policy: PlacementPolicy;
	readonly shelves: readonly Shelf[];
	readonly contractSlots: number;
	readonly loadPerCapacity: number;
	readonly countPerCapacity: number;
	readonly input: PlacementInput;
	/** Slots whose owner went away, which are vacant or in revocation. */
	homeless: number;
};

/** Warm-up times after which a new upstream counts as warm whatever it carried. */
const warmUpsAtMost = 4;

/** The smoothed requests a second of a slot. */
export function rateOf(input: PlacementInput, slot: Slot): number {
	return input.loads.slots[slot] ?? 0;
}

/** Whether the record's upstream may own slots of the service. */
export function mayOwn(input: PlacementInput, record: UpstreamRecord): boolean {
	const {zones} = input.contract.upstream;
	return record.phase === UpstreamPhase.serving && (zones.length === 0 || zones.includes(record.zone));
}

/** The assignments that exist: those of the contract's slots and of pinned keys. */
export function liveAssignments({assignments, contract}: PlacementInput): readonly Assignment[] {
	return assignmentsInUse(assignments, contract.slots);
}

function capacityOf(input: PlacementInput, policy: PlacementPolicy, upstream: PlacementUpstream, fairLoad: number): number {
	const warmUp = input.contract.upstream.warmUpMilliseconds;
	const age = upstream.joinedAt === undefined ? Number.POSITIVE_INFINITY : input.now - upstream.joinedAt;
	if (age >= warmUp * warmUpsAtMost || fairLoad === 0) {
		return 1;
	}

	const byTime = policy.coldShare + ((1 - policy.coldShare) * Math.min(1, age / Math.max(1, warmUp)));
	const carried = (input.loads.answered[incarnationKey(upstream.record)] ?? 0) / fairLoad;
	return Math.min(1, byTime, policy.coldShare + (policy.coldGrowth * carried));
}

function toShelf(input: PlacementInput, policy: PlacementPolicy, upstream: PlacementUpstream, fairLoad: number): Shelf {
	return {
		identity: identityOf(upstream.record),
		region: upstream.record.region,
		capacity: Math.max(0.01, capacityOf(input, policy, upstream, fairLoad)),
		slots: new Set(),
		load: 0,
		count: 0,
	};
}

/** Opens the table: upstreams that may be granted slots, with what they own now. */
export function openBook(input: PlacementInput, policy: PlacementPolicy): Book {
	const owners = input.upstreams
		.filter(({record}) => mayOwn(input, record) && !input.unreachableZones.includes(record.zone))
		.toSorted((one, other) => (one.record.name < other.record.name ? -1 : 1));
	const total = Object.values(input.loads.slots).reduce((sum, rate) => sum + rate, 0);
	const shelves = owners.map(upstream => toShelf(input, policy, upstream, total / owners.length));
	const capacity = Math.max(0.01, shelves.reduce((sum, shelf) => sum + shelf.capacity, 0));
	const book: Book = {
		policy, shelves, contractSlots: input.contract.slots, loadPerCapacity: total / capacity, countPerCapacity: input.contract.slots / capacity, input, homeless: 0,
	};
	const byName = new Map(shelves.map(shelf => [shelf.identity.name, shelf]));
	for (const assignment of liveAssignments(input)) {
		const shelf = assignment.phase === AssignmentPhase.granted ? byName.get(assignment.owner.name) : undefined;
		if (shelf !== undefined && assignment.phase === AssignmentPhase.granted && sameUpstream(shelf.identity, assignment.owner)) {
			put(book, shelf, assignment.slot);
		}
	}

	return book;
}

/** Gives a slot to an upstream in the table. */
export function put(book: Book, shelf: Shelf, slot: Slot): void {
	shelf.slots.add(slot);
	shelf.load += rateOf(book.input, slot);
	shelf.count += countOf(book, slot);
}

/** Takes a slot from an upstream in the table. */
export function take(book: Book, shelf: Shelf, slot: Slot): void {
	shelf.slots.delete(slot);
	shelf.load -= rateOf(book.input, slot);
	shelf.count -= countOf(book, slot);
}

/** Whether a slot is a pinned key's own. */
export function isPinned(book: Book, slot: Slot): boolean {
	return slot >= book.contractSlots;
}

/** Whether a pinned key is no longer hot and should go back to its slot. */
export function isCool(book: Book, pin: PinnedKey): boolean {
	return rateOf(book.input, pin.slot) < book.policy.unpinShare * book.loadPerCapacity;
}

/** The upstream for a slot without an owner: for a pinned key that cooled down its slot's owner, and else the cheapest. */
export function shelfFor(book: Book, slot: Slot): Shelf | undefined {
	const pin = isPinned(book, slot) ? book.input.assignments.pinned.find(pinned => pinned.slot === slot) : undefined;
	const home = pin !== undefined && isCool(book, pin) ? book.shelves.find(shelf => shelf.slots.has(pin.home)) : undefined;
	return home ?? cheapest(book, slot);
}

/** A pinned key counts for its load alone. */
export function countOf(book: Book, slot: Slot): number {
	return isPinned(book, slot) ? 0 : 1;
}

/** What an upstream would have as a multiple of its fair share, with so much more load and so many more slots. */
export function scoreOf(book: Book, shelf: Shelf, moreLoad = 0, moreCount = 0): number {
	const countScore = (shelf.count + moreCount) / (shelf.capacity * book.countPerCapacity);
	if (book.loadPerCapacity === 0) {
		return countScore;
	}

	const loadScore = (shelf.load + moreLoad) / (shelf.capacity * book.loadPerCapacity);
	return (book.policy.loadWeight * loadScore) + ((1 - book.policy.loadWeight) * countScore);
}

/** The score of an upstream if it were given a slot as well. */
export function scoreWith(book: Book, shelf: Shelf, slot: Slot): number {
	return scoreOf(book, shelf, rateOf(book.input, slot), countOf(book, slot));
}

/** The part of a slot's requests that come in at other regions than `region`; 0 when nothing is known. */
export function remoteShareOf(input: PlacementInput, slot: Slot, region: RegionName): number {
	const rates = Object.entries(input.loads.origins).map(([origin, bySlot]) => ({origin, rate: bySlot[slot] ?? 0}));
	const total = rates.reduce((sum, {rate}) => sum + rate, 0);
	const remote = rates.filter(({origin}) => origin !== region).reduce((sum, {rate}) => sum + rate, 0);
	return total === 0 ? 0 : remote / total;
}

/** The upstream that costs least with a slot: the least loaded, but for the price of the link between regions. */
export function cheapest(book: Book, slot: Slot, excluded?: Shelf): Shelf | undefined {
	let best: Shelf | undefined;
	let bestCost = Number.POSITIVE_INFINITY;
	const remote = new Map<RegionName, number>();
	for (const shelf of book.shelves) {
		const share = remote.get(shelf.region) ?? remoteShareOf(book.input, slot, shelf.region);
		remote.set(shelf.region, share);
		const cost = scoreWith(book, shelf, slot) + (book.policy.remoteWeight * share);
		if (shelf !== excluded && cost < bestCost) {
			best = shelf;
			bestCost = cost;
		}
	}

	return best;
}
