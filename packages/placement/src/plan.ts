/**
 * Which upstream should own which slot, and when a move is worth it. The plan
 * is a function of its input alone, so that the same input gives the same plan.
 */
import {type MonotonicTime} from '@dogwooddeck/model/identifiers';
import {planBalance} from './balance.js';
import {type Book, openBook} from './book.js';
import {refillBudget} from './budget.js';
import {type PlacementInput, type PlacementState} from './input.js';
import {planPins, withPinnedRates} from './pins.js';
import {type PlacementPolicy, placementPolicies} from './policy.js';
import {type PlacementPlan} from './proposal.js';
import {grantVacant, planForcedMoves} from './recovery.js';

/** Placement of a leader that begins now. */
export function createPlacement(now: MonotonicTime): PlacementState {
	return {
		tokens: 0, refilledAt: now, isBalancing: false, movedAt: {},
	};
}

/** The policy that an input asks for. */
export function policyOf(input: PlacementInput): PlacementPolicy {
	return input.policy ?? placementPolicies[input.contract.weigh];
}

function isStorm(input: PlacementInput, book: Book, policy: PlacementPolicy): boolean {
	const flappingShare = input.flapping / Math.max(1, book.shelves.length);
	const homelessShare = book.homeless / Math.max(1, input.contract.slots);
	return flappingShare > policy.stormShare || homelessShare > policy.stormShare;
}

/** Plans grants for vacant slots, moves away from upstreams that go, and what brings loads nearer to each other. */
export function planPlacement(given: PlacementInput): PlacementPlan {
	const input = given.assignments.pinned.length === 0 ? given : withPinnedRates(given);
	const policy = policyOf(input);
	const book = openBook(input, policy);
	const state = refillBudget(input.state, policy, input.now);
	const forced = planForcedMoves(input, book);
	const grants = grantVacant(input, book);
	if (isStorm(input, book, policy)) {
		return {
			grants, moves: forced, pins: [], unpins: [], state,
		};
	}

	const {pins, unpins, moves: homing} = planPins(input, book, policy, new Set(forced.map(({slot}) => slot)));
	const balance = planBalance(input, book, state, new Set([...forced, ...homing, ...unpins].map(({slot}) => slot)));
	return {
		grants, moves: [...forced, ...homing, ...balance.moves], pins, unpins, state: balance.state,
	};
}
