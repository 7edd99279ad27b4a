/**
 * The leader's volatile state about upstreams and availability zones, built
 * from reports, and queries on it.
 */
import {
	type Incarnation, type Milliseconds, type MonotonicTime, type ServiceName, type UpstreamIdentity, type ZoneName,
} from '@dogwooddeck/model/identifiers';
import {type Announcement} from '@dogwooddeck/model/registry';
import {flappingUpstreams, type FlapHistory} from './flapping.js';
import {type Witnesses} from './witness.js';

/** An upstream from which no instance receives an announcement for this long is declared lost. */
export const announcementTimeoutMilliseconds: Milliseconds = 1000;
/** A zone that sends no report for this long is unreachable: missing announcements of its upstreams are then no evidence. */
export const zoneTimeoutMilliseconds: Milliseconds = 1000;

/** The leader's view of one upstream. */
export type UpstreamWatch = {
	/** The latest announcement. */
	readonly announcement?: Announcement;
	readonly lastContactAt: MonotonicTime;
	/** The incarnation before the announced one, and its last contact. */
	readonly earlier?: {readonly incarnation: Incarnation; readonly lastContactAt: MonotonicTime};
	/** The number of reports received from the upstream's zone at its last contact. */
	readonly reportsAtContact: number;
	/** When this leader proposed that the incarnation joins. Absent if it joined before this leader's term. */
	readonly joinedAt?: MonotonicTime;
	/** When this leader first found the record lost. */
	readonly lostAt?: MonotonicTime;
	readonly proposedAt?: MonotonicTime;
	readonly witnesses: Witnesses;
	readonly flapHistory: FlapHistory;
};

/** The leader's view of one availability zone. */
export type ZoneWatch = {
	readonly reportedAt: MonotonicTime;
	/** When the current run of reports without a gap beyond the zone timeout started. */
	readonly reachableSince: MonotonicTime;
	/** The number of reports that this leader received from the zone. */
	readonly reports: number;
};

/** The leader's view of all upstreams and zones. */
export type WatchState = {
	readonly startedAt: MonotonicTime;
	readonly zones: Readonly<Record<ZoneName, ZoneWatch>>;
	/** By `upstreamKey`. */
	readonly upstreams: ReadonlyMap<string, UpstreamWatch>;
};

/** Returns the key of an upstream in the view. */
export function upstreamKey(service: ServiceName, name: string): string {
	return `${service}\n${name}`;
}

/** Creates the empty view of a leader whose term starts now. */
export function createWatch(now: MonotonicTime): WatchState {
	return {startedAt: now, zones: {}, upstreams: new Map()};
}

/** Returns the view of an upstream that this leader never had contact with. */
export function noContact(state: WatchState): UpstreamWatch {
	return {
		lastContactAt: state.startedAt, reportsAtContact: 0, witnesses: {}, flapHistory: {incarnations: []},
	};
}

/** Returns the view of an upstream. */
export function watchOf(state: WatchState, service: ServiceName, name: string): UpstreamWatch {
	return state.upstreams.get(upstreamKey(service, name)) ?? noContact(state);
}

/** Returns when this leader proposed that the incarnation joins; undefined if it joined before this leader's term. */
export function joinedAt(state: WatchState, upstream: UpstreamIdentity): MonotonicTime | undefined {
	const watch = watchOf(state, upstream.service, upstream.name);
	return watch.announcement?.incarnation === upstream.incarnation ? watch.joinedAt : undefined;
}

/** Counts the upstreams of a service that restarted several times in a short time. */
export function flappingCount(state: WatchState, service: ServiceName, now: MonotonicTime): number {
	const prefix = upstreamKey(service, '');
	const histories = [...state.upstreams].filter(([key]) => key.startsWith(prefix)).map(([, watch]) => watch.flapHistory);
	return flappingUpstreams(histories, now);
}
