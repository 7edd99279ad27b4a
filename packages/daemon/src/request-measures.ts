/**
 * Records the metrics of requests: counts and latencies. Each series is looked up once
 * for each service, outcome and status.
 */
import {type ServiceName} from '@dogwooddeck/model/identifiers';
import {
	type Counter, MeasureName, type Measures, recordDuration,
} from '@dogwooddeck/telemetry/measure';
import {type RequestReport} from '@dogwooddeck/upstream-client/request-path';

/** Records the metrics of completed requests. */
export type RequestMeasures = {
	readonly record: (service: ServiceName, report: RequestReport) => void;
};

type Series = {
	readonly latencies: ReturnType<Measures['histogram']>;
	/** By outcome and status. */
	readonly counters: Map<string, Counter>;
};

/** Creates the request metrics of an instance. */
export function createRequestMeasures(measures: Measures): RequestMeasures {
	const services = new Map<ServiceName, Series>();

	function seriesOf(service: ServiceName): Series {
		let series = services.get(service);
		if (series === undefined) {
			series = {latencies: measures.histogram(MeasureName.latency, {service}), counters: new Map()};
			services.set(service, series);
		}

		return series;
	}

	return {
		record(service, {outcome, status = 0, latencyMilliseconds}) {
			const {latencies, counters} = seriesOf(service);
			const key = `${outcome}${status}`;
			let counter = counters.get(key);
			if (counter === undefined) {
				counter = measures.counter(MeasureName.requests, {service, outcome, status: String(status)});
				counters.set(key, counter);
			}

			counter.value += 1;
			recordDuration(latencies, latencyMilliseconds);
		},
	};
}
