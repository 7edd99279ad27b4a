/**
 * The report on service-level burn: what all instances counted, merged, beside
 * the figures on unavailable time, churn and imbalance.
 */
import {type Objective} from '@dogwooddeck/model/contract';
import {failure, FailureKind, type Failure} from '@dogwooddeck/model/failure';
import {
	type InstanceName, type Milliseconds, type ServiceName, type WallTime,
} from '@dogwooddeck/model/identifiers';
import {err, ok, type Result} from 'true-myth/result';
import {isInstanceBurn} from './encoding.js';
import {loadImbalance} from './load.js';
import {
	mergeLatencies, summariseLatency, type LatencySummary, type ServiceLatency,
} from './latency.js';
import {
	badOf, burnRate, burnWindows, countsOf, intervalsBetween, type BurnInterval, type BurnWindow, type Counts, type InstanceBurn,
} from './window.js';

/** An objective of a service. */
export type ServiceObjective = Objective & {readonly service: ServiceName};

/** What one instance sees in the ownership table of a service, since it began to follow it. */
export type OwnershipFigures = {
	readonly service: ServiceName;
	/** The sum over keys' slots of the time without an owner. */
	readonly unavailableSlotMilliseconds: Milliseconds;
	/** Slots that changed their owner. */
	readonly moves: number;
	/** The most slots on one upstream, as a multiple of the mean. */
	readonly slotImbalance: number;
	/** The upstreams that own slots now. */
	readonly owners: number;
};

/** What else the users measure about a service. */
export type ServiceFigures = Omit<OwnershipFigures, 'owners'> & {
	/** The most requests on one upstream, as a multiple of the mean, over the last minutes. */
	readonly loadImbalance: number;
};

/** What the report is made from: the answer to `GET /operator/burn`. */
export type BurnInput = {
	readonly at: WallTime;
	readonly objectives: readonly ServiceObjective[];
	/** The instances that should have counted. */
	readonly expected: readonly InstanceName[];
	readonly instances: readonly InstanceBurn[];
	readonly figures: readonly OwnershipFigures[];
};

/** An objective's burn over one window. */
export type WindowBurn = {
	readonly window: BurnWindow['name'];
	readonly counts: Counts;
	/** Absent without requests. */
	readonly burnRate?: number;
};

/** An objective's burn at one moment. */
export type BurnPoint = {
	readonly at: WallTime;
	/** Absent without requests. */
	readonly burnRate?: number;
};

/** The burn of one objective. */
export type ObjectiveBurn = {
	readonly objective: ServiceObjective;
	readonly windows: readonly WindowBurn[];
	/** By the hour, over the longest window; oldest first. */
	readonly points: readonly BurnPoint[];
	/** The share of the longest window's own budget that is left; below 0 when overspent. */
	readonly budgetLeft: number;
};

/** The report. */
export type BurnReport = {
	readonly at: WallTime;
	readonly objectives: readonly ObjectiveBurn[];
	/** Over the last hour. */
	readonly latencies: readonly LatencySummary[];
	readonly figures: readonly ServiceFigures[];
	/** The instances whose counts are in the report. */
	readonly instances: readonly InstanceName[];
	/** The instances whose counts are missing from it. */
	readonly lacking: readonly InstanceName[];
};

const hourMilliseconds = 3_600_000;

function optionalRate(counts: Counts, target: number): {readonly burnRate?: number} {
	const rate = burnRate(counts, target);
	return rate === undefined ? {} : {burnRate: rate};
}

/** Intervals that have begun when the report is made; clocks of instances differ a little. */
function windowBurn(intervals: readonly BurnInterval[], objective: ServiceObjective, window: BurnWindow, at: WallTime): WindowBurn {
	const held = intervalsBetween(intervals, at - window.milliseconds, Number.POSITIVE_INFINITY);
	const counts = countsOf(held, objective.service, objective.name);
	return {window: window.name, counts, ...optionalRate(counts, objective.target)};
}

function pointsOf(intervals: readonly BurnInterval[], objective: ServiceObjective, at: WallTime): readonly BurnPoint[] {
	const hours = burnWindows.at(-1)!.milliseconds / hourMilliseconds;
	return Array.from({length: hours}, (_unused, position) => {
		const from = at - ((hours - position) * hourMilliseconds);
		const counts = countsOf(intervalsBetween(intervals, from, from + hourMilliseconds), objective.service, objective.name);
		return {at: from + hourMilliseconds, ...optionalRate(counts, objective.target)};
	});
}

function budgetLeft(windows: readonly WindowBurn[], target: number): number {
	const {counts} = windows.at(-1)!;
	return counts.total === 0 ? 1 : 1 - (badOf(counts) / (counts.total * (1 - target)));
}

function objectiveBurn(intervals: readonly BurnInterval[], objective: ServiceObjective, at: WallTime): ObjectiveBurn {
	const windows = burnWindows.map(window => windowBurn(intervals, objective, window, at));
	return {
		objective, windows, points: pointsOf(intervals, objective, at), budgetLeft: budgetLeft(windows, objective.target),
	};
}

/** Makes the report. An instance that counted nothing is there with no intervals; one that is not there is lacking. */
export function makeReport({at, objectives, expected, instances, figures}: BurnInput): BurnReport {
	const intervals = instances.flatMap(instance => instance.intervals);
	const names = instances.map(instance => instance.instance);
	const loads = instances.flatMap(instance => instance.loads);
	const lastHour = intervalsBetween(intervals, at - hourMilliseconds, Number.POSITIVE_INFINITY);
	const latencies = lastHour.reduce<readonly ServiceLatency[]>((sum, interval) => mergeLatencies(sum, interval.latencies), []);
	return {
		at,
		objectives: objectives.map(objective => objectiveBurn(intervals, objective, at)),
		latencies: latencies.map(latency => summariseLatency(latency)),
		figures: figures.map(({owners, ...kept}) => ({...kept, loadImbalance: loadImbalance(loads, kept.service, owners)})),
		instances: [...names].sort(),
		lacking: expected.filter(name => !names.includes(name)).sort(),
	};
}

function isTextList(value: unknown): boolean {
	return Array.isArray(value) && value.every(item => typeof item === 'string');
}

function isNumbered(value: unknown, texts: readonly string[], numbers: readonly string[]): boolean {
	const fields = value as Readonly<Record<string, unknown>> | null;
	return typeof fields === 'object' && fields !== null
		&& texts.every(key => typeof fields[key] === 'string')
		&& numbers.every(key => Number.isFinite(fields[key]));
}

function isInput(value: unknown): value is BurnInput {
	if (!isNumbered(value, [], ['at'])) {
		return false;
	}

	const {objectives, expected, instances, figures} = value as Readonly<Record<string, unknown>>;
	const figureFields = ['unavailableSlotMilliseconds', 'moves', 'slotImbalance', 'owners'];
	return isTextList(expected)
		&& Array.isArray(objectives) && objectives.every(item => isNumbered(item, ['service', 'name'], ['target', 'periodDays']))
		&& Array.isArray(instances) && instances.every(item => isInstanceBurn(item))
		&& Array.isArray(figures) && figures.every(item => isNumbered(item, ['service'], figureFields));
}

/** Checks the answer to `GET /operator/burn`. Fails with `malformed`. */
export function checkInput(value: unknown): Result<BurnInput, Failure> {
	return isInput(value) ? ok(value) : err(failure(FailureKind.malformed, 'the answer is not a report\'s input'));
}
