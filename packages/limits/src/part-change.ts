/**
 * When a divider may hand out a part of a limit whose contract changed. A part
 * that grows while the rest of the limit shrinks grows by what other dividers
 * handed out before: it waits until their shares are remembered by no window.
 */
import {type Milliseconds, type MonotonicTime} from '@dogwooddeck/model/identifiers';
import {type LimitPart} from './reserve.js';

/** A divider's part of a limit, for all callers. */
export type PartState = {
	/** What may be handed out before `growsAt`. */
	readonly amountBefore: number;
	readonly amount: number;
	/** What belongs to other dividers. */
	readonly rest: number;
	readonly growsAt: MonotonicTime;
	/** Before this, an earlier divider's shares may be in force: holders keep at most what they hold. */
	readonly freeAt: MonotonicTime;
};

/** The part as a divider sees it first. */
export function createPart({limit, amount}: LimitPart, now: MonotonicTime, freeAt: MonotonicTime): PartState {
	return {
		amountBefore: amount, amount, rest: limit.amount - amount, growsAt: now, freeAt,
	};
}

/** What may be handed out now. */
export function amountNow({amountBefore, amount, growsAt}: PartState, now: MonotonicTime): number {
	return now < growsAt ? Math.min(amountBefore, amount) : amount;
}

/** The part under the contract of now; where it grows at the cost of other dividers, they have `settlingMilliseconds` to shrink theirs. */
export function changePart(state: PartState, {limit, amount}: LimitPart, now: MonotonicTime, settlingMilliseconds: Milliseconds): PartState {
	const rest = limit.amount - amount;
	if (amount === state.amount && rest === state.rest) {
		return state;
	}

	const before = amountNow(state, now);
	const takesOver = amount > before && rest < state.rest;
	const growsAt = takesOver ? now + settlingMilliseconds : Math.max(state.growsAt, now);
	return {
		...state, amountBefore: before, amount, rest, growsAt,
	};
}
