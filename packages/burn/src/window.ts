/**
 * Counts of objectives by interval, and the windows over which their burn rate
 * is reported. Intervals are immutable, and merging them is associative.
 */
import {type Objective} from '@dogwooddeck/model/contract';
import {
	type InstanceName, type Milliseconds, type ServiceName, type WallTime,
} from '@dogwooddeck/model/identifiers';
import {RequestClass} from './judgement.js';
import {type UpstreamLoad} from './load.js';
import {mergeLatencies, type ServiceLatency} from './latency.js';

/** The length of the intervals in which requests are counted. */
export const intervalMilliseconds: Milliseconds = 10_000;

/** The length of the intervals into which older ones are merged. */
export const coarseMilliseconds: Milliseconds = 300_000;

/** The age from which intervals are merged into longer ones. */
export const foldAgeMilliseconds: Milliseconds = 3_600_000;

/** The request classes that spend an objective's error budget. */
export type BadRequestClass = Exclude<RequestClass, 'good' | 'uncounted'>;

/** The bad request classes in the order in which they are shown. */
export const badRequestClasses: readonly BadRequestClass[] = [RequestClass.slow, RequestClass.failed, RequestClass.notRun, RequestClass.unknown];

/** The number of requests counted for an objective, and of those in each bad class. */
export type Counts = Readonly<Record<BadRequestClass, number>> & {readonly total: number};

/** The counts of one objective of a service. */
export type ObjectiveCounts = {
	readonly service: ServiceName;
	readonly objective: Objective['name'];
	readonly counts: Counts;
};

/** The counts of an instance over one interval. */
export type BurnInterval = {
	readonly startedAt: WallTime;
	readonly lengthMilliseconds: Milliseconds;
	/** Sorted by service and objective. */
	readonly objectives: readonly ObjectiveCounts[];
	/** Sorted by service. */
	readonly latencies: readonly ServiceLatency[];
};

/** All intervals that an instance retains, in any order, and its recent load on upstreams. */
export type InstanceBurn = {
	readonly instance: InstanceName;
	readonly intervals: readonly BurnInterval[];
	/** The requests that it sent to upstreams recently. */
	readonly loads: readonly UpstreamLoad[];
};

/** A length of time over which a burn rate is reported. */
export type BurnWindow = {readonly name: string; readonly milliseconds: Milliseconds};

/** The windows of a report: short ones show an outage, long ones a low but steady error rate. */
export const burnWindows: readonly BurnWindow[] = [
	{name: '5 min', milliseconds: 300_000},
	{name: '1 h', milliseconds: 3_600_000},
	{name: '6 h', milliseconds: 21_600_000},
	{name: '3 d', milliseconds: 259_200_000},
];

/** How long intervals are retained: the longest window. */
export const keptMilliseconds: Milliseconds = Math.max(...burnWindows.map(window => window.milliseconds));

export const noCounts: Counts = {
	total: 0, slow: 0, failed: 0, notRun: 0, unknown: 0,
};

/** The start of the interval that contains a time. */
export function intervalStart(at: WallTime, lengthMilliseconds: Milliseconds = intervalMilliseconds): WallTime {
	return Math.floor(at / lengthMilliseconds) * lengthMilliseconds;
}

export function addCounts(one: Counts, other: Counts): Counts {
	return {
		total: one.total + other.total,
		slow: one.slow + other.slow,
		failed: one.failed + other.failed,
		notRun: one.notRun + other.notRun,
		unknown: one.unknown + other.unknown,
	};
}

/** The number of bad requests. */
export function badCount(counts: Counts): number {
	return counts.slow + counts.failed + counts.notRun + counts.unknown;
}

function objectiveKey({service, objective}: ObjectiveCounts): string {
	return `${service} ${objective}`;
}

function mergeObjectives(one: readonly ObjectiveCounts[], other: readonly ObjectiveCounts[]): readonly ObjectiveCounts[] {
	const merged = new Map(one.map(entry => [objectiveKey(entry), entry]));
	for (const entry of other) {
		const existing = merged.get(objectiveKey(entry));
		merged.set(objectiveKey(entry), existing === undefined ? entry : {...entry, counts: addCounts(existing.counts, entry.counts)});
	}

	return [...merged.values()].sort((left, right) => objectiveKey(left) < objectiveKey(right) ? -1 : 1);
}

/** Merges the counts of two intervals into one interval that covers both. Associative and commutative. */
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

function coarseStartOf(interval: BurnInterval, now: WallTime): WallTime | undefined {
	const coarse = intervalStart(interval.startedAt, coarseMilliseconds);
	return interval.lengthMilliseconds < coarseMilliseconds && coarse + coarseMilliseconds <= now - foldAgeMilliseconds ? coarse : undefined;
}

function foldInto(bucket: BurnInterval | undefined, interval: BurnInterval, startedAt: WallTime): BurnInterval {
	const initial: BurnInterval = bucket ?? {
		startedAt, lengthMilliseconds: coarseMilliseconds, objectives: [], latencies: [],
	};
	return mergeIntervals(initial, interval);
}

/** Drops intervals that are older than every window, and merges those that ended more than an hour ago into longer ones. */
export function foldIntervals(intervals: readonly BurnInterval[], now: WallTime): readonly BurnInterval[] {
	const coarse = new Map<WallTime, BurnInterval>();
	const fine: BurnInterval[] = [];
	for (const interval of intervals.filter(candidate => candidate.startedAt + candidate.lengthMilliseconds > now - keptMilliseconds)) {
		const bucket = coarseStartOf(interval, now);
		if (bucket === undefined) {
			fine.push(interval);
		} else {
			coarse.set(bucket, foldInto(coarse.get(bucket), interval, bucket));
		}
	}

	return [...coarse.values(), ...fine].sort((one, other) => one.startedAt - other.startedAt);
}

/** The intervals that start at or after `from` and before `until`. */
export function intervalsBetween(intervals: readonly BurnInterval[], from: WallTime, until: WallTime): readonly BurnInterval[] {
	return intervals.filter(interval => interval.startedAt >= from && interval.startedAt < until);
}

/** The counts of one objective, summed over intervals. */
export function countsOf(intervals: readonly BurnInterval[], service: ServiceName, objective: Objective['name']): Counts {
	return intervals
		.flatMap(interval => interval.objectives.filter(entry => entry.service === service && entry.objective === objective))
		.reduce((sum, entry) => addCounts(sum, entry.counts), noCounts);
}

/**
 * The rate at which the error budget is spent, as a multiple of the rate that
 * spends it exactly over the objective's period. Undefined without requests.
 */
export function burnRate(counts: Counts, target: number): number | undefined {
	return counts.total === 0 ? undefined : badCount(counts) / counts.total / (1 - target);
}
