/**
 * The latencies of the last answers of one service at one instance, and their
 * quantiles. Memory is fixed: a histogram that forgets would take tens of
 * kilobytes a service, which is much for an instance of 200 MB with many services.
 */
import {type Milliseconds} from '@dogwooddeck/model/identifiers';

/** The number of answers that are remembered. */
const capacity = 128;

/** The number of answers before there is a quantile. */
const minimumAnswers = 20;

/** The sorted copy is renewed after this many answers. */
const answersBetweenSorts = 8;

/** The latencies of the last answers. It is on the request path, so it is updated in place. */
export class RecentLatency {
	readonly #latencies = new Float64Array(capacity);
	#sorted = new Float64Array(0);
	#count = 0;
	#countWhenSorted = 0;

	/** Records the latency of an answer. */
	record(latency: Milliseconds): void {
		this.#latencies[this.#count % capacity] = latency;
		this.#count += 1;
	}

	/** Returns the latency that a share of the answers did not exceed, for a share between 0 and 1; undefined while there are few answers. */
	quantile(share: number): Milliseconds | undefined {
		if (this.#count < minimumAnswers) {
			return undefined;
		}

		if (this.#sorted.length === 0 || this.#count - this.#countWhenSorted >= answersBetweenSorts) {
			this.#sorted = this.#latencies.slice(0, Math.min(this.#count, capacity)).sort();
			this.#countWhenSorted = this.#count;
		}

		return this.#sorted[Math.min(this.#sorted.length - 1, Math.floor(share * this.#sorted.length))];
	}
}
