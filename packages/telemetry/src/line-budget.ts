/**
 * Limits the rate of log lines of one kind with a token bucket.
 */
import {type MonotonicTime} from '@dogwooddeck/model/identifiers';

/** A token bucket for log lines. It is mutable because it is on the request path. */
export class LineBudget {
	readonly #perSecond: number;
	#tokens: number;
	#refilledAt: MonotonicTime = 0;
	#dropped = 0;

	/** Allows `perSecond` lines a second, and a burst of the same size. */
	constructor(perSecond: number) {
		this.#perSecond = perSecond;
		this.#tokens = perSecond;
	}

	/** Consumes a token and returns true if a line may be written now; otherwise counts a dropped line. */
	take(now: MonotonicTime): boolean {
		this.#tokens = Math.min(this.#perSecond, this.#tokens + ((now - this.#refilledAt) * this.#perSecond / 1000));
		this.#refilledAt = now;
		if (this.#tokens < 1) {
			this.#dropped += 1;
			return false;
		}

		this.#tokens -= 1;
		return true;
	}

	/** Returns the number of lines dropped since the last call, and resets it. */
	takeDropped(): number {
		const dropped = this.#dropped;
		this.#dropped = 0;
		return dropped;
	}
}
