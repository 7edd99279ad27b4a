/**
 * What an instance measures of itself: counters, gauges and latency histograms,
 * and their text in the exposition format that scrapers read.
 */
import {type Milliseconds} from '@dogwooddeck/model/identifiers';
import {build, type Histogram} from 'hdr-histogram-js';

/** The names of all measures. */
export const MeasureName = {
	/** Requests that ended, by service, outcome and status class. */
	requests: 'dogwooddeck_requests_total',
	/** Time to a whole answer, in milliseconds, by service. */
	latency: 'dogwooddeck_request_milliseconds',
	/** Attempts that were sent to upstreams, by service. */
	attempts: 'dogwooddeck_attempts_total',
	/** The newest log entry that is applied. */
	applied: 'dogwooddeck_applied_index',
	/** Calls to other instances, by call. */
	peerCalls: 'dogwooddeck_peer_calls_total',
	/** Announcements that were taken. */
	announcements: 'dogwooddeck_announcements_total',
	/** Whether this instance is ready: 1 or 0. */
	ready: 'dogwooddeck_ready',
	/** Whether this instance is the leader: 1 or 0. */
	leader: 'dogwooddeck_leader',
	/** Whether this instance is its zone's steward: 1 or 0. */
	steward: 'dogwooddeck_steward',
	/** Resident memory in bytes. */
	memory: 'dogwooddeck_resident_bytes',
	/** Processor time that the process has used, in milliseconds. */
	processor: 'dogwooddeck_processor_milliseconds_total',
} as const;

/** One of the names of measures. */
export type MeasureName = (typeof MeasureName)[keyof typeof MeasureName];

/** Tells one series of a measure from another. */
export type Labels = Readonly<Record<string, string>>;

/** One series that counts. Keep it: finding it costs more than counting. */
export type Counter = {value: number};

/** The measures of one instance. The structures are mutable: they are on the request path. */
export type Measures = {
	/** The counter of a series. */
	readonly counter: (name: MeasureName, labels: Labels) => Counter;
	/** Sets a gauge. */
	readonly set: (name: MeasureName, value: number) => void;
	/** The histogram of a series of durations. Record with `recordDuration`. */
	readonly histogram: (name: MeasureName, labels: Labels) => Histogram;
	/** All measures as text, one series a line. */
	readonly expose: () => string;
};

const unitsPerMillisecond = 1000;
const longestRecordedMilliseconds = 60_000;
const significantDigits = 2;
const exposedPercentiles = [50, 90, 99, 99.9];

function seriesOf(name: MeasureName, labels: Labels): string {
	const pairs = Object.entries(labels).map(([key, value]) => `${key}=${JSON.stringify(value)}`);
	return pairs.length === 0 ? name : `${name}{${pairs.join(',')}}`;
}

function createHistogram(): Histogram {
	return build({
		lowestDiscernibleValue: 1,
		highestTrackableValue: longestRecordedMilliseconds * unitsPerMillisecond,
		numberOfSignificantValueDigits: significantDigits,
	});
}

function found<Value>(map: Map<string, Value>, key: string, make: () => Value): Value {
	const known = map.get(key);
	if (known !== undefined) {
		return known;
	}

	const made = make();
	map.set(key, made);
	return made;
}

/** Records a duration in a histogram that `histogram` gave. */
export function recordDuration(histogram: Histogram, duration: Milliseconds): void {
	const capped = Math.min(longestRecordedMilliseconds, Math.max(0, duration));
	histogram.recordValue(Math.round(capped * unitsPerMillisecond));
}

/** Makes an empty set of measures. */
export function createMeasures(): Measures {
	const counters = new Map<string, Counter>();
	const histograms = new Map<string, {name: MeasureName; labels: Labels; histogram: Histogram}>();

	function histogramLines(): string[] {
		return [...histograms.values()].flatMap(({name, labels, histogram}) => [
			...exposedPercentiles.map(percentile => {
				const series = seriesOf(name, {...labels, quantile: String(percentile / 100)});
				return `${series} ${histogram.getValueAtPercentile(percentile) / unitsPerMillisecond}`;
			}),
			`${seriesOf(name, labels).replace(name, `${name}_count`)} ${histogram.totalCount}`,
		]);
	}

	return {
		counter: (name, labels) => found(counters, seriesOf(name, labels), () => ({value: 0})),
		set(name, value) {
			found(counters, name, () => ({value: 0})).value = value;
		},
		histogram: (name, labels) => found(histograms, seriesOf(name, labels), () => ({name, labels, histogram: createHistogram()})).histogram,
		expose() {
			const lines = [...counters].map(([series, {value}]) => `${series} ${value}`);
			return [...lines, ...histogramLines()].sort().join('\n') + '\n';
		},
	};
}
