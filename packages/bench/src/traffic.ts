/**
 * The traffic of a service over time: how many requests each slot and each hot
 * key has, and from which region they come. It follows from the trace's seed.
 */
import {type SlotHash} from '@dogwooddeck/placement/hash';
import {createRandom} from './random.js';
import {
	homeShare, hotKeys, hotSeconds, type ServiceShape,
} from './trace.js';

/** The traffic while the hottest keys stay the same, at the height of the day. */
export type Traffic = {
	/** Requests a second, by slot. */
	readonly slotRates: readonly number[];
	/** The part of each slot's requests that comes from the first region. */
	readonly firstShares: readonly number[];
	readonly hot: ReadonlyArray<{readonly key: string; readonly home: number; readonly rate: number; readonly firstShare: number}>;
};

/** The traffic over time. */
export type TrafficSource = {
	readonly at: (seconds: number) => Traffic;
	/** Keys of each slot. */
	readonly keyCounts: readonly number[];
};

/** The day begins at this part of its height and comes to it within the ramp. */
const startShare = 0.5;
const rampSeconds = 300;

/** The part of the day's height at a time. */
export function riseAt(seconds: number): number {
	return Math.min(1, startShare + ((1 - startShare) * seconds / rampSeconds));
}

type Key = {readonly key: string; readonly home: number; readonly firstShare: number};

function makeKeys(service: ServiceShape, slots: number, hash: SlotHash, seed: number): readonly Key[] {
	const random = createRandom(seed, service.keys, service.requestsPerSecond);
	return Array.from({length: service.keys}, (_, number) => {
		const key = `${service.name}/${number}`;
		return {key, home: hash(key, slots), firstShare: random.fraction() < 0.5 ? homeShare : 1 - homeShare};
	});
}

function zipfWeights(count: number, skew: number): readonly number[] {
	const weights = Array.from({length: count}, (_, rank) => 1 / ((rank + 1) ** skew));
	const total = weights.reduce((sum, weight) => sum + weight, 0);
	return weights.map(weight => weight / total);
}

/** Ranks of keys: mostly their number, but for the hottest, which are drawn anew in each period. */
function hottestOf(service: ServiceShape, seed: number, period: number): readonly number[] {
	const random = createRandom(seed, period, service.keys);
	const drawn = new Set<number>();
	while (drawn.size < hotKeys) {
		drawn.add(random.whole(hotKeys, service.keys - 1));
	}

	return [...drawn];
}

function trafficOf(service: ServiceShape, keys: readonly Key[], weights: readonly number[], hottest: readonly number[], slots: number): Traffic {
	const slotRates = Array.from({length: slots}, () => 0);
	const firstRates = Array.from({length: slots}, () => 0);
	const swapped = new Map(hottest.flatMap((number, rank) => [[number, rank], [rank, number]]));
	const hot: Array<Traffic['hot'][number]> = [];
	for (const [number, key] of keys.entries()) {
		const rate = weights[swapped.get(number) ?? number]! * service.requestsPerSecond;
		slotRates[key.home]! += rate;
		firstRates[key.home]! += rate * key.firstShare;
		if (rate > service.requestsPerSecond / 200) {
			hot.push({...key, rate});
		}
	}

	return {slotRates, firstShares: slotRates.map((rate, slot) => (rate === 0 ? 0.5 : firstRates[slot]! / rate)), hot};
}

/** Makes the traffic of a service. */
export function createTraffic(service: ServiceShape, slots: number, hash: SlotHash, seed: number): TrafficSource {
	const keys = makeKeys(service, slots, hash, seed);
	const weights = zipfWeights(service.keys, service.skew);
	const keyCounts = Array.from({length: slots}, () => 0);
	for (const {home} of keys) {
		keyCounts[home]!++;
	}

	const periods = new Map<number, Traffic>();
	return {
		keyCounts,
		at(seconds) {
			const period = Math.floor(seconds / hotSeconds);
			const known = periods.get(period) ?? trafficOf(service, keys, weights, hottestOf(service, seed, period), slots);
			periods.set(period, known);
			return known;
		},
	};
}
