/**
 * Request rates by key, as exponentially decaying counts with a long and a short
 * time constant. Thousands of keys are counted and read several times a second, so
 * each set of counts is one array of numbers with a common decay factor.
 */
import {type KeyRate} from '@dogwooddeck/key-lease/planning';
import {keyCount} from '@dogwooddeck/key-lease/range';
import {type Milliseconds, type MonotonicTime} from '@dogwooddeck/model/identifiers';

/** Time constants: counts decay to 1/e of their weight within these times. */
export const longDecayMilliseconds: Milliseconds = 8000;
export const shortDecayMilliseconds: Milliseconds = 1000;

/** The short-term rate replaces the long-term one if they differ by more than this many standard deviations. */
const significance = 3;

/** Number of adjacent keys tested together: busy keys are neighbours, and each may get too few requests to show a change. */
const keysInRun = 32;

/** A key with a lower decayed count is treated as idle. */
const minimumCount = 0.1;

const millisecondsPerSecond = 1000;

/** Weights of new counts grow by at most `e` to this power before all counts are rescaled. */
const maximumExponent = 100;

/** Exponentially decaying counts. Instead of scaling down old counts, new ones get a higher weight. */
class DecayingCounts {
	/** The weighted counts by key; multiply by `decayFactor` for the decayed count. */
	readonly weighted = new Float64Array(keyCount);
	readonly #milliseconds: Milliseconds;
	#since: MonotonicTime = 0;

	constructor(milliseconds: Milliseconds) {
		this.#milliseconds = milliseconds;
	}

	add(key: number, count: number, now: MonotonicTime): void {
		if (now - this.#since > maximumExponent * this.#milliseconds) {
			const decayFactor = this.decayFactor(now);
			for (let other = 0; other < keyCount; other += 1) {
				this.weighted[other]! *= decayFactor;
			}

			this.#since = now;
		}

		this.weighted[key]! += count / this.decayFactor(now);
	}

	/** The factor from a weighted count to the decayed count at a given time. */
	decayFactor(now: MonotonicTime): number {
		return Math.exp((this.#since - now) / this.#milliseconds);
	}
}

/** Whether the short-term count is significantly above or below what the long-term one predicts. */
function hasChanged(long: number, short: number): boolean {
	const expected = long * shortDecayMilliseconds / longDecayMilliseconds;
	return Math.abs(short - expected) > significance * Math.sqrt(expected + 1);
}

/** The counts of one service. Mutable. */
export class KeyCounts {
	readonly #long = new DecayingCounts(longDecayMilliseconds);
	readonly #short = new DecayingCounts(shortDecayMilliseconds);

	/** Counts requests for a key. */
	add(key: number, count: number, now: MonotonicTime): void {
		this.#long.add(key, count, now);
		this.#short.add(key, count, now);
	}

	/** Requests per second of the keys that are not idle, in key order. */
	rates(now: MonotonicTime): readonly KeyRate[] {
		const {weighted: longs} = this.#long;
		const {weighted: shorts} = this.#short;
		const longFactor = this.#long.decayFactor(now);
		const shortFactor = this.#short.decayFactor(now);
		const rates: KeyRate[] = [];
		for (let first = 0; first < keyCount; first += keysInRun) {
			let long = 0;
			let short = 0;
			for (let key = first; key < first + keysInRun; key += 1) {
				long += longs[key]! * longFactor;
				short += shorts[key]! * shortFactor;
			}

			if (long <= minimumCount) {
				continue;
			}

			const isChanged = hasChanged(long, short);
			for (let key = first; key < first + keysInRun; key += 1) {
				const byLong = longs[key]! * longFactor;
				const byShort = shorts[key]! * shortFactor;
				if (byLong > minimumCount) {
					const perMillisecond = isChanged || hasChanged(byLong, byShort) ? byShort / shortDecayMilliseconds : byLong / longDecayMilliseconds;
					rates.push({key, rate: perMillisecond * millisecondsPerSecond});
				}
			}
		}

		return rates;
	}
}
