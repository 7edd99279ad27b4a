/**
 * A timer for work whose due time may change with each event. It waits for the
 * due time instead of polling.
 */
import {type Milliseconds, type MonotonicTime} from '@dogwooddeck/model/identifiers';
import {monotonicNow} from './monotonic.js';

/** A timer that runs its work when it is due. */
export type DueTimer = {
	/** Computes the due time again after an event. The current wait may become shorter, never longer, so that a flood of events can't delay the work. */
	readonly arm: () => void;
	/** Stops the timer; the work isn't run again. */
	readonly stop: () => void;
};

/** The work that a timer runs. */
export type DueWork = {
	/** Returns when the work is due next. In the past: it is due now. Infinity: not before the next event. */
	readonly dueAt: (now: MonotonicTime) => MonotonicTime;
	readonly run: () => void;
};

/** The shortest wait, so that work that is always due leaves the event loop time for other tasks. */
export const minimumWaitMilliseconds: Milliseconds = 5;
/** The longest wait, so that neither a clock jump nor a missed event delays the work for long. */
export const maximumWaitMilliseconds: Milliseconds = 250;

/** Starts a timer. It is rearmed after each run. */
export function startDueTimer({dueAt, run}: DueWork): DueTimer {
	let timer: NodeJS.Timeout | undefined;
	let nextRunAt = Infinity;
	let isStopped = false;

	function arm(): void {
		const now = monotonicNow();
		const runAt = Math.min(now + maximumWaitMilliseconds, Math.max(now + minimumWaitMilliseconds, dueAt(now)));
		if (isStopped || nextRunAt <= runAt) {
			return;
		}

		clearTimeout(timer);
		nextRunAt = runAt;
		timer = setTimeout(fire, Math.ceil(runAt - now));
	}

	function fire(): void {
		nextRunAt = Infinity;
		run();
		arm();
	}

	arm();
	return {
		arm,
		stop() {
			isStopped = true;
			clearTimeout(timer);
		},
	};
}
