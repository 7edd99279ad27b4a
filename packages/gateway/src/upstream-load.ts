/**
 * What one entry instance learns about one upstream from its own requests: a
 * concurrency limit (additive increase, multiplicative decrease), the latency, the
 * failure rate, and a backoff after connection failures.
 *
 * Load patterns: an upstream that several instances share becomes full, and each
 * instance must reduce its load without coordination; an upstream becomes slow; an
 * upstream fails a part of its requests.
 */
import {type Milliseconds, type MonotonicTime} from '@dogwooddeck/model/identifiers';

/** What the outcome of an attempt indicates about the upstream. */
export const Signal = {
	/** It answered. */
	answered: 'answered',
	/** It answered with a failure that it caused itself. */
	failed: 'failed',
	/** It had no room. */
	full: 'full',
	/** The connection failed or was closed. */
	broken: 'broken',
	/** The attempt indicates nothing about the upstream. */
	none: 'none',
} as const;

export type Signal = (typeof Signal)[keyof typeof Signal];

/** The weight of a new sample in a moving average. The first samples of the latency weigh more, all of them equally, until an equal weight is below this one. */
const sampleWeight = 0.1;

/** The latency assumed before the first measurement. */
const initialLatencyMilliseconds: Milliseconds = 60;

/** The concurrency limit of an upstream that was not used yet. */
const initialConcurrencyLimit = 2;

const minConcurrencyLimit = 1;

/** Each answer raises the concurrency limit by this, divided by the limit. */
const additiveIncrease = 0.2;

/** The factor by which the concurrency limit is multiplied when the upstream is full or the connection breaks. */
const multiplicativeDecrease = 0.5;

/** The pause after the second consecutive broken connection; each further one doubles it. */
const minPauseMilliseconds: Milliseconds = 100;
const maxPauseMilliseconds: Milliseconds = 2000;

/** The load of one upstream. It is on the request path, so it is updated in place. */
export class UpstreamLoad {
	inFlight = 0;
	#concurrencyLimit = initialConcurrencyLimit;
	#latency = initialLatencyMilliseconds;
	#answers = 0;
	#failureShare = 0;
	#consecutiveBroken = 0;
	#pausedUntil = -Infinity;
	readonly #maxConcurrencyLimit: number;
	readonly #signalHandlers: Readonly<Record<Signal, (latency: Milliseconds, now: MonotonicTime) => void>> = {
		answered: latency => {
			this.#answers += 1;
			this.#latency += (latency - this.#latency) * Math.max(sampleWeight, 1 / (this.#answers + 1));
			this.#recordSuccess();
		},
		failed: () => {
			this.#failureShare += (1 - this.#failureShare) * sampleWeight;
			this.#consecutiveBroken = 0;
		},
		full: () => {
			this.#concurrencyLimit = Math.max(minConcurrencyLimit, this.#concurrencyLimit * multiplicativeDecrease);
			this.#failureShare += (1 - this.#failureShare) * sampleWeight;
		},
		broken: (_latency, now) => {
			this.#failureShare += (1 - this.#failureShare) * sampleWeight;
			this.#concurrencyLimit = Math.max(minConcurrencyLimit, this.#concurrencyLimit * multiplicativeDecrease);
			this.#pausedUntil = this.#consecutiveBroken === 0 ? now : now + Math.min(maxPauseMilliseconds, minPauseMilliseconds * (2 ** (this.#consecutiveBroken - 1)));
			this.#consecutiveBroken += 1;
		},
		none() {
			// Changes no estimate.
		},
	};

	/** `slots` is the number of requests that the upstream processes concurrently, for all instances together. */
	constructor(slots: number) {
		this.#maxConcurrencyLimit = slots + 1;
	}

	/** The smoothed latency of answers. */
	get latency(): Milliseconds {
		return this.#latency;
	}

	/** The smoothed share of attempts that failed. */
	get failureShare(): number {
		return this.#failureShare;
	}

	/** Whether one more request may be sent now. */
	hasRoom(now: MonotonicTime): boolean {
		return now >= this.#pausedUntil && this.inFlight < Math.floor(this.#concurrencyLimit);
	}

	/** The maximum number of requests in flight. */
	get concurrencyLimit(): number {
		return Math.floor(this.#concurrencyLimit);
	}

	/** Returns the expected wait of a request for this upstream with `ahead` others before it. */
	expectedWait(ahead: number, now: MonotonicTime): Milliseconds {
		return Math.max(0, this.#pausedUntil - now, ahead * this.#latency / this.#concurrencyLimit);
	}

	/** Records the outcome of an attempt. */
	record(signal: Signal, latency: Milliseconds, now: MonotonicTime): void {
		this.#signalHandlers[signal](latency, now);
	}

	#recordSuccess(): void {
		this.#failureShare -= this.#failureShare * sampleWeight;
		this.#consecutiveBroken = 0;
		this.#concurrencyLimit = Math.min(this.#maxConcurrencyLimit, this.#concurrencyLimit + (additiveIncrease / this.#concurrencyLimit));
	}
}
