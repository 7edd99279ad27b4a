/**
 * Determines when a divider may hand out its part of a limit whose contract
 * changed. A part that grows while the rest of the limit shrinks grows by what
 * other dividers handed out before: it waits until their shares no longer count
 * in any window.
 */
import {type Milliseconds, type MonotonicTime} from '@dogwooddeck/model/identifiers';
import {type LimitPart} from './reserve.js';

/** A divider's part of a limit, for all callers. */
export type PartState = {
	/** The most that may be handed out before `growsAt`. */
	readonly previousAmount: number;
	readonly amount: number;
	/** The part of the limit that belongs to other dividers. */
	readonly othersAmount: number;
	readonly growsAt: MonotonicTime;
	/** Until this time, shares of an earlier divider may be in force, and holders keep at most what they hold. */
	readonly earlierSharesEndAt: MonotonicTime;
};

/** Creates the state of a part that a divider divides for the first time. */
export function createPart({limit, amount}: LimitPart, now: MonotonicTime, earlierSharesEndAt: MonotonicTime): PartState {
	return {
		previousAmount: amount, amount, othersAmount: limit.amount - amount, growsAt: now, earlierSharesEndAt,
	};
}

/** Returns the amount that may be handed out now. */
export function availableAmount({previousAmount, amount, growsAt}: PartState, now: MonotonicTime): number {
	return now < growsAt ? Math.min(previousAmount, amount) : amount;
}

/** Updates the part to the current contract. If it grows at the expense of other dividers, they have `settlingMilliseconds` to shrink theirs. */
export function updatePart(state: PartState, {limit, amount}: LimitPart, now: MonotonicTime, settlingMilliseconds: Milliseconds): PartState {
	const othersAmount = limit.amount - amount;
	if (amount === state.amount && othersAmount === state.othersAmount) {
		return state;
	}

	const previousAmount = availableAmount(state, now);
	const growsAtOthersExpense = amount > previousAmount && othersAmount < state.othersAmount;
	const growsAt = growsAtOthersExpense ? now + settlingMilliseconds : Math.max(state.growsAt, now);
	return {
		...state, previousAmount, amount, othersAmount, growsAt,
	};
}
