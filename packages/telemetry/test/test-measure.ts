import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	createMeasures, MeasureName, type Measures, recordDuration,
} from '@dogwooddeck/telemetry/measure';

const cases: ReadonlyArray<{readonly name: string; readonly record: (measures: Measures) => void; readonly expected: readonly string[]}> = [
	{name: 'nothing', record: () => undefined, expected: ['']},
	{
		name: 'counters of one name are grouped, and gauges are separate',
		record(measures) {
			measures.counter(MeasureName.requests, {service: 'a/b', outcome: 'ran'}).value += 2;
			measures.set(MeasureName.ready, 1);
			measures.counter(MeasureName.requests, {service: 'a/b', outcome: 'not-run'}).value += 1;
		},
		expected: [
			'# TYPE dogwooddeck_ready gauge',
			'dogwooddeck_ready 1',
			'# TYPE dogwooddeck_requests_total counter',
			'dogwooddeck_requests_total{service="a/b",outcome="not-run"} 1',
			'dogwooddeck_requests_total{service="a/b",outcome="ran"} 2',
		],
	},
	{
		name: 'quantiles and count of durations',
		record(measures) {
			recordDuration(measures.histogram(MeasureName.latency, {service: 'a/b'}), 5);
		},
		expected: [
			'# TYPE dogwooddeck_request_milliseconds summary',
			'dogwooddeck_request_milliseconds_count{service="a/b"} 1',
			'dogwooddeck_request_milliseconds{service="a/b",quantile="0.5"} 5.023',
			'dogwooddeck_request_milliseconds{service="a/b",quantile="0.9"} 5.023',
			'dogwooddeck_request_milliseconds{service="a/b",quantile="0.99"} 5.023',
			'dogwooddeck_request_milliseconds{service="a/b",quantile="0.999"} 5.023',
		],
	},
];

for (const {name, record, expected} of cases) {
	test(`measures: ${name}`, () => {
		const measures = createMeasures();
		record(measures);
		assert.deepEqual(measures.expose().trimEnd().split('\n'), expected);
	});
}
