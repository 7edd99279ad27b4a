/**
 * Which upstream should hold which keys: gives out what nobody holds, and moves
 * keys from upstreams with much work to those with little.
 *
 * Load patterns: a few neighbouring keys get much of the work; upstreams join;
 * upstreams leave or are lost, and their keys must not all go to one survivor.
 */
import {type Milliseconds} from '@dogwooddeck/model/identifiers';
import {type HeldSpan} from './command.js';
import {
	keyCount, type KeyRange, type KeySpan, type Life, lifeText, sameLife,
} from './range.js';

/** Keys are counted by buckets of this many neighbours, so that a hot run of 60 keys can be divided. */
export const keysPerBucket = 8;

/** The number of buckets of a service. */
export const bucketCount = keyCount / keysPerBucket;

/** An upstream that may get keys. */
export type Candidate = {
	readonly life: Life;
	/** How much work it can do beside the others; its number of slots. */
	readonly weight: number;
	/** Whether it may be given keys. */
	readonly accepting: boolean;
	/** Whether it has to give its keys up. */
	readonly leaving: boolean;
};

/** What a plan is made of. */
export type PlanInput = {
	readonly ranges: readonly KeyRange[];
	readonly candidates: readonly Candidate[];
	/** Requests a second for each bucket, smoothed. */
	readonly loads: Float64Array;
	/** The time that the loads were counted over: few requests in it say little. */
	readonly countedMilliseconds: Milliseconds;
};

/** What should change. */
export type Plan = {
	readonly granted: readonly HeldSpan[];
	readonly recalled: readonly HeldSpan[];
};

/** Vacant keys are given out in pieces of at most this share of an upstream's equal part of the work. */
const pieceShare = 0.34;

/** Work moves when the busiest and the idlest upstream differ by more than this share of the mean. */
const unevenShare = 0.35;

/** Counts differ by chance: a difference counts only beyond this many times its standard deviation. */
const chanceFactor = 2;

/** Work counted for each bucket beside what was measured, as a share of the mean: silent keys may wake. */
const restingShare = 0.25;

/** The most pieces that move in one plan: a hot run of keys is spread over as many upstreams at once. */
const movesAtOnce = 12;

/** A move brings at least this share of the mean. */
const leastMoveShare = 0.1;

/** The work of runs of keys, by sums over the buckets. */
class Work {
	readonly #sums: Float64Array;

	constructor(loads: Float64Array) {
		let total = 0;
		for (const load of loads) {
			total += load;
		}

		const resting = total === 0 ? 1 : total * restingShare / bucketCount;
		this.#sums = new Float64Array(bucketCount + 1);
		for (let bucket = 0; bucket < bucketCount; bucket += 1) {
			this.#sums[bucket + 1] = this.#sums[bucket]! + loads[bucket]! + resting;
		}
	}

	/** The work of the keys before one. */
	before(key: number): number {
		const bucket = Math.floor(key / keysPerBucket);
		const start = this.#sums[bucket]!;
		const next = this.#sums[Math.min(bucketCount, bucket + 1)]!;
		return start + ((next - start) * ((key % keysPerBucket) / keysPerBucket));
	}

	of({from, to}: KeySpan): number {
		return this.before(to + 1) - this.before(from);
	}

	/** The last key of the part of a span, from its start, that has about so much work. */
	cut({from, to}: KeySpan, wanted: number): number {
		const goal = this.before(from) + wanted;
		let low = from;
		let high = to;
		while (low < high) {
			const middle = Math.floor((low + high) / 2);
			if (this.before(middle + 1) < goal) {
				low = middle + 1;
			} else {
				high = middle;
			}
		}

		return low;
	}
}

type Share = {readonly candidate: Candidate; work: number};

function relative({candidate, work}: Share): number {
	return work / candidate.weight;
}

function idlest(shares: readonly Share[]): Share | undefined {
	let found: Share | undefined;
	for (const share of shares) {
		if (share.candidate.accepting && (found === undefined || relative(share) < relative(found))) {
			found = share;
		}
	}

	return found;
}

function cutIntoPieces(work: Work, range: KeyRange, largest: number): readonly KeySpan[] {
	if (range.handover !== '') {
		return [range];
	}

	const pieces: KeySpan[] = [];
	let {from} = range;
	while (from <= range.to) {
		const to = work.of({from, to: range.to}) <= largest * 1.2 ? range.to : work.cut({from, to: range.to}, largest);
		pieces.push({from, to});
		from = to + 1;
	}

	return pieces;
}

