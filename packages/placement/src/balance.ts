/**
 * Plans optional moves that even out the loads of upstreams, within the move
 * budget and with hysteresis.
 */
import {AssignmentPhase} from '@dogwooddeck/model/assignment';
import {type Slot} from '@dogwooddeck/model/identifiers';
import {
	type WorkingPlan, cheapestOwner, countOf, isPinned, assignSlot, rateOf, remoteShareOf, scoreOf, scoreWith, type OwnerLoad, unassignSlot,
} from './working-plan.js';
import {idleMoveCost, pinnedMoveCost} from './budget.js';
import {type PlacementInput, type PlacementState} from './input.js';
import {MoveReason, type PlannedMove} from './proposal.js';

type Candidate = {
	readonly slot: Slot;
	readonly from: OwnerLoad;
	readonly to: OwnerLoad;
	/** By how much the greater of the two scores decreases. */
	readonly gain: number;
};

/** The planned moves, and the state with the remaining budget. */
export type BalancePlan = {
	readonly moves: readonly PlannedMove[];
	readonly state: PlacementState;
};

function mostLoaded(plan: WorkingPlan): OwnerLoad | undefined {
	return plan.owners.reduce<OwnerLoad | undefined>((most, owner) => (most === undefined || scoreOf(plan, owner) > scoreOf(plan, most) ? owner : most), undefined);
}

function grantedSlots(input: PlacementInput): ReadonlySet<Slot> {
	return new Set(input.assignments.assignments.filter(({phase}) => phase === AssignmentPhase.granted).map(({slot}) => slot));
}

function gainOf(plan: WorkingPlan, from: OwnerLoad, to: OwnerLoad, slot: Slot): number {
	const after = Math.max(scoreOf(plan, from, -rateOf(plan.input, slot), -countOf(plan, slot)), scoreWith(plan, to, slot));
	return scoreOf(plan, from) - after;
}

function bestCandidate(plan: WorkingPlan, from: OwnerLoad, slots: readonly Slot[]): Candidate | undefined {
	let best: Candidate | undefined;
	for (const slot of slots) {
		const to = cheapestOwner(plan, slot, from);
		const gain = to === undefined ? 0 : gainOf(plan, from, to, slot);
		if (to !== undefined && gain > (best?.gain ?? 0)) {
			best = {
				slot, from, to, gain,
			};
		}
	}

	return best;
}

function moveCostOf(plan: WorkingPlan, slot: Slot): number {
	if (rateOf(plan.input, slot) === 0) {
		return idleMoveCost;
	}

	return isPinned(plan, slot) ? pinnedMoveCost : 1;
}

type BalanceRun = {
	readonly plan: WorkingPlan;
	readonly movable: Set<Slot>;
	readonly moves: PlannedMove[];
	tokens: number;
	costInProgress: number;
};

function movableSlots(run: BalanceRun, from: OwnerLoad): readonly Slot[] {
	return [...from.slots].filter(slot => run.movable.has(slot)).sort((one, other) => one - other);
}

/** Returns the best pinned key if its move gains enough or slots may not move, and otherwise the best slot. */
function chooseCandidate(run: BalanceRun, from: OwnerLoad, maySlotsMove: boolean): Candidate | undefined {
	const {plan} = run;
	const slots = movableSlots(run, from);
	const pinned = bestCandidate(plan, from, slots.filter(slot => isPinned(plan, slot)));
	if (!maySlotsMove || (pinned !== undefined && pinned.gain >= plan.policy.minimumGain)) {
		return pinned;
	}

	return bestCandidate(plan, from, slots.filter(slot => !isPinned(plan, slot)));
}

function applyMove(run: BalanceRun, {slot, from, to}: Candidate, reason: MoveReason): void {
	const cost = moveCostOf(run.plan, slot);
	run.tokens -= cost;
	run.costInProgress += cost;
	run.movable.delete(slot);
	unassignSlot(run.plan, from, slot);
	assignSlot(run.plan, to, slot);
	run.moves.push({
		slot, from: from.identity, to: to.identity, reason,
	});
}

function isAffordable(run: BalanceRun, slot: Slot): boolean {
	return run.costInProgress < run.plan.policy.maxConcurrentMoves && run.tokens >= moveCostOf(run.plan, slot);
}

/** Moves slots and pinned keys off the most loaded upstream until its score is low enough. Returns whether slots still have to move. */
function balance(run: BalanceRun, wasBalancing: boolean): boolean {
	const {plan} = run;
	const {balanceTrigger, balanceTarget, pinTrigger, minimumGain} = plan.policy;
	let isBalancing = wasBalancing;
	for (;;) {
		const from = mostLoaded(plan);
		const score = from === undefined ? 0 : scoreOf(plan, from);
		isBalancing = score > (isBalancing ? balanceTarget : balanceTrigger);
		const candidate = from !== undefined && score > pinTrigger ? chooseCandidate(run, from, isBalancing) : undefined;
		if (candidate === undefined || candidate.gain < minimumGain || !isAffordable(run, candidate.slot)) {
			return isBalancing;
		}

		applyMove(run, candidate, MoveReason.balance);
	}
}

/** Moves pinned keys towards the region that their requests come from, if an upstream there has capacity for them. */
function improveLocality(run: BalanceRun): void {
	const {plan} = run;
	for (const from of plan.owners) {
		for (const slot of movableSlots(run, from).filter(slot => isPinned(plan, slot) && isAffordable(run, slot))) {
			const to = cheapestOwner(plan, slot, from);
			const gain = to === undefined ? 0 : remoteShareOf(plan.input, slot, from.region) - remoteShareOf(plan.input, slot, to.region);
			if (to !== undefined && gain >= plan.policy.localityGain && scoreWith(plan, to, slot) <= plan.policy.pinTrigger) {
				applyMove(run, {
					slot, from, to, gain,
				}, MoveReason.locality);
			}
		}
	}
}

/** Plans optional moves. The working plan must already contain the outcome of all others. */
export function planBalance(input: PlacementInput, plan: WorkingPlan, state: PlacementState, excludedSlots: ReadonlySet<Slot>): BalancePlan {
	const revoking = input.assignments.assignments.filter(({phase}) => phase === AssignmentPhase.revoking);
	const run: BalanceRun = {
		plan,
		movable: new Set([...grantedSlots(input)].filter(slot => !excludedSlots.has(slot) && !Object.hasOwn(state.movedAt, slot))),
		moves: [],
		tokens: state.tokens,
		costInProgress: revoking.reduce((sum, {slot}) => sum + moveCostOf(plan, slot), 0),
	};
	const isBalancing = balance(run, state.isBalancing);
	improveLocality(run);
	const movedAt = {...state.movedAt, ...Object.fromEntries(run.moves.map(({slot}) => [slot, input.now]))};
	return {
		moves: run.moves, state: {
			...state, tokens: run.tokens, isBalancing, movedAt,
		},
	};
}
