/**
 * Plans which upstream should hold which keys: grants unassigned keys, and moves
 * keys from heavily loaded upstreams to lightly loaded ones.
 *
 * Load patterns: a few adjacent keys suddenly get much of the work, so adjacent
 * keys are spread over different upstreams in advance; upstreams join; upstreams
 * leave or are lost, and their keys must not all go to one survivor; one key gets
 * more work than any upstream can process (see `dominant-key`).
 */
import {type Milliseconds} from '@dogwooddeck/model/identifiers';
import {type HeldSpan} from './command.js';
import {type DominantKey, dominatedHolders, shouldRelocate} from './dominant-key.js';
import {
	isSettled, keyCount, type KeyRange, type KeySpan, type UpstreamIncarnation, incarnationText, rangeOfKey, subtractSpans,
} from './range.js';

/** The requests per second for one key. */
export type KeyRate = {readonly key: number; readonly rate: number};

/** An upstream that the plan may assign keys to. */
export type Candidate = {
	readonly upstream: UpstreamIncarnation;
	/** Its capacity relative to the others: its number of slots, scaled by its relative speed. */
	readonly weight: number;
	/** Whether it may be granted keys. */
	readonly accepting: boolean;
	/** Whether its keys must be recalled. */
	readonly leaving: boolean;
};

/** The input of a plan. */
export type PlanInput = {
	readonly ranges: readonly KeyRange[];
	readonly candidates: readonly Candidate[];
	/** Smoothed requests per second of the keys that had any, sorted by key. */
	readonly rates: readonly KeyRate[];
	/** The time that the rates were counted over: few requests within it are weak evidence. */
	readonly countedMilliseconds: Milliseconds;
	/** The maximum number of ranges that one upstream may hold: each answer to it lists all of them. */
	readonly mostRanges: number;
	/** The keys that alone exceed what their holders can process; none if omitted. */
	readonly dominant?: readonly DominantKey[];
};

/** The changes that a plan proposes. */
export type Plan = {
	readonly granted: readonly HeldSpan[];
	readonly recalled: readonly HeldSpan[];
};

/** The maximum size of a piece of unassigned keys, as a share of one upstream's equal part of the work. */
const maxPieceShare = 0.34;

/** Work moves when the most and the least loaded upstream differ by more than this share of the mean. */
const imbalanceThreshold = 0.35;

/** Counts differ by chance: a difference is ignored up to at least this many times its standard deviation. */
const minSignificanceFactor = 2;

/**
 * Returns how many standard deviations a difference must exceed. The most and the
 * least loaded of many upstreams differ by more than two that are picked in
 * advance: the largest of n normal deviations is about sqrt(2 ln n).
 */
function significanceFactor(upstreams: number): number {
	return Math.max(minSignificanceFactor, Math.sqrt(2 * Math.log(upstreams / 2)));
}

/** Work that is spread equally over all keys, as a share of the measured work: idle keys may become active. */
const baselineShare = 0.25;

/** The share of `mostRanges` that the division of unassigned keys into pieces may use up: the rest is left for keys of lost upstreams and for moves. */
const plannedRangeShare = 0.5;

/** The maximum number of pieces that all keys are divided into: each piece is a row of the replicated table. */
const maxPieces = 512;

/** The maximum number of pieces that move in one plan: enough to spread a hot run of keys over as many upstreams at once, or to fill one that joins. */
const maxMovesPerPlan = 32;

/** After a move the relative load of the target must be below the source's before it, by at least this share of the significant difference. */
const minGainShare = 0.5;

/** Each move aims for at least this share of the mean. */
const minMoveShare = 0.1;

/** The estimated work of spans of keys, by prefix sums over the keys that had requests. */
class WorkEstimate {
	readonly #keys: readonly number[];
	/** `#sums[n]` is the measured work of the first `n` of these keys. */
	readonly #sums: readonly number[];
	/** The work that every key counts for, whether it had requests or not. */
	readonly #baseline: number;

	constructor(rates: readonly KeyRate[]) {
		const sums = [0];
		for (const {rate} of rates) {
			sums.push(sums.at(-1)! + rate);
		}

		const total = sums.at(-1)!;
		this.#keys = rates.map(({key}) => key);
		this.#sums = sums;
		this.#baseline = (total === 0 ? 1 : total * baselineShare) / keyCount;
	}

	/** Returns the work of all keys below `key`. */
	workBefore(key: number): number {
		let low = 0;
		let high = this.#keys.length;
		while (low < high) {
			const middle = Math.floor((low + high) / 2);
			if (this.#keys[middle]! < key) {
				low = middle + 1;
			} else {
				high = middle;
			}
		}

		return this.#sums[low]! + (key * this.#baseline);
	}

	of({from, to}: KeySpan): number {
		return this.workBefore(to + 1) - this.workBefore(from);
	}

