/**
 * The budget of optional moves: one token bucket per service.
 */
import {type MonotonicTime} from '@dogwooddeck/model/identifiers';
import {type PlacementState} from './input.js';
import {type PlacementPolicy} from './policy.js';

const millisecondsPerMinute = 60_000;

/** The cost, in tokens, of moving a slot without load. */
export const idleMoveCost = 0.05;

/** The cost, in tokens, of moving a pinned key: only one key is briefly without an owner, not all keys of a slot. */
export const pinnedMoveCost = 0.1;

/** Adds the tokens for the time since the last plan, up to those of one minute, and drops moves whose cooldown has ended. */
export function refillBudget(state: PlacementState, policy: PlacementPolicy, now: MonotonicTime): PlacementState {
	const elapsed = Math.max(0, now - state.refilledAt);
	const tokens = Math.min(policy.movesPerMinute, state.tokens + (elapsed * policy.movesPerMinute / millisecondsPerMinute));
	const cooling = Object.entries(state.movedAt).filter(([, movedAt]) => now - movedAt < policy.cooldownMilliseconds);
	return {
		...state, tokens, refilledAt: Math.max(now, state.refilledAt), movedAt: Object.fromEntries(cooling),
	};
}
