/**
 * The mutable working copy on which a plan is computed: the slots that each
 * upstream owns and would own, with its load and score. It is created for one
 * call of the planner and updated in place, unlike the planner's input.
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

/** An upstream that may be granted slots, with its slots and load. */
export type OwnerLoad = {
	readonly identity: UpstreamIdentity;
	readonly region: RegionName;
	/** The fraction of a full share that it may carry, above 0 and at most 1. */
	readonly capacity: number;
	readonly slots: Set<Slot>;
	/** In requests per second. */
	load: number;
	/** The number of slots, without those of pinned keys. */
	count: number;
};

/** The working copy that one plan is computed on. */
export type WorkingPlan = {
	readonly policy: PlacementPolicy;
	readonly owners: readonly OwnerLoad[];
	readonly contractSlots: number;
	readonly loadPerCapacity: number;
	readonly countPerCapacity: number;
	readonly input: PlacementInput;
	/** The number of slots whose owner was lost, leaves or may no longer own them, or that are vacant or being revoked. */
	unownedSlots: number;
};

/** The number of warm-up times after which a new upstream counts as warm, whatever load it carried. */
const maxWarmUpPeriods = 4;

/** Returns the smoothed requests per second of a slot. */
export function rateOf(input: PlacementInput, slot: Slot): number {
	return input.loads.slots[slot] ?? 0;
}

/** Whether the upstream of a record may own slots of the service. */
export function mayOwn(input: PlacementInput, record: UpstreamRecord): boolean {
	const {zones} = input.contract.upstream;
	return record.phase === UpstreamPhase.serving && (zones.length === 0 || zones.includes(record.zone));
}

/** Returns the assignments in use: those of the contract's slots and of pinned keys. */
export function liveAssignments({assignments, contract}: PlacementInput): readonly Assignment[] {
	return assignmentsInUse(assignments, contract.slots);
}

function capacityOf(input: PlacementInput, policy: PlacementPolicy, upstream: PlacementUpstream, fairLoad: number): number {
	const warmUp = input.contract.upstream.warmUpMilliseconds;
	const age = upstream.joinedAt === undefined ? Number.POSITIVE_INFINITY : input.now - upstream.joinedAt;
	if (age >= warmUp * maxWarmUpPeriods || fairLoad === 0) {
		return 1;
	}

	const byTime = policy.coldShare + ((1 - policy.coldShare) * Math.min(1, age / Math.max(1, warmUp)));
	const carried = (input.loads.answered[incarnationKey(upstream.record)] ?? 0) / fairLoad;
	return Math.min(1, byTime, policy.coldShare + (policy.coldGrowth * carried));
}

function createOwnerLoad(input: PlacementInput, policy: PlacementPolicy, upstream: PlacementUpstream, fairLoad: number): OwnerLoad {
	return {
		identity: identityOf(upstream.record),
		region: upstream.record.region,
		capacity: Math.max(0.01, capacityOf(input, policy, upstream, fairLoad)),
		slots: new Set(),
		load: 0,
		count: 0,
	};
}

/** Creates the working plan: the upstreams that may be granted slots, with the slots that they own now. */
export function createWorkingPlan(input: PlacementInput, policy: PlacementPolicy): WorkingPlan {
	const candidates = input.upstreams
		.filter(({record}) => mayOwn(input, record) && !input.unreachableZones.includes(record.zone))
		.toSorted((one, other) => (one.record.name < other.record.name ? -1 : 1));
	const total = Object.values(input.loads.slots).reduce((sum, rate) => sum + rate, 0);
	const owners = candidates.map(upstream => createOwnerLoad(input, policy, upstream, total / candidates.length));
	const capacity = Math.max(0.01, owners.reduce((sum, owner) => sum + owner.capacity, 0));
	const plan: WorkingPlan = {
		policy, owners, contractSlots: input.contract.slots, loadPerCapacity: total / capacity, countPerCapacity: input.contract.slots / capacity, input, unownedSlots: 0,
	};
	const byName = new Map(owners.map(owner => [owner.identity.name, owner]));
	for (const assignment of liveAssignments(input)) {
		const owner = assignment.phase === AssignmentPhase.granted ? byName.get(assignment.owner.name) : undefined;
		if (owner !== undefined && assignment.phase === AssignmentPhase.granted && sameUpstream(owner.identity, assignment.owner)) {
			assignSlot(plan, owner, assignment.slot);
		}
	}

	return plan;
}

