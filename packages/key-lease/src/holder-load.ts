/**
 * Which holders get more requests for their keys than they can process, and what
 * part of them may be sent.
 *
 * Load pattern: a run of neighbouring keys, or a single one, gets hot from one
 * moment to the next. Its holders have many times the work that they can do until
 * the keys have moved. Of many instances that send to a holder each sees too few
 * requests to notice, so the leader, which has the counts of all, tells them.
 */
import {type Milliseconds} from '@dogwooddeck/model/identifiers';
import {type KeyRate} from './planning.js';
import {type KeyRange, type UpstreamIncarnation, incarnationText} from './range.js';

/** What may be sent to an upstream that has too much work. */
export type HolderShare = {
	readonly life: UpstreamIncarnation;
	/** The part of the requests for its keys that it can process: between 0 and 1. */
	readonly share: number;
};

/** What is known of an upstream's speed. */
export type HolderSpeed = {
	/** The requests that it processes at a time. */
	readonly slots: number;
	/** How long the upstreams of the service take for an answer, in the mean. Undefined before any was counted. */
	readonly meanLatency: Milliseconds | undefined;
	/** How fast it answers beside the others: 1 is as fast. */
	readonly speed: number;
};

/** Answers of a full upstream have waited in its queue: it is not taken for slower than this by them. */
const leastSpeed = 0.5;

/** A holder is kept this busy: with more, its queue fills, and answers come late. */
const busyShare = 0.85;

/** Rates are estimates: what exceeds the holder's by less is left to its queue. */
const largestShareTold = 0.9;

const millisecondsPerSecond = 1000;

/** Requests a second that a holder can process without a long queue; infinite where nothing is known. */
export function processedPerSecond({slots, meanLatency, speed}: HolderSpeed): number {
	return meanLatency === undefined ? Infinity : busyShare * slots * Math.max(leastSpeed, speed) * millisecondsPerSecond / meanLatency;
}

/** Requests a second for the keys of each holder, by its life. Rates and ranges are in order of the keys. */
function holderRates(ranges: readonly KeyRange[], rates: readonly KeyRate[]): ReadonlyMap<string, {readonly life: UpstreamIncarnation; readonly rate: number}> {
	const sums = new Map<string, {readonly life: UpstreamIncarnation; rate: number}>();
	let position = 0;
	for (const {to, holder} of ranges) {
		let sum = 0;
		while (position < rates.length && rates[position]!.key <= to) {
			sum += rates[position]!.rate;
			position += 1;
		}

		if (holder !== undefined && sum > 0) {
			const text = incarnationText(holder);
			const known = sums.get(text) ?? {life: holder, rate: 0};
			known.rate += sum;
			sums.set(text, known);
		}
	}

	return sums;
}

/** The holders that have too much work. */
export function holderShares(ranges: readonly KeyRange[], rates: readonly KeyRate[], perSecond: (life: UpstreamIncarnation) => number): readonly HolderShare[] {
	return [...holderRates(ranges, rates).values()].flatMap(({life, rate}) => {
		const share = perSecond(life) / rate;
		return share < largestShareTold ? [{life, share}] : [];
	});
}
