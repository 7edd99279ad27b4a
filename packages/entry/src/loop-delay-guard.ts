/**
 * Defers work after a delayed turn of the event loop until closed connections are
 * noticed. Such a turn reads requests whose callers may have disconnected since; the
 * end of their connections is read only in the next turn.
 */
import {monotonicNow} from '@dogwooddeck/clock/monotonic';
import {type Milliseconds, type MonotonicTime} from '@dogwooddeck/model/identifiers';

/** The interval at which `recordTurn` is called when the loop isn't delayed. */
export const turnIntervalMilliseconds: Milliseconds = 10;

/** Shorter delays are ignored: nobody can distinguish callers that disconnect within them from others. */
const delayThresholdMilliseconds: Milliseconds = 100;

/** Measures the delay of the event loop. It is updated in place, as it is on the request path. */
export class LoopDelayGuard {
	#lastTurnAt: MonotonicTime = monotonicNow();
	#delay: Milliseconds = 0;

	/** Records a turn; called each `turnIntervalMilliseconds` by a timer. */
	recordTurn(): void {
		const now = monotonicNow();
		this.#delay = now - this.#lastTurnAt - turnIntervalMilliseconds;
		this.#lastTurnAt = now;
	}

	/** Calls back at once, or if the loop is delayed, after all input that has arrived by now is read. */
	afterPendingReads(callback: () => void): void {
		if (Math.max(this.#delay, monotonicNow() - this.#lastTurnAt) < delayThresholdMilliseconds) {
			callback();
			return;
		}

		// The first callback runs after this turn's reads, the second one after those of the next turn.
		setImmediate(() => {
			setImmediate(callback);
		});
	}
}
