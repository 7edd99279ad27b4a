/**
 * Admits requests under a rate limit at one instance. The instance's share of
 * the limit may change at any time; it is 0 for an instance that holds no share.
 *
 * Sliding window: any period of `burst` intervals admits at most `burst` times the share.
 * Fixed window: a window admits the share plus what earlier windows left unused,
 * in total up to `burst` times the share.
 */
import {WindowForm} from '@dogwooddeck/model/contract';
import {type Milliseconds, type MonotonicTime, type WallTime} from '@dogwooddeck/model/identifiers';
import {windowMilliseconds, type EffectiveLimit} from './unit.js';

const slicesPerWindow = 64;

/** The use within one slice of a sliding window. Slices are numbered from the origin of the monotonic clock. */
type Slice = {readonly number: number; readonly used: number};

type FixedWindowUse = {
	/** The number of the window, counted from the Unix epoch. Never decreases, even if the wall clock is set back. */
	readonly number: number;
	readonly used: number;
	/** The use within the preceding window. */
	readonly usedInPreviousWindow: number;
	readonly carried: number;
	/** The smallest share during the window, which bounds the unused amount that it leaves to the next. */
	readonly minimumShare: number;
};

/** The recorded use of one limit. */
export type BucketState = {
	readonly limit: EffectiveLimit;
	readonly slices: readonly Slice[];
	readonly fixed: FixedWindowUse;
};

/** Whether a request is admitted, and if not, when it may be retried. */
export type Admission = {
	readonly state: BucketState;
	readonly admitted: boolean;
	/** 0 for an admitted request. */
	readonly retryAfterMilliseconds: Milliseconds;
};

/** Creates a bucket without recorded use. */
export function createBucket(limit: EffectiveLimit): BucketState {
	return {
		limit, slices: [], fixed: {
			number: -1, used: 0, usedInPreviousWindow: 0, carried: 0, minimumShare: 0,
		},
	};
}

function sliceMilliseconds(limit: EffectiveLimit): Milliseconds {
	return windowMilliseconds(limit) / slicesPerWindow;
}

/** The time at which a slice stops counting: a whole window after its end. */
function sliceExpiry(limit: EffectiveLimit, slice: Slice): MonotonicTime {
	return ((slice.number + 1) * sliceMilliseconds(limit)) + windowMilliseconds(limit);
}

function capacityFreeAt(limit: EffectiveLimit, slices: readonly Slice[], missing: number): MonotonicTime | undefined {
	let freed = 0;
	const last = slices.find(slice => {
		freed += slice.used;
		return freed >= missing;
	});
	return last === undefined ? undefined : sliceExpiry(limit, last);
}

function addToSlices(slices: readonly Slice[], number: number, cost: number): readonly Slice[] {
	const last = slices.at(-1);
	return last?.number === number
		? [...slices.slice(0, -1), {number, used: last.used + cost}]
		: [...slices, {number, used: cost}];
}

function admitSliding(state: BucketState, now: MonotonicTime, cost: number, share: number): Admission {
	const {limit} = state;
	const slices = state.slices.filter(slice => sliceExpiry(limit, slice) > now);
	const used = slices.reduce((sum, slice) => sum + slice.used, 0);
	const missing = used + cost - (share * limit.burst);
	if (missing <= 0) {
		const number = Math.floor(now / sliceMilliseconds(limit));
		return {state: {...state, slices: addToSlices(slices, number, cost)}, admitted: true, retryAfterMilliseconds: 0};
	}

	const freeAt = capacityFreeAt(limit, slices, missing) ?? now + windowMilliseconds(limit);
	return {state: {...state, slices}, admitted: false, retryAfterMilliseconds: Math.ceil(freeAt - now)};
}

function openWindow(state: BucketState, number: number, share: number): FixedWindowUse {
	const {limit, fixed} = state;
	if (number <= fixed.number) {
		return {...fixed, minimumShare: Math.min(fixed.minimumShare, share)};
	}

	const left = Math.max(0, fixed.carried + fixed.minimumShare - fixed.used);
	return {
		number, used: 0, usedInPreviousWindow: number === fixed.number + 1 ? fixed.used : 0, carried: Math.min(left, (limit.burst - 1) * share), minimumShare: share,
	};
}

function admitFixed(state: BucketState, now: WallTime, cost: number, share: number): Admission {
	const {limit} = state;
	const opened = openWindow(state, Math.floor(now / limit.intervalMilliseconds), share);
	const carried = Math.min(opened.carried, (limit.burst - 1) * share);
	const admitted = opened.used + cost <= share + carried;
	const fixed = {...opened, used: opened.used + (admitted ? cost : 0)};
	const nextAt = (opened.number + 1) * limit.intervalMilliseconds;
	return {state: {...state, fixed}, admitted, retryAfterMilliseconds: admitted ? 0 : Math.ceil(nextAt - now)};
}

/**
 * Admits or rejects a request that costs `cost` counted items. A cost of 0 records
 * a change of the share, which a fixed window with a burst has to take into account.
 */
export function admit(state: BucketState, nowWall: WallTime, nowMonotonic: MonotonicTime, cost: number, shareAmount: number): Admission {
	return state.limit.window === WindowForm.sliding
		? admitSliding(state, nowMonotonic, cost, shareAmount)
		: admitFixed(state, nowWall, cost, shareAmount);
}

function usedSliding({limit, slices}: BucketState, now: MonotonicTime): number {
	return slices.filter(slice => sliceExpiry(limit, slice) > now).reduce((sum, slice) => sum + slice.used, 0);
}

function usedFixed({limit, fixed}: BucketState, now: WallTime, skew: Milliseconds): number {
	const earliest = Math.floor((now - skew) / limit.intervalMilliseconds);
	const current = fixed.number >= earliest ? fixed.used : 0;
	return fixed.number > earliest ? Math.max(current, fixed.usedInPreviousWindow) : current;
}

/**
 * Returns the use within the last window, expressed as a share. An instance
 * reports it when its share shrinks. A fixed window that ended within the skew
 * of the wall clocks also counts.
 */
export function usedShare(state: BucketState, nowWall: WallTime, nowMonotonic: MonotonicTime, skewMilliseconds: Milliseconds): number {
	const used = state.limit.window === WindowForm.sliding ? usedSliding(state, nowMonotonic) : usedFixed(state, nowWall, skewMilliseconds);
	return used / state.limit.burst;
}
