/**
 * Plans which upstream should own which slot, and which moves are worth their
 * cost. The plan is a function of its input alone: equal inputs give equal plans.
 */
import {type MonotonicTime} from '@dogwooddeck/model/identifiers';
import {planBalance} from './balance.js';
import {type WorkingPlan, createWorkingPlan} from './working-plan.js';
import {refillBudget} from './budget.js';
import {type PlacementInput, type PlacementState} from './input.js';
import {planPins, withPinnedRates} from './pins.js';
import {type PlacementPolicy, placementPolicies} from './policy.js';
import {type PlacementPlan} from './proposal.js';
import {grantVacant, planForcedMoves} from './recovery.js';

/** Creates the placement state of a leader that starts now. */
export function createPlacement(now: MonotonicTime): PlacementState {
	return {
		tokens: 0, refilledAt: now, isBalancing: false, movedAt: {},
	};
}

/** Returns the policy of an input: its own, or the one for the contract's weight. */
export function policyOf(input: PlacementInput): PlacementPolicy {
	return input.policy ?? placementPolicies[input.contract.weigh];
}

function isFailureBurst(input: PlacementInput, plan: WorkingPlan, policy: PlacementPolicy): boolean {
	const flappingShare = input.flapping / Math.max(1, plan.owners.length);
	const unownedShare = plan.unownedSlots / Math.max(1, input.contract.slots);
	return flappingShare > policy.failureBurstShare || unownedShare > policy.failureBurstShare;
}

/** Plans grants of vacant slots, moves off upstreams that are lost, leaving or no longer allowed to own slots, and optional moves that even out loads. */
export function planPlacement(given: PlacementInput): PlacementPlan {
	const input = given.assignments.pinned.length === 0 ? given : withPinnedRates(given);
	const policy = policyOf(input);
	const workingPlan = createWorkingPlan(input, policy);
	const state = refillBudget(input.state, policy, input.now);
	const forced = planForcedMoves(input, workingPlan);
	const grants = grantVacant(input, workingPlan);
	if (isFailureBurst(input, workingPlan, policy)) {
		return {
			grants, moves: forced, pins: [], unpins: [], state,
		};
	}

	const {pins, unpins, moves: unpinMoves} = planPins(input, workingPlan, policy, new Set(forced.map(({slot}) => slot)));
	const balance = planBalance(input, workingPlan, state, new Set([...forced, ...unpinMoves, ...unpins].map(({slot}) => slot)));
	return {
		grants, moves: [...forced, ...unpinMoves, ...balance.moves], pins, unpins, state: balance.state,
	};
}
