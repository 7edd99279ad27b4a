/**
 * The metrics of an instance: counters, gauges and latency histograms, and their
 * text in the exposition format that scrapers read.
 */
import {type Milliseconds} from '@dogwooddeck/model/identifiers';
import {build, type Histogram} from 'hdr-histogram-js';

/** The names of all metrics. */
export const MeasureName = {
	/** Completed requests, by service, outcome and status class. */
	requests: 'dogwooddeck_requests_total',
	/** Time to a complete answer, in milliseconds, by service. */
	latency: 'dogwooddeck_request_milliseconds',
	/** Attempts at upstreams without an answer, by service and observation. */
	attempts: 'dogwooddeck_failed_attempts_total',
	/** Decisions about sending a request whose answer is late to a second upstream, by service and verdict. */
	secondSends: 'dogwooddeck_second_sends_total',
	/** Requests that were answered by the second upstream first, by service. */
	secondAnswers: 'dogwooddeck_second_answers_total',
	/** Notices in the answers of upstreams (it is leaving, it asks for a pause, or unreadable), by service and kind. */
	notices: 'dogwooddeck_upstream_notices_total',
	/** Operators' orders to evacuate or restore zones, at the leader, by order and outcome. */
	zoneOrders: 'dogwooddeck_zone_orders_total',
	/** The number of evacuated zones that this instance knows of. */
	evacuatedZones: 'dogwooddeck_evacuated_zones',
	/** Requests that were sent to cold upstreams, by service. */
	coldRequests: 'dogwooddeck_cold_requests_total',
	/** Connections of peers that were closed because they take too much, by reason. */
	peersClosed: 'dogwooddeck_peers_closed_total',
	/** How often reading from a peer stopped for a while, as its short pieces take too much of the loop. */
	peersThrottled: 'dogwooddeck_peers_throttled_total',
	/** The time that short pieces of bodies and answers took, in milliseconds. */
	piecesTime: 'dogwooddeck_pieces_milliseconds_total',
	/** The index of the newest applied log entry. */
	applied: 'dogwooddeck_applied_index',
	/** The index of the newest log entry known to be committed. */
	committed: 'dogwooddeck_committed_index',
	/** Messages of the replicated log, by kind and outcome. */
	replicationMessages: 'dogwooddeck_replication_messages_total',
	/** Characters of log entries and snapshots that were sent to other voters. */
	replicationCharacters: 'dogwooddeck_replication_characters_total',
	/** Accepted announcements. */
	announcements: 'dogwooddeck_announcements_total',
	/** Time to answer an announcement, in milliseconds. */
	announcementLatency: 'dogwooddeck_announcement_milliseconds',
	/** Whether this instance is ready: 1 or 0. */
	ready: 'dogwooddeck_ready',
	/** Whether this instance is the leader: 1 or 0. */
	leader: 'dogwooddeck_leader',
	/** Whether this instance is the steward of its zone, which distributes the zone's leases: 1 or 0. */
	steward: 'dogwooddeck_steward',
	/** Resident memory in bytes. */
	memory: 'dogwooddeck_resident_bytes',
	/** The event-loop delay: how late timers of the process fire, in milliseconds. */
	loopDelay: 'dogwooddeck_loop_delay_milliseconds',
	/** Calls to other instances, by call and outcome. */
	callsMade: 'dogwooddeck_calls_made_total',
	/** Calls received from other instances, by call. */
	callsTaken: 'dogwooddeck_calls_taken_total',
	/** Holds (key leases at upstreams) that had expired when their upstream announced itself. */
	holdsLapsed: 'dogwooddeck_holds_lapsed_total',
	/** Answers of a keeper of room, by service and kind. */
	roomAnswers: 'dogwooddeck_room_answers_total',
	/** Time from an ask for a place to the keeper's answer, in milliseconds, by service. */
	roomWait: 'dogwooddeck_room_wait_milliseconds',
	/** Requests for which an entry had no keeper, by service. */
	roomUnkept: 'dogwooddeck_room_unkept_total',
	/** Processor time that the process has used, in milliseconds. */
	processor: 'dogwooddeck_processor_milliseconds_total',
} as const;

export type MeasureName = (typeof MeasureName)[keyof typeof MeasureName];

/** The labels that identify a series of a metric. */
export type Labels = Readonly<Record<string, string>>;

/** The counter of one series. Keep a reference to it: the lookup costs more than an increment. */
export type Counter = {value: number};

