/**
 * Bounds how many lines of one kind are written: a burst, and then a rate.
 */
import {type MonotonicTime} from '@dogwooddeck/model/identifiers';

/** A budget of lines. It is updated in place: it is on the request path. */
export class LineBudget {
	readonly #perSecond: number;
	#left: number;
	#at: MonotonicTime = 0;
	#dropped = 0;

	/** `perSecond` lines a second, and as many at once. */
	constructor(perSecond: number) {
		this.#perSecond = perSecond;
		this.#left = perSecond;
	}

	/** Whether a line may be written now. One that may not is counted. */
	take(now: MonotonicTime): boolean {
		this.#left = Math.min(this.#perSecond, this.#left + ((now - this.#at) * this.#perSecond / 1000));
		this.#at = now;
		if (this.#left < 1) {
			this.#dropped += 1;
			return false;
		}

		this.#left -= 1;
		return true;
	}

	/** The lines that were left out since the last call. */
	takeDropped(): number {
		const dropped = this.#dropped;
		this.#dropped = 0;
		return dropped;
	}
}