	/** Returns the last key of the shortest prefix of a span that has at least the wanted work. */
	prefixEnd({from, to}: KeySpan, wanted: number): number {
		const goal = this.workBefore(from) + wanted;
		let low = from;
		let high = to;
		while (low < high) {
			const middle = Math.floor((low + high) / 2);
			if (this.workBefore(middle + 1) < goal) {
				low = middle + 1;
			} else {
				high = middle;
			}
		}

		return low;
	}
}

type CandidateLoad = {readonly candidate: Candidate; work: number; ranges: number};

function relativeLoad({candidate, work}: CandidateLoad): number {
	return work / candidate.weight;
}

/** Returns the accepting upstream with the lowest relative load once `extraWork` is added: a fast one for a key with much work. */
function leastLoaded(loads: readonly CandidateLoad[], mostRanges: number, extraWork = 0): CandidateLoad | undefined {
	let found: CandidateLoad | undefined;
	let lowest = Infinity;
	for (const load of loads) {
		const work = (load.work + extraWork) / load.candidate.weight;
		if (load.candidate.accepting && load.ranges < mostRanges && work < lowest) {
			found = load;
			lowest = work;
		}
	}

	return found;
}

/** The maximum size of a piece of unassigned keys. */
type PieceBounds = {readonly work: number; readonly keys: number};

function splitIntoPieces(work: WorkEstimate, range: KeyRange, maxPiece: PieceBounds): readonly KeySpan[] {
	if (range.handover !== '') {
		return [range];
	}

	const pieces: KeySpan[] = [];
	let {from} = range;
	while (from <= range.to) {
		const longest = Math.min(range.to, from + maxPiece.keys - 1);
		const to = work.of({from, to: longest}) <= maxPiece.work * 1.2 ? longest : work.prefixEnd({from, to: longest}, maxPiece.work);
		pieces.push({from, to});
		from = to + 1;
	}

	return pieces;
}

function grantUnassigned(input: PlanInput, work: WorkEstimate, loads: readonly CandidateLoad[]): readonly HeldSpan[] {
	const accepting = loads.filter(({candidate}) => candidate.accepting);
	const totalWeight = accepting.reduce((sum, {candidate}) => sum + candidate.weight, 0);
	const mean = work.of({from: 0, to: keyCount - 1}) / Math.max(1, totalWeight);
	const lightest = Math.min(...accepting.map(({candidate}) => candidate.weight));
	const pieceCount = Math.max(1, Math.min(maxPieces, Math.floor(accepting.length * input.mostRanges * plannedRangeShare)));
	const maxPiece = {work: mean * lightest * maxPieceShare, keys: Math.ceil(keyCount / pieceCount)};
	const pieces = input.ranges.filter(range => range.holder === undefined).flatMap(range => splitIntoPieces(work, range, maxPiece));
	const granted: HeldSpan[] = [];
	for (const piece of [...pieces].sort((one, other) => work.of(other) - work.of(one))) {
		const load = leastLoaded(loads, input.mostRanges, work.of(piece));
		if (load === undefined) {
			return granted;
		}

		load.work += work.of(piece);
		load.ranges += 1;
		granted.push({from: piece.from, to: piece.to, holder: load.candidate.upstream});
	}

	return granted;
}

/** Adds the work of keys that are being released to the upstreams that will probably get them. */
function addExpectedWork(input: PlanInput, work: WorkEstimate, loads: readonly CandidateLoad[]): void {
	for (const range of input.ranges) {
		const load = range.holder !== undefined && range.releasingSince !== undefined ? leastLoaded(loads, input.mostRanges, work.of(range)) : undefined;
		if (load !== undefined) {
			load.work += work.of(range);
			load.ranges += 1;
		}
	}
}

/** Returns the part at either end of one of an upstream's spans whose work is nearest to `wanted`; undefined if its work exceeds `maxWork`. */
function pieceToMove(work: WorkEstimate, spans: readonly KeySpan[], wanted: number, maxWork: number): KeySpan | undefined {
	let best: {readonly span: KeySpan; readonly deviation: number} | undefined;
	for (const whole of spans) {
		const to = work.prefixEnd(whole, wanted);
		const from = Math.min(whole.to, work.prefixEnd(whole, Math.max(0, work.of(whole) - wanted)) + 1);
		for (const span of [{from: whole.from, to}, {from: whole.from, to: to - 1}, {from, to: whole.to}].filter(part => part.from <= part.to)) {
			const deviation = Math.abs(work.of(span) - wanted);
			if (best === undefined || deviation < best.deviation) {
				best = {span, deviation};
			}
		}
	}

	return best !== undefined && work.of(best.span) <= maxWork ? best.span : undefined;
}

/** Returns the keys that each incarnation holds and that may be recalled. */
function movableSpans(ranges: readonly KeyRange[]): Map<string, readonly KeySpan[]> {
	const spans = new Map<string, KeySpan[]>();
	for (const range of ranges) {
		if (range.holder !== undefined && isSettled(range)) {
			const key = incarnationText(range.holder);
			const held = spans.get(key) ?? [];
			held.push(range);
			spans.set(key, held);
		}
	}

	return spans;
}

