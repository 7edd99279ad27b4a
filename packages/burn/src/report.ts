/**
 * Makes the service-level burn report: the merged counts of all instances, and
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
	badCount, burnRate, burnWindows, countsOf, intervalsBetween, type BurnInterval, type BurnWindow, type Counts, type InstanceBurn,
} from './window.js';

/** An objective of a service. */
export type ServiceObjective = Objective & {readonly service: ServiceName};

/** Figures from the ownership table of a service, since one instance began to track it. */
export type OwnershipFigures = {
	readonly service: ServiceName;
	/** The time without an owner, summed over the slots that keys use. */
	readonly unavailableSlotMilliseconds: Milliseconds;
	/** The number of times that a slot changed its owner. */
	readonly moves: number;
	/** The maximum number of slots on one upstream, as a multiple of the mean. */
	readonly slotImbalance: number;
	/** The number of upstreams that own slots now. */
	readonly owners: number;
};

/** Ownership and load figures of a service, as a report shows them. */
export type ServiceFigures = Omit<OwnershipFigures, 'owners'> & {
	/** The maximum number of requests on one upstream, as a multiple of the mean, over the last 5 to 10 minutes. */
	readonly loadImbalance: number;
};

/** The data that a report is made from: the response to `GET /operator/burn`. */
export type BurnInput = {
	readonly at: WallTime;
	readonly objectives: readonly ServiceObjective[];
	/** The instances whose counts the report should cover. */
	readonly expected: readonly InstanceName[];
	readonly instances: readonly InstanceBurn[];
	readonly figures: readonly OwnershipFigures[];
};

/** An objective's burn rate over one window. */
export type WindowBurn = {
	readonly window: BurnWindow['name'];
	readonly counts: Counts;
	/** Absent without requests. */
	readonly burnRate?: number;
};

/** An objective's burn rate over the hour that ends at `at`. */
export type BurnPoint = {
	readonly at: WallTime;
	/** Absent without requests. */
	readonly burnRate?: number;
};

/** The burn rates of one objective and the budget that is left. */
export type ObjectiveBurn = {
	readonly objective: ServiceObjective;
	readonly windows: readonly WindowBurn[];
	/** One for each hour of the longest window, oldest first. */
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
	/** The expected instances whose counts are missing from the report. */
	readonly lacking: readonly InstanceName[];
};

const hourMilliseconds = 3_600_000;

function optionalRate(counts: Counts, target: number): {readonly burnRate?: number} {
	const rate = burnRate(counts, target);
	return rate === undefined ? {} : {burnRate: rate};
}

/** The burn over a window that ends at `at`. Intervals that start later are included, since the instances' clocks differ slightly. */
function windowBurn(intervals: readonly BurnInterval[], objective: ServiceObjective, window: BurnWindow, at: WallTime): WindowBurn {
	const included = intervalsBetween(intervals, at - window.milliseconds, Number.POSITIVE_INFINITY);
	const counts = countsOf(included, objective.service, objective.name);
	return {window: window.name, counts, ...optionalRate(counts, objective.target)};
}

function hourlyPoints(intervals: readonly BurnInterval[], objective: ServiceObjective, at: WallTime): readonly BurnPoint[] {
	const hours = burnWindows.at(-1)!.milliseconds / hourMilliseconds;
	return Array.from({length: hours}, (_unused, position) => {
		const from = at - ((hours - position) * hourMilliseconds);
		const counts = countsOf(intervalsBetween(intervals, from, from + hourMilliseconds), objective.service, objective.name);
		return {at: from + hourMilliseconds, ...optionalRate(counts, objective.target)};
	});
}

function budgetLeft(windows: readonly WindowBurn[], target: number): number {
	const {counts} = windows.at(-1)!;
	return counts.total === 0 ? 1 : 1 - (badCount(counts) / (counts.total * (1 - target)));
}

function objectiveBurn(intervals: readonly BurnInterval[], objective: ServiceObjective, at: WallTime): ObjectiveBurn {
	const windows = burnWindows.map(window => windowBurn(intervals, objective, window, at));
	return {
		objective, windows, points: hourlyPoints(intervals, objective, at), budgetLeft: budgetLeft(windows, objective.target),
	};
}

/** Makes the report. An instance without requests is in the input with no intervals; an expected instance that is not in the input is reported as `lacking`. */
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

function hasFields(value: unknown, texts: readonly string[], numbers: readonly string[]): boolean {
	const fields = value as Readonly<Record<string, unknown>> | null;
	return typeof fields === 'object' && fields !== null
		&& texts.every(key => typeof fields[key] === 'string')
		&& numbers.every(key => Number.isFinite(fields[key]));
}

function isBurnInput(value: unknown): value is BurnInput {
	if (!hasFields(value, [], ['at'])) {
		return false;
	}

	const {objectives, expected, instances, figures} = value as Readonly<Record<string, unknown>>;
	const figureFields = ['unavailableSlotMilliseconds', 'moves', 'slotImbalance', 'owners'];
	return isTextList(expected)
		&& Array.isArray(objectives) && objectives.every(item => hasFields(item, ['service', 'name'], ['target', 'periodDays']))
		&& Array.isArray(instances) && instances.every(item => isInstanceBurn(item))
		&& Array.isArray(figures) && figures.every(item => hasFields(item, ['service'], figureFields));
}

/** Validates the response to `GET /operator/burn`. Fails with `malformed`. */
export function checkInput(value: unknown): Result<BurnInput, Failure> {
	return isBurnInput(value) ? ok(value) : err(failure(FailureKind.malformed, 'the response is not the input of a burn report'));
}
