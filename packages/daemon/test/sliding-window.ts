/** The strict check of sliding windows in schedules. */
import {type Milliseconds, type MonotonicTime} from '@dogwooddeck/model/identifiers';

/** The most times that lie within any stretch of a length; the times are in their order. */
export function mostInSliding(times: readonly MonotonicTime[], stretch: Milliseconds): number {
	let first = 0;
	let most = 0;
	for (const [position, at] of times.entries()) {
		while (times[first]! <= at - stretch) {
			first++;
		}

		most = Math.max(most, position - first + 1);
	}

	return most;
}
