/**
 * Counters of objectives by interval, and the windows over which their burn is
 * told. Intervals are immutable, and merging them is associative.
 */
import {type Objective} from '@dogwooddeck/model/contract';
import {
	type InstanceName, type Milliseconds, type ServiceName, type WallTime,
} from '@dogwooddeck/model/identifiers';
import {Judgement} from './judgement.js';
import {type UpstreamLoad} from './load.js';
import {mergeLatencies, type ServiceLatency} from './latency.js';

/** The length of the intervals that are counted into. */
export const intervalMilliseconds: Milliseconds = 10_000;

/** The length of the intervals that older ones are folded into. */
export const coarseMilliseconds: Milliseconds = 300_000;

/** The age from which intervals are folded. */
export const foldAgeMilliseconds: Milliseconds = 3_600_000;

/** The judgements that spend an objective's budget. */
export type BadJudgement = Exclude<Judgement, 'good' | 'uncounted'>;

/** The bad judgements in the order in which they are shown. */
export const badJudgements: readonly BadJudgement[] = [Judgement.slow, Judgement.failed, Judgement.notRun, Judgement.unknown];

/** How many requests counted for an objective, and how many of them were bad. */
export type Counts = Readonly<Record<BadJudgement, number>> & {readonly total: number};

/** The counts of one objective of a service. */
export type ObjectiveCounts = {
	readonly service: ServiceName;
	readonly objective: Objective['name'];
	readonly counts: Counts;
};

/** What an instance counted from a moment on, for one interval. */
export type BurnInterval = {
	readonly startedAt: WallTime;
	readonly lengthMilliseconds: Milliseconds;
	/** Sorted by service and objective. */
	readonly objectives: readonly ObjectiveCounts[];
	/** Sorted by service. */
	readonly latencies: readonly ServiceLatency[];
};

/** All intervals that an instance still has, in any order. */
export type InstanceBurn = {
	readonly instance: InstanceName;
	readonly intervals: readonly BurnInterval[];
	/** The requests that it sent to upstreams lately. */
	readonly loads: readonly UpstreamLoad[];
};

/** A length of time over which burn is told. */
export type BurnWindow = {readonly name: string; readonly milliseconds: Milliseconds};

/** The windows of a report: short ones show an outage, long ones a slow leak. */
export const burnWindows: readonly BurnWindow[] = [
	{name: '5 min', milliseconds: 300_000},
	{name: '1 h', milliseconds: 3_600_000},
	{name: '6 h', milliseconds: 21_600_000},
	{name: '3 d', milliseconds: 259_200_000},
];

/** The longest window: what is older is dropped. */
export const keptMilliseconds: Milliseconds = Math.max(...burnWindows.map(window => window.milliseconds));

/** No requests. */
export const noCounts: Counts = {
	total: 0, slow: 0, failed: 0, notRun: 0, unknown: 0,
};

/** The start of the interval that a moment falls into. */
export function intervalStart(at: WallTime, lengthMilliseconds: Milliseconds = intervalMilliseconds): WallTime {
	return Math.floor(at / lengthMilliseconds) * lengthMilliseconds;
}

/** Adds up two counts. */
export function addCounts(one: Counts, other: Counts): Counts {
	return {
		total: one.total + other.total,
		slow: one.slow + other.slow,
		failed: one.failed + other.failed,
		notRun: one.notRun + other.notRun,
		unknown: one.unknown + other.unknown,
	};
}

/** How many requests of a count were bad. */
export function badOf(counts: Counts): number {
	return counts.slow + counts.failed + counts.notRun + counts.unknown;
}

function objectiveKey({service, objective}: ObjectiveCounts): string {
	return `${service} ${objective}`;
}

function mergeObjectives(one: readonly ObjectiveCounts[], other: readonly ObjectiveCounts[]): readonly ObjectiveCounts[] {
	const merged = new Map(one.map(entry => [objectiveKey(entry), entry]));
	for (const entry of other) {
		const known = merged.get(objectiveKey(entry));
		merged.set(objectiveKey(entry), known === undefined ? entry : {...entry, counts: addCounts(known.counts, entry.counts)});
	}

	return [...merged.values()].sort((left, right) => objectiveKey(left) < objectiveKey(right) ? -1 : 1);
}

/** Merges what was counted in two intervals into one that covers both. Associative and commutative. */
export function mergeIntervals(one: BurnInterval, other: BurnInterval): BurnInterval {
	const startedAt = Math.min(one.startedAt, other.startedAt);
	const endedAt = Math.max(one.startedAt + one.lengthMilliseconds, other.startedAt + other.lengthMilliseconds);
	return {
		startedAt,
		lengthMilliseconds: endedAt - startedAt,
		objectives: mergeObjectives(one.objectives, other.objectives),
		latencies: mergeLatencies(one.latencies, other.latencies),
	};
}

function bucketOf(interval: BurnInterval, now: WallTime): WallTime | undefined {
	const coarse = intervalStart(interval.startedAt, coarseMilliseconds);
	return interval.lengthMilliseconds < coarseMilliseconds && coarse + coarseMilliseconds <= now - foldAgeMilliseconds ? coarse : undefined;
}

function foldInto(bucket: BurnInterval | undefined, interval: BurnInterval, startedAt: WallTime): BurnInterval {
	const frame: BurnInterval = bucket ?? {
		startedAt, lengthMilliseconds: coarseMilliseconds, objectives: [], latencies: [],
	};
	return mergeIntervals(frame, interval);
}

/** Drops intervals that no window holds any more, and folds those past an hour into longer ones. */
export function foldIntervals(intervals: readonly BurnInterval[], now: WallTime): readonly BurnInterval[] {
	const coarse = new Map<WallTime, BurnInterval>();
	const fine: BurnInterval[] = [];
	for (const interval of intervals.filter(candidate => candidate.startedAt + candidate.lengthMilliseconds > now - keptMilliseconds)) {
		const bucket = bucketOf(interval, now);
		if (bucket === undefined) {
			fine.push(interval);
		} else {
			coarse.set(bucket, foldInto(coarse.get(bucket), interval, bucket));
		}
	}

	return [...coarse.values(), ...fine].sort((one, other) => one.startedAt - other.startedAt);
}

/** The intervals that begin within a span of time. */
export function intervalsBetween(intervals: readonly BurnInterval[], from: WallTime, until: WallTime): readonly BurnInterval[] {
	return intervals.filter(interval => interval.startedAt >= from && interval.startedAt < until);
}

/** The counts of one objective over intervals. */
export function countsOf(intervals: readonly BurnInterval[], service: ServiceName, objective: Objective['name']): Counts {
	return intervals
		.flatMap(interval => interval.objectives.filter(entry => entry.service === service && entry.objective === objective))
		.reduce((sum, entry) => addCounts(sum, entry.counts), noCounts);
}

/**
 * How many times faster than allowed the budget is spent: 1 spends it exactly
 * over the objective's period. Undefined without requests.
 */
export function burnRate(counts: Counts, target: number): number | undefined {
	return counts.total === 0 ? undefined : badOf(counts) / counts.total / (1 - target);
}
