/** Exact check of sliding windows in simulated schedules. */
import {type Milliseconds, type MonotonicTime} from '@dogwooddeck/model/identifiers';

/** The maximum number of times within any interval of the given length. The times are in ascending order. */
export function maximumInSlidingWindow(times: readonly MonotonicTime[], windowLength: Milliseconds): number {
	let first = 0;
	let maximum = 0;
	for (const [position, at] of times.entries()) {
		while (times[first]! <= at - windowLength) {
			first++;
		}

		maximum = Math.max(maximum, position - first + 1);
	}

	return maximum;
}