/** The metrics of one instance. They are mutable because they are on the request path. */
export type Measures = {
	/** Returns the counter of a series. */
	readonly counter: (name: MeasureName, labels: Labels) => Counter;
	/** Sets a gauge. */
	readonly set: (name: MeasureName, value: number) => void;
	/** Returns the histogram of a series of durations. Record with `recordDuration`. */
	readonly histogram: (name: MeasureName, labels: Labels) => Histogram;
	/** Returns all metrics as text: a line with the type of each metric, then one line for each of its series. */
	readonly expose: () => string;
};

const unitsPerMillisecond = 1000;
const maximumRecordedMilliseconds = 60_000;
const significantDigits = 2;
const exposedQuantiles = ['0.5', '0.9', '0.99', '0.999'];
const percentilesInWhole = 100;

/** The metric types of the exposition format. */
const MetricType = {counter: 'counter', gauge: 'gauge', summary: 'summary'} as const;
type MetricType = (typeof MetricType)[keyof typeof MetricType];

type MetricFamily = {readonly kind: MetricType; readonly lines: readonly string[]};

function seriesName(name: MeasureName, labels: Labels): string {
	const pairs = Object.entries(labels).map(([key, value]) => `${key}=${JSON.stringify(value)}`);
	return pairs.length === 0 ? name : `${name}{${pairs.join(',')}}`;
}

function createHistogram(): Histogram {
	return build({
		lowestDiscernibleValue: 1,
		highestTrackableValue: maximumRecordedMilliseconds * unitsPerMillisecond,
		numberOfSignificantValueDigits: significantDigits,
	});
}

function getOrCreate<Value>(map: Map<string, Value>, key: string, create: () => Value): Value {
	const existing = map.get(key);
	if (existing !== undefined) {
		return existing;
	}

	const created = create();
	map.set(key, created);
	return created;
}

function summaryLines(name: MeasureName, labels: Labels, histogram: Histogram): readonly string[] {
	const quantiles = exposedQuantiles.map(quantile => {
		const units = histogram.getValueAtPercentile(Number(quantile) * percentilesInWhole);
		return `${seriesName(name, {...labels, quantile})} ${units / unitsPerMillisecond}`;
	});
	return [...quantiles, `${seriesName(name, labels).replace(name, `${name}_count`)} ${histogram.totalCount}`];
}

function familyLines([name, {kind, lines}]: readonly [MeasureName, MetricFamily]): readonly string[] {
	return [`# TYPE ${name} ${kind}`, ...[...lines].sort()];
}

/** Records a duration, capped at 60 s, in a histogram that `Measures.histogram` returned. */
export function recordDuration(histogram: Histogram, duration: Milliseconds): void {
	const capped = Math.min(maximumRecordedMilliseconds, Math.max(0, duration));
	histogram.recordValue(Math.round(capped * unitsPerMillisecond));
}

/** Creates an empty set of metrics. */
export function createMeasures(): Measures {
	const counters = new Map<string, {readonly name: MeasureName; readonly counter: Counter}>();
	const gauges = new Map<MeasureName, number>();
	const histograms = new Map<string, {readonly name: MeasureName; readonly labels: Labels; readonly histogram: Histogram}>();

	function families(): ReadonlyMap<MeasureName, MetricFamily> {
		const all = new Map<MeasureName, MetricFamily>([...gauges].map(([name, value]) => [name, {kind: MetricType.gauge, lines: [`${name} ${value}`]}]));
		const add = (name: MeasureName, kind: MetricType, lines: readonly string[]) => all.set(name, {kind, lines: [...all.get(name)?.lines ?? [], ...lines]});
		for (const [series, {name, counter}] of counters) {
			add(name, MetricType.counter, [`${series} ${counter.value}`]);
		}

		for (const {name, labels, histogram} of histograms.values()) {
			add(name, MetricType.summary, summaryLines(name, labels, histogram));
		}

		return all;
	}

	return {
		counter: (name, labels) => getOrCreate(counters, seriesName(name, labels), () => ({name, counter: {value: 0}})).counter,
		set(name, value) {
			gauges.set(name, value);
		},
		histogram: (name, labels) => getOrCreate(histograms, seriesName(name, labels), () => ({name, labels, histogram: createHistogram()})).histogram,
		expose() {
			const ordered = [...families()].sort(([one], [other]) => (one < other ? -1 : 1));
			return ordered.flatMap(family => familyLines(family)).join('\n') + '\n';
		},
	};
}
