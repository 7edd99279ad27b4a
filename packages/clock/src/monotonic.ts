/**
 * The only module that reads the runtime's clocks. Tests pause and advance them
 * by mocking `performance.now` and `Date`.
 */
import {performance} from 'node:perf_hooks';
import {type Milliseconds, type MonotonicTime, type WallTime} from '@dogwooddeck/model/identifiers';

/** Reads the monotonic clock, the only one that leases are measured by. */
export function monotonicNow(): MonotonicTime {
	return performance.now();
}

/** Reads the wall clock. It may jump, so only records for people, fixed windows and comparisons with the starts that upstreams state use it. */
export function wallNow(): WallTime {
	return Date.now();
}

/** Reads how long the event loop has waited for events since the start, in milliseconds. */
export function loopIdleTime(): Milliseconds {
	return performance.eventLoopUtilization().idle;
}