/** Moves work from the most to the least loaded upstream, piece by piece, until the two no longer differ significantly. */
function balance(input: PlanInput, work: WorkEstimate, loads: readonly CandidateLoad[]): readonly HeldSpan[] {
	const spans = movableSpans(input.ranges);
	const recalled: HeldSpan[] = [];
	/** Without the upstreams that have no movable piece left: a key with much work can't be divided. */
	let sources = loads;
	while (recalled.length < maxMovesPerPlan) {
		const totalWeight = sources.filter(({candidate}) => candidate.accepting).reduce((sum, {candidate}) => sum + candidate.weight, 0);
		const mean = sources.reduce((sum, load) => sum + load.work, 0) / Math.max(1, totalWeight);
		const threshold = (mean * imbalanceThreshold) + (significanceFactor(sources.length) * Math.sqrt(2 * mean * 1000 / input.countedMilliseconds));
		const source = sources.reduce<CandidateLoad | undefined>((found, load) => found === undefined || relativeLoad(load) > relativeLoad(found) ? load : found, undefined);
		const target = leastLoaded(sources, input.mostRanges);
		if (source === undefined || target === undefined || source === target || relativeLoad(source) - relativeLoad(target) < threshold) {
			break;
		}

		const key = incarnationText(source.candidate.upstream);
		const sourceSpans = spans.get(key) ?? [];
		const surplus = source.work - (mean * source.candidate.weight);
		const room = (mean * target.candidate.weight) - target.work;
		const maxWork = (relativeLoad(source) - relativeLoad(target) - (threshold * minGainShare)) * target.candidate.weight;
		const span = pieceToMove(work, sourceSpans, Math.max(Math.min(surplus, room), mean * minMoveShare), maxWork);
		if (span === undefined) {
			sources = sources.filter(load => load !== source);
			continue;
		}

		recalled.push({...span, holder: source.candidate.upstream});
		spans.set(key, sourceSpans.flatMap(whole => subtractSpans(whole, [span])));
		source.work -= work.of(span);
		target.work += work.of(span);
		target.ranges += 1;
	}

	return recalled;
}

/** Recalls the keys of upstreams that are leaving or have no record any more. */
function recallFromLeaving(input: PlanInput): readonly HeldSpan[] {
	const staying = new Set(input.candidates.filter(candidate => !candidate.leaving).map(({upstream}) => incarnationText(upstream)));
	return input.ranges.flatMap(({from, to, holder, releasingSince}) => holder !== undefined && releasingSince === undefined && !staying.has(incarnationText(holder))
		? [{from, to, holder}]
		: []);
}

/** Recalls the dominant keys whose holders are far slower than another upstream that has none. */
function relocateDominant({ranges, candidates, dominant = []}: PlanInput): readonly HeldSpan[] {
	const dominated = dominatedHolders(dominant);
	const weights = new Map(candidates.map(({upstream, weight}) => [incarnationText(upstream), weight]));
	const free = candidates.filter(({upstream, accepting}) => accepting && !dominated.has(incarnationText(upstream)));
	const highestWeight = Math.max(0, ...free.map(({weight}) => weight));
	return dominant.flatMap(({key, holder}) => {
		const range = rangeOfKey(ranges, key);
		const weight = weights.get(incarnationText(holder));
		return range !== undefined && isSettled(range) && weight !== undefined && shouldRelocate(weight, highestWeight) ? [{from: key, to: key, holder}] : [];
	});
}

/** Balances the work of all but the dominant keys between the upstreams that hold none of these. */
function balanceOthers(input: PlanInput, work: WorkEstimate, loads: readonly CandidateLoad[]): readonly HeldSpan[] {
	const dominated = dominatedHolders(input.dominant ?? []);
	const others = loads.filter(({candidate}) => !dominated.has(incarnationText(candidate.upstream)));
	return [...relocateDominant(input), ...balance(input, work, others)];
}

/** Computes a plan from the current ranges, upstreams and request rates. */
export function planKeys(input: PlanInput): Plan {
	const work = new WorkEstimate(input.rates);
	const loads: CandidateLoad[] = input.candidates.filter(candidate => !candidate.leaving).map(candidate => ({candidate, work: 0, ranges: 0}));
	const loadByUpstream = new Map(loads.map(load => [incarnationText(load.candidate.upstream), load]));
	for (const range of input.ranges) {
		const load = range.holder === undefined ? undefined : loadByUpstream.get(incarnationText(range.holder));
		if (load !== undefined) {
			load.work += range.releasingSince === undefined ? work.of(range) : 0;
			load.ranges += 1;
		}
	}

	const granted = grantUnassigned(input, work, loads);
	const leaving = recallFromLeaving(input);
	addExpectedWork(input, work, loads);
	return {granted, recalled: leaving.length > 0 ? leaving : balanceOthers(input, work, loads)};
}
