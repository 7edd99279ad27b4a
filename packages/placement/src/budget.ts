/**
 * The budget of optional moves: a token bucket for each service.
 */
import {type MonotonicTime} from '@dogwooddeck/model/identifiers';
import {type PlacementState} from './input.js';
import {type PlacementPolicy} from './policy.js';

const millisecondsPerMinute = 60_000;

/** A move of a slot without load costs this part of a token. */
export const idleMoveCost = 0.05;

/** A move of a pinned key costs this part of a token: one key is without an owner for a moment, not a slot's. */
export const pinnedMoveCost = 0.1;

/** Adds the tokens of the time since the last plan, up to those of one minute. */
export function refillBudget(state: PlacementState, policy: PlacementPolicy, now: MonotonicTime): PlacementState {
	const elapsed = Math.max(0, now - state.refilledAt);
	const tokens = Math.min(policy.movesPerMinute, state.tokens + (elapsed * policy.movesPerMinute / millisecondsPerMinute));
	const cooling = Object.entries(state.movedAt).filter(([, movedAt]) => now - movedAt < policy.cooldownMilliseconds);
	return {
		...state, tokens, refilledAt: Math.max(now, state.refilledAt), movedAt: Object.fromEntries(cooling),
	};
}
