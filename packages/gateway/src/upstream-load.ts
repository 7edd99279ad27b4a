/**
 * What one entry instance learns about one upstream from its own requests: a
 * concurrency limit (additive increase, multiplicative decrease), the latency, the
 * failure rate, and a backoff after connection failures.
 *
 * Load patterns: an upstream that several instances share becomes full, and each
 * instance must reduce its load without coordination; an upstream's queue is so long
 * that what waits in it misses its objective, or it never answers what its queue
 * can't hold, so that a rising latency is the only early sign; an upstream becomes
 * slow; an upstream fails a part of its requests; an upstream asked all instances for
 * a pause, and must not be full again as soon as they return.
 */
import {type Milliseconds, type MonotonicTime} from '@dogwooddeck/model/identifiers';
import {ToldLoad} from './told-load.js';

/** What the outcome of an attempt indicates about the upstream. */
export const Signal = {
	/** It answered. */
	answered: 'answered',
	/** It answered with a failure that it caused itself. */
	failed: 'failed',
	/** It had no room. */
	full: 'full',
	/** It did not answer before the deadline. */
	silent: 'silent',
	/** The connection failed or was closed. */
	broken: 'broken',
	/** Another upstream answered the request first; this one would have taken at least so long. */
	overtaken: 'overtaken',
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

/** The lowest limit after silence. Below 1, one request is sent at a time, with a pause after it: otherwise many instances with one request each would keep the queue full. */
const minSilentLimit = 0.5;

/** Each answer raises the concurrency limit by this, divided by the limit. */
const additiveIncrease = 0.2;

/** The factor by which the concurrency limit is multiplied when the upstream is full or the connection breaks. */
const multiplicativeDecrease = 0.5;

/** An answer that takes over this many times the uncontended latency has waited in the upstream's queue, and lowers the limit. */
const congestedRatio = 2;

/** An answer that takes at most this many times the uncontended latency raises the limit. */
const uncongestedRatio = 1.5;

/** The factor by which the limit is multiplied for congestion, at most once in the time that an answer takes. */
const congestionDecrease = 0.7;

/** The weight with which the uncontended latency follows a higher one, so that an upstream that stays slower isn't taken for congested. */
const uncontendedWeight = 0.005;

/** After this many answers the smoothed latency no longer depends on the assumed one. */
const minLatencySamples = 5;

/** An upstream that fails a larger share of attempts doesn't count as idle. */
const maxIdleFailureShare = 0.1;

/** The pause after the second consecutive broken connection; each further one doubles it. */
const minPauseMilliseconds: Milliseconds = 100;
const maxPauseMilliseconds: Milliseconds = 2000;

/** The factor by which the gap between requests is multiplied at each answer after a pause. */
const returnGapDecrease = 0.8;

/** The return from a pause ends once the gap is shorter than this share of the latency. */
const minReturnGapShare = 0.2;

/** The load of one upstream. It is on the request path, so it is updated in place. */
export class UpstreamLoad {
	inFlight = 0;
	/** What it tells in its answers; without effect if it tells nothing. */
	readonly told = new ToldLoad();
	#concurrencyLimit = initialConcurrencyLimit;
	#latency = initialLatencyMilliseconds;
	#lastLatency: Milliseconds = 0;
	#uncontendedLatency = Infinity;
	#decreasedAt = -Infinity;
	#answers = 0;
	#failureShare = 0;
	/** While this instance returns from a pause, one request is in flight at a time, with this gap after each; 0 otherwise. */
	#returnGap: Milliseconds = 0;
	/** When the pause that the upstream asked for ends, and after it the current gap. */
	#returnsAt: MonotonicTime = -Infinity;
	#consecutiveBroken = 0;
	#pausedUntil = -Infinity;
	readonly #maxConcurrencyLimit: number;
	readonly #signalHandlers: Readonly<Record<Signal, (latency: Milliseconds, now: MonotonicTime) => void>> = {
		answered: (latency, now) => {
			this.told.compare(latency, this.#latency, now);
			this.#recordLatency(latency);
			this.#recordSuccess(latency, now);
		},
		failed: () => {
			this.#recordFailure();
			this.#consecutiveBroken = 0;
		},
		full: (_latency, now) => {
			this.#decrease(multiplicativeDecrease, minConcurrencyLimit, now);
			this.#recordFailure();
		},
		silent: (_latency, now) => {
			this.#decrease(multiplicativeDecrease, minSilentLimit, now);
			this.#recordFailure();
			this.#consecutiveBroken = 0;
		},
		broken: (_latency, now) => {
			this.#recordFailure();
			this.#decrease(multiplicativeDecrease, minConcurrencyLimit, now);
			this.#pausedUntil = this.#consecutiveBroken === 0 ? now : now + Math.min(maxPauseMilliseconds, minPauseMilliseconds * (2 ** (this.#consecutiveBroken - 1)));
			this.#consecutiveBroken += 1;
		},
		overtaken: (latency, now) => {
			if (latency > this.#latency) {
				this.#recordLatency(latency);
				this.#decreaseIfCongested(latency, now);
			}
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

	/** The latency to expect where a late answer does harm: the smoothed one, or that of the last answer if it took longer. */
	get cautiousLatency(): Milliseconds {
		return Math.max(this.#latency, this.#lastLatency);
	}

	/** Whether the latency was measured, and isn't just assumed. */
	get isMeasured(): boolean {
		return this.#answers > 0;
	}

	/** The smoothed share of attempts that failed. */
	get failureShare(): number {
		return this.#failureShare;
	}

	/** Whether answers take clearly longer than without contention. */
	get isCongested(): boolean {
		return this.#latency > this.#uncontendedLatency * uncongestedRatio;
	}

	/** Whether this instance has no request in flight, and no sign that the upstream is busy or failing. */
	get isIdle(): boolean {
		return this.inFlight === 0 && !this.isCongested && this.#failureShare < maxIdleFailureShare;
	}

	/** Whether one more request may be sent now. */
	hasRoom(now: MonotonicTime): boolean {
		return now >= this.#pausedUntil && now >= this.#returnsAt && this.inFlight < this.concurrencyLimit;
	}

	/** The maximum number of requests in flight. */
	get concurrencyLimit(): number {
		return this.#returnGap > 0 ? 1 : Math.max(1, Math.floor(this.#concurrencyLimit));
	}

	/** Sends no request before `at`, and from then on one at a time with a gap after it, at first `gap`, that becomes shorter with each answer. */
	returnSlowly(at: MonotonicTime, gap: Milliseconds): void {
		this.#returnGap = gap;
		this.#returnsAt = at;
	}

	/** Returns the expected wait of a request for this upstream with `ahead` others before it. */
	expectedWait(ahead: number, now: MonotonicTime): Milliseconds {
		return Math.max(0, this.#pausedUntil - now, this.#returnsAt - now, ahead * (this.#latency + this.#returnGap) / (this.#returnGap > 0 ? 1 : this.#concurrencyLimit));
	}

	/** Records the outcome of an attempt. */
	record(signal: Signal, latency: Milliseconds, now: MonotonicTime): void {
		this.#signalHandlers[signal](latency, now);
		if (this.#returnGap > 0 && signal !== Signal.none && now >= this.#returnsAt) {
			this.#returnsAt = now + this.#returnGap;
			this.#returnGap = this.#returnGap > this.#latency * minReturnGapShare ? this.#returnGap * returnGapDecrease : 0;
		}

		if (this.#concurrencyLimit < 1 && signal !== Signal.none) {
			this.#pausedUntil = Math.max(this.#pausedUntil, now + (this.#latency * ((1 / this.#concurrencyLimit) - 1)));
		}
	}

	#recordLatency(latency: Milliseconds): void {
		this.#answers += 1;
		this.#lastLatency = latency;
		this.#latency += (latency - this.#latency) * Math.max(sampleWeight, 1 / (this.#answers + 1));
	}

	#recordSuccess(latency: Milliseconds, now: MonotonicTime): void {
		this.#failureShare -= this.#failureShare * sampleWeight;
		this.#consecutiveBroken = 0;
		if (this.#answers >= minLatencySamples) {
			this.#uncontendedLatency = this.#latency < this.#uncontendedLatency ? this.#latency : this.#uncontendedLatency + ((this.#latency - this.#uncontendedLatency) * uncontendedWeight);
		}

		if (!this.#decreaseIfCongested(latency, now) && latency <= this.#uncontendedLatency * uncongestedRatio && this.inFlight + 1 >= this.concurrencyLimit) {
			this.#concurrencyLimit = Math.min(this.#maxConcurrencyLimit, this.#concurrencyLimit + (additiveIncrease / Math.max(1, this.#concurrencyLimit)));
		}
	}

	/** Lowers the limit if an answer that took this long has waited in the upstream's queue. Returns whether it did. */
	#decreaseIfCongested(latency: Milliseconds, now: MonotonicTime): boolean {
		const isCongested = latency > this.#uncontendedLatency * congestedRatio && now - this.#decreasedAt >= this.#latency;
		if (isCongested) {
			this.#decrease(congestionDecrease, minConcurrencyLimit, now);
		}

		return isCongested;
	}

	#recordFailure(): void {
		this.told.discard();
		this.#failureShare += (1 - this.#failureShare) * sampleWeight;
	}

	#decrease(factor: number, minLimit: number, now: MonotonicTime): void {
		this.#concurrencyLimit = Math.min(this.#concurrencyLimit, Math.max(minLimit, this.#concurrencyLimit * factor));
		this.#decreasedAt = now;
	}
}