function grantVacant(input: PlanInput, work: Work, shares: readonly Share[]): readonly HeldSpan[] {
	const weights = shares.filter(({candidate}) => candidate.accepting).reduce((sum, {candidate}) => sum + candidate.weight, 0);
	const mean = work.of({from: 0, to: keyCount - 1}) / Math.max(1, weights);
	const lightest = Math.min(...shares.filter(({candidate}) => candidate.accepting).map(({candidate}) => candidate.weight));
	const pieces = input.ranges.filter(range => range.holder === undefined).flatMap(range => cutIntoPieces(work, range, mean * lightest * pieceShare));
	const granted: HeldSpan[] = [];
	for (const piece of [...pieces].sort((one, other) => work.of(other) - work.of(one))) {
		const share = idlest(shares);
		if (share === undefined) {
			return granted;
		}

		share.work += work.of(piece);
		granted.push({from: piece.from, to: piece.to, holder: share.candidate.life});
	}

	return granted;
}

/** The end of one of an upstream's spans whose work is nearest to what should move. */
function pieceToMove(work: Work, spans: readonly KeySpan[], wanted: number): KeySpan | undefined {
	let best: {readonly span: KeySpan; readonly miss: number} | undefined;
	for (const whole of spans) {
		const to = work.cut(whole, wanted);
		const from = Math.min(whole.to, work.cut(whole, Math.max(0, work.of(whole) - wanted)) + 1);
		for (const span of [{from: whole.from, to}, {from, to: whole.to}]) {
			const miss = Math.abs(work.of(span) - wanted);
			if (best === undefined || miss < best.miss) {
				best = {span, miss};
			}
		}
	}

	return best !== undefined && best.miss < wanted ? best.span : undefined;
}

function isSettled(range: KeyRange): boolean {
	return range.releasingSince === undefined && range.told;
}

function busiest(shares: readonly Share[]): Share | undefined {
	return shares.reduce<Share | undefined>((found, share) => found === undefined || relative(share) > relative(found) ? share : found, undefined);
}

function withoutSpan(spans: readonly KeySpan[], {from, to}: KeySpan): readonly KeySpan[] {
	return spans.flatMap(span => [
		{from: span.from, to: Math.min(span.to, from - 1)},
		{from: Math.max(span.from, to + 1), to: span.to},
	].filter(rest => rest.from <= rest.to && (rest.to < from || rest.from > to)));
}

/** Moves work from the busiest to the idlest, piece by piece, until both are near the mean. */
function balance(input: PlanInput, work: Work, shares: readonly Share[]): readonly HeldSpan[] {
	const total = shares.reduce((sum, share) => sum + share.work, 0);
	const weights = shares.filter(({candidate}) => candidate.accepting).reduce((sum, {candidate}) => sum + candidate.weight, 0);
	const mean = total / Math.max(1, weights);
	const spans = new Map(shares.map(share => [share, input.ranges.filter(range => isSettled(range) && sameLife(range.holder, share.candidate.life)) as readonly KeySpan[]]));
	const recalled: HeldSpan[] = [];
	const chance = chanceFactor * Math.sqrt(2 * mean * 1000 / input.countedMilliseconds);
	const least = (mean * unevenShare) + chance;
	while (recalled.length < movesAtOnce) {
		const giver = busiest(shares);
		const taker = idlest(shares);
		if (giver === undefined || taker === undefined || giver === taker || relative(giver) - relative(taker) < least) {
			break;
		}

		const surplus = giver.work - (mean * giver.candidate.weight);
		const room = (mean * taker.candidate.weight) - taker.work;
		const span = pieceToMove(work, spans.get(giver)!, Math.max(Math.min(surplus, room), mean * leastMoveShare));
		if (span === undefined) {
			break;
		}

		recalled.push({...span, holder: giver.candidate.life});
		spans.set(giver, withoutSpan(spans.get(giver)!, span));
		giver.work -= work.of(span);
		taker.work += work.of(span);
	}

	return recalled;
}

/** Those that leave, and those that are not known any more. */
function recallFromLeaving(input: PlanInput): readonly HeldSpan[] {
	const staying = new Set(input.candidates.filter(candidate => !candidate.leaving).map(({life}) => lifeText(life)));
	return input.ranges.flatMap(({from, to, holder, releasingSince}) => holder !== undefined && releasingSince === undefined && !staying.has(lifeText(holder))
		? [{from, to, holder}]
		: []);
}

/** Makes a plan. Nothing is balanced while an earlier move is under way. */
export function planKeys(input: PlanInput): Plan {
	const work = new Work(input.loads);
	const shares: Share[] = input.candidates.filter(candidate => !candidate.leaving).map(candidate => ({candidate, work: 0}));
	const byLife = new Map(shares.map(share => [lifeText(share.candidate.life), share]));
	for (const range of input.ranges) {
		const share = range.holder === undefined ? undefined : byLife.get(lifeText(range.holder));
		if (share !== undefined && range.releasingSince === undefined) {
			share.work += work.of(range);
		}
	}

	const granted = grantVacant(input, work, shares);
	const leaving = recallFromLeaving(input);
	const isMoving = leaving.length > 0 || input.ranges.some(range => range.holder === undefined || !isSettled(range));
	return {granted, recalled: isMoving ? leaving : balance(input, work, shares)};
}
