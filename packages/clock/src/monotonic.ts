/**
 * The one place that reads the clocks of the runtime. Tests pause and advance
 * them by mocking `performance.now` and `Date`.
 */
import {performance} from 'node:perf_hooks';
import {type MonotonicTime, type WallTime} from '@dogwooddeck/model/identifiers';

/** Reads the monotonic clock. Leases are measured by it alone. */
export function monotonicNow(): MonotonicTime {
	return performance.now();
}

/** Reads the wall clock. It may jump: only records for people and fixed windows use it. */
export function wallNow(): WallTime {
	return Date.now();
}
