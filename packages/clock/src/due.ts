/**
 * A timer for work whose next due moment changes with each event: it waits for
 * that moment in place of asking again and again.
 */
import {type Milliseconds, type MonotonicTime} from '@dogwooddeck/model/identifiers';
import {monotonicNow} from './monotonic.js';

/** A timer that runs its work when it is due. */
export type DueTimer = {
	/** Something happened: the moment is asked for anew. A wait is cut short by it and never drawn out, so that a flood of events can't hold the work up. */
	readonly arm: () => void;
	/** Nothing runs any more. */
	readonly stop: () => void;
};

/** What a timer runs. */
export type DueWork = {
	/** When the work is due next. In the past: now. Infinite: not before something happens. */
	readonly dueAt: (now: MonotonicTime) => MonotonicTime;
	readonly run: () => void;
};

/** The shortest wait, so that work which stays due takes no more than a part of the loop. */
export const leastWaitMilliseconds: Milliseconds = 5;
/** The longest wait, so that no clock's jump and no forgotten event holds the work up for long. */
export const longestWaitMilliseconds: Milliseconds = 250;

/** Starts a timer. It is armed anew after each run. */
export function startDueTimer({dueAt, run}: DueWork): DueTimer {
	let timer: NodeJS.Timeout | undefined;
	let armedFor = Infinity;
	let isStopped = false;

	function arm(): void {
		const now = monotonicNow();
		const at = Math.min(now + longestWaitMilliseconds, Math.max(now + leastWaitMilliseconds, dueAt(now)));
		if (isStopped || armedFor <= at) {
			return;
		}

		clearTimeout(timer);
		armedFor = at;
		timer = setTimeout(fire, Math.ceil(at - now));
	}

	function fire(): void {
		armedFor = Infinity;
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
