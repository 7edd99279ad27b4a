/**
 * Counts the requests of the current interval. The recorder is mutable, since
 * it runs for every request.
 */
import {type Objective, type ServiceContract} from '@dogwooddeck/model/contract';
import {type ServiceName, type WallTime} from '@dogwooddeck/model/identifiers';
import {type Histogram} from 'hdr-histogram-js';
import {
	RequestClass, classifyRequest, CompletionStatus, type RequestSample,
} from './judgement.js';
import {emptyHistogram, encodeHistogram, recordLatency} from './latency.js';
import {intervalMilliseconds, type BurnInterval, type ObjectiveCounts} from './window.js';

/** The statuses whose latency is recorded: only a request that is known to have run has a meaningful one. */
const measuredStatuses: ReadonlySet<CompletionStatus> = new Set([CompletionStatus.answered, CompletionStatus.failed]);

type MutableCounts = {
	total: number;
	slow: number;
	failed: number;
	notRun: number;
	unknown: number;
};

type ServiceRecord = {
	readonly latencies: Histogram;
	readonly objectives: Map<Objective['name'], MutableCounts>;
};

type Counter = (counts: MutableCounts) => void;

const counters: Readonly<Record<RequestClass, Counter>> = {
	[RequestClass.good](counts) {
		counts.total += 1;
	},
	[RequestClass.slow](counts) {
		counts.total += 1;
		counts.slow += 1;
	},
	[RequestClass.failed](counts) {
		counts.total += 1;
		counts.failed += 1;
	},
	[RequestClass.notRun](counts) {
		counts.total += 1;
		counts.notRun += 1;
	},
	[RequestClass.unknown](counts) {
		counts.total += 1;
		counts.unknown += 1;
	},
	[RequestClass.uncounted]() {
		// Not counted for the objective.
	},
};

function objectivesOf(service: ServiceName, record: ServiceRecord): readonly ObjectiveCounts[] {
	const names = [...record.objectives.keys()].sort();
	return names.map(objective => ({service, objective, counts: {...record.objectives.get(objective)!}}));
}

/** Counts requests until the interval is closed by `take`. */
export class BurnRecorder {
	readonly #services = new Map<ServiceName, ServiceRecord>();

	/** Counts one request for each objective of its service. */
	record(contract: Pick<ServiceContract, 'name' | 'objectives'>, sample: RequestSample): void {
		const record = this.#recordOf(contract.name);
		if (measuredStatuses.has(sample.end)) {
			recordLatency(record.latencies, sample.latencyMilliseconds);
		}

		for (const objective of contract.objectives) {
			counters[classifyRequest(sample, objective)](this.#countsOf(record, objective.name));
		}
	}

	/** Returns the counts as the interval that starts at `startedAt`, and resets them for the next. */
	take(startedAt: WallTime): BurnInterval {
		const services = [...this.#services].sort(([left], [right]) => left < right ? -1 : 1);
		this.#services.clear();
		return {
			startedAt,
			lengthMilliseconds: intervalMilliseconds,
			objectives: services.flatMap(([service, record]) => objectivesOf(service, record)),
			latencies: services.map(([service, record]) => ({service, histogram: encodeHistogram(record.latencies)})),
		};
	}

	#recordOf(service: ServiceName): ServiceRecord {
		const record = this.#services.get(service) ?? {latencies: emptyHistogram(), objectives: new Map()};
		this.#services.set(service, record);
		return record;
	}

	#countsOf(record: ServiceRecord, objective: Objective['name']): MutableCounts {
		const counts = record.objectives.get(objective) ?? {
			total: 0, slow: 0, failed: 0, notRun: 0, unknown: 0,
		};
		record.objectives.set(objective, counts);
		return counts;
	}
}