/** Assigns a slot to an upstream in the working plan. */
export function assignSlot(plan: WorkingPlan, owner: OwnerLoad, slot: Slot): void {
	owner.slots.add(slot);
	owner.load += rateOf(plan.input, slot);
	owner.count += countOf(plan, slot);
}

/** Removes a slot from an upstream in the working plan. */
export function unassignSlot(plan: WorkingPlan, owner: OwnerLoad, slot: Slot): void {
	owner.slots.delete(slot);
	owner.load -= rateOf(plan.input, slot);
	owner.count -= countOf(plan, slot);
}

/** Whether a slot belongs to a pinned key. */
export function isPinned(plan: WorkingPlan, slot: Slot): boolean {
	return slot >= plan.contractSlots;
}

/** Whether a pinned key is no longer hot and should return to its slot. */
export function isNoLongerHot(plan: WorkingPlan, pin: PinnedKey): boolean {
	return rateOf(plan.input, pin.slot) < plan.policy.unpinShare * plan.loadPerCapacity;
}

/** Returns the upstream for a slot without an owner: the owner of the home slot for a pinned key that is no longer hot, and otherwise the cheapest upstream. */
export function ownerFor(plan: WorkingPlan, slot: Slot): OwnerLoad | undefined {
	const pin = isPinned(plan, slot) ? plan.input.assignments.pinned.find(pinned => pinned.slot === slot) : undefined;
	const homeOwner = pin !== undefined && isNoLongerHot(plan, pin) ? plan.owners.find(owner => owner.slots.has(pin.home)) : undefined;
	return homeOwner ?? cheapestOwner(plan, slot);
}

/** Returns what a slot adds to the slot count. A pinned key adds only its load. */
export function countOf(plan: WorkingPlan, slot: Slot): number {
	return isPinned(plan, slot) ? 0 : 1;
}

/** Returns the weighted load and slot count of an upstream as a multiple of its fair share, with `moreLoad` and `moreCount` added. */
export function scoreOf(plan: WorkingPlan, owner: OwnerLoad, moreLoad = 0, moreCount = 0): number {
	const countScore = (owner.count + moreCount) / (owner.capacity * plan.countPerCapacity);
	if (plan.loadPerCapacity === 0) {
		return countScore;
	}

	const loadScore = (owner.load + moreLoad) / (owner.capacity * plan.loadPerCapacity);
	return (plan.policy.loadWeight * loadScore) + ((1 - plan.policy.loadWeight) * countScore);
}

/** Returns the score that an upstream would have with an additional slot. */
export function scoreWith(plan: WorkingPlan, owner: OwnerLoad, slot: Slot): number {
	return scoreOf(plan, owner, rateOf(plan.input, slot), countOf(plan, slot));
}

/** Returns the fraction of a slot's requests that arrive in regions other than `region`; 0 if no requests are recorded. */
export function remoteShareOf(input: PlacementInput, slot: Slot, region: RegionName): number {
	const rates = Object.entries(input.loads.origins).map(([origin, bySlot]) => ({origin, rate: bySlot[slot] ?? 0}));
	const total = rates.reduce((sum, {rate}) => sum + rate, 0);
	const remote = rates.filter(({origin}) => origin !== region).reduce((sum, {rate}) => sum + rate, 0);
	return total === 0 ? 0 : remote / total;
}

/** Returns the upstream with the lowest cost for a slot: its score with the slot, plus the cost of requests from other regions. */
export function cheapestOwner(plan: WorkingPlan, slot: Slot, excluded?: OwnerLoad): OwnerLoad | undefined {
	let best: OwnerLoad | undefined;
	let bestCost = Number.POSITIVE_INFINITY;
	const remote = new Map<RegionName, number>();
	for (const owner of plan.owners) {
		const share = remote.get(owner.region) ?? remoteShareOf(plan.input, slot, owner.region);
		remote.set(owner.region, share);
		const cost = scoreWith(plan, owner, slot) + (plan.policy.remoteWeight * share);
		if (owner !== excluded && cost < bestCost) {
			best = owner;
			bestCost = cost;
		}
	}

	return best;
}
