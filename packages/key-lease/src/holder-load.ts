/**
 * Finds the holders that receive more requests for their keys than they can
 * process, and the share of those requests that may be sent.
 *
 * Load pattern: a run of adjacent keys, or a single key, suddenly becomes hot.
 * Until the keys have moved, their holders receive many times the work that they
 * can process. Where many instances send to a holder, each sees too few requests
 * to notice the overload; the leader has the counts of all instances, so it
 * announces the shares to them. A single key that exceeds its holder's capacity has
 * a share of its own, so that requests for the holder's other keys keep their room.
 */
import {type Milliseconds} from '@dogwooddeck/model/identifiers';
import {type DominantKey, dominantKeys} from './dominant-key.js';
import {type KeyRate} from './planning.js';
import {type KeyRange, type UpstreamIncarnation, incarnationText} from './range.js';

/** The share of requests that may be sent to an overloaded upstream. */
export type HolderShare = {
	/** The overloaded upstream. */
	readonly life: UpstreamIncarnation;
	/** The share of the requests for its keys that it can process, between 0 and 1. */
	readonly share: number;
	/** Set if the share is that of the requests for this key alone. */
	readonly key?: number;
};

/** The measured speed of an upstream. */
export type HolderSpeed = {
	/** The number of requests that it processes concurrently. */
	readonly slots: number;
	/** The mean response time over all upstreams of the service; undefined before any response was counted. */
	readonly meanLatency: Milliseconds | undefined;
	/** Its speed relative to the service's other upstreams; 1 is equal. */
	readonly relativeSpeed: number;
};

/** Lower bound of the relative speed: the responses of a full upstream include its queueing time, which makes it look slower than it is. */
const minRelativeSpeed = 0.5;

/** The utilization that a holder is kept at: above it, its queue fills and responses are delayed. */
const targetUtilization = 0.85;

/** Shares from this value up are not announced: rates are estimates, and the holder's queue absorbs so small an excess. */
const maxAnnouncedShare = 0.9;

/** What remains for a dominant key at least, as a share of what its holder can sustain. */
const minDominantRoom = 0.25;

const millisecondsPerSecond = 1000;

/** Returns the requests per second that a holder can process without a long queue; infinite if no latency was measured. */
export function sustainableRate({slots, meanLatency, relativeSpeed: speed}: HolderSpeed): number {
	return meanLatency === undefined ? Infinity : targetUtilization * slots * Math.max(minRelativeSpeed, speed) * millisecondsPerSecond / meanLatency;
}

/** Returns the requests per second for the keys of each holder, by incarnation. Rates and ranges are sorted by key. */
function holderRates(ranges: readonly KeyRange[], rates: readonly KeyRate[]): ReadonlyMap<string, {readonly holder: UpstreamIncarnation; readonly rate: number}> {
	const totals = new Map<string, {readonly holder: UpstreamIncarnation; rate: number}>();
	let position = 0;
	for (const {to, holder} of ranges) {
		let rate = 0;
		while (position < rates.length && rates[position]!.key <= to) {
			rate += rates[position]!.rate;
			position += 1;
		}

		if (holder !== undefined && rate > 0) {
			const key = incarnationText(holder);
			const total = totals.get(key) ?? {holder, rate: 0};
			total.rate += rate;
			totals.set(key, total);
		}
	}

	return totals;
}

/** Returns the share of the requests for a dominant key that its holder can process beside those for its other keys. */
function shareOfDominant({holder, key, rate}: DominantKey, otherRate: number, sustainable: number): readonly HolderShare[] {
	const share = Math.max(sustainable - otherRate, sustainable * minDominantRoom) / rate;
	return share < maxAnnouncedShare ? [{life: holder, share, key}] : [];
}

/** Returns the overloaded holders and dominant keys, each with the share of requests that may be sent. `dominant`: what `dominantKeys` returns for the same input. */
export function holderShares(ranges: readonly KeyRange[], rates: readonly KeyRate[], sustainableRateOf: (holder: UpstreamIncarnation) => number, dominant = dominantKeys(ranges, rates, sustainableRateOf)): readonly HolderShare[] {
	const dominating = new Set(dominant.map(({key}) => key));
	const otherRates = holderRates(ranges, rates.filter(({key}) => !dominating.has(key)));
	const holders = [...otherRates.values()].flatMap(({holder, rate}) => {
		const share = sustainableRateOf(holder) / rate;
		return share < maxAnnouncedShare ? [{life: holder, share}] : [];
	});
	const keys = dominant.flatMap(one => shareOfDominant(one, otherRates.get(incarnationText(one.holder))?.rate ?? 0, sustainableRateOf(one.holder)));
	return [...holders, ...keys];
}
