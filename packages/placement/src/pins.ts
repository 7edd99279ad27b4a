/**
 * Plans which hot keys are pinned, that is split out of their slots so that they
 * can move alone, and which return to their slots.
 */
import {AssignmentPhase} from '@dogwooddeck/model/assignment';
import {sameUpstream, type Slot, type UpstreamIdentity} from '@dogwooddeck/model/identifiers';
import {
	type WorkingPlan, isNoLongerHot, remoteShareOf, scoreOf, type OwnerLoad,
} from './working-plan.js';
import {type HotKey, type PlacementInput} from './input.js';
import {type PlacementPolicy} from './policy.js';
import {
	MoveReason, type PlannedMove, type PlannedPin, type PlannedUnpin,
} from './proposal.js';

/** The planned changes of pinned keys. */
export type PinPlan = {
	readonly pins: readonly PlannedPin[];
	readonly unpins: readonly PlannedUnpin[];
	readonly moves: readonly PlannedMove[];
};

/**
 * Returns the input with loads in which the slot of a pinned key has at least the
 * key's own rate, as far as its home slot's rate covers it. Just after the split,
 * the key's smoothed rate is still counted in its home slot.
 */
export function withPinnedRates(input: PlacementInput): PlacementInput {
	const hotRates = new Map(input.hotKeys.map(({key, rate}) => [key, rate]));
	const rates: Record<Slot, number> = {};
	for (const {key, home, slot} of input.assignments.pinned) {
		const homeRate = rates[home] ?? input.loads.slots[home] ?? 0;
		const slotRate = input.loads.slots[slot] ?? 0;
		const missing = Math.min(homeRate, Math.max(0, (hotRates.get(key) ?? 0) - slotRate));
		rates[slot] = slotRate + missing;
		rates[home] = homeRate - missing;
	}

	return {...input, loads: {...input.loads, slots: {...input.loads.slots, ...rates}}};
}

function ownersBySlot(input: PlacementInput): ReadonlyMap<Slot, UpstreamIdentity> {
	return new Map(input.assignments.assignments.flatMap(assignment =>
		assignment.phase === AssignmentPhase.granted ? [[assignment.slot, assignment.owner]] : []));
}

function isWorthPinning(plan: WorkingPlan, policy: PlacementPolicy, owner: OwnerLoad | undefined, hot: HotKey): boolean {
	if (owner === undefined || hot.rate <= policy.pinShare * plan.loadPerCapacity) {
		return false;
	}

	const isFarAway = remoteShareOf(plan.input, hot.home, owner.region) >= (1 + policy.localityGain) / 2;
	return isFarAway || scoreOf(plan, owner) > policy.pinTrigger;
}

function choosePins(input: PlacementInput, plan: WorkingPlan, policy: PlacementPolicy): readonly PlannedPin[] {
	const room = policy.maxPinnedKeys - input.assignments.pinned.length;
	const pinned = new Set(input.assignments.pinned.map(pin => pin.key));
	const owners = ownersBySlot(input);
	return input.hotKeys
		.filter(hot => !pinned.has(hot.key) && owners.has(hot.home))
		.toSorted((one, other) => (other.rate - one.rate) || (one.key < other.key ? -1 : 1))
		.filter(hot => isWorthPinning(plan, policy, plan.owners.find(owner => owner.slots.has(hot.home)), hot))
		.slice(0, Math.max(0, room))
		.map(({key, home}) => ({key, home}));
}

/** Plans pins, and the return of pinned keys that are no longer hot: first to the owner of their home slot, then into that slot. */
export function planPins(input: PlacementInput, plan: WorkingPlan, policy: PlacementPolicy, excludedSlots: ReadonlySet<Slot>): PinPlan {
	const owners = ownersBySlot(input);
	const unpins: PlannedUnpin[] = [];
	const moves: PlannedMove[] = [];
	for (const pin of input.assignments.pinned.filter(pin => isNoLongerHot(plan, pin) && !excludedSlots.has(pin.slot) && !excludedSlots.has(pin.home))) {
		const owner = owners.get(pin.slot);
		const homeOwner = owners.get(pin.home);
		if (owner === undefined || homeOwner === undefined) {
			continue;
		}

		if (sameUpstream(owner, homeOwner)) {
			unpins.push({key: pin.key, slot: pin.slot});
		} else if (plan.owners.some(candidate => sameUpstream(candidate.identity, homeOwner))) {
			moves.push({
				slot: pin.slot, from: owner, to: homeOwner, reason: MoveReason.unpin,
			});
		}
	}

	return {pins: choosePins(input, plan, policy), unpins, moves};
}
