/**
 * What a leader has heard of upstreams and availability zones, and what can be
 * asked of it.
 */
import {
	type Incarnation, type Milliseconds, type MonotonicTime, type ServiceName, type UpstreamIdentity, type ZoneName,
} from '@dogwooddeck/model/identifiers';
import {type Announcement} from '@dogwooddeck/model/registry';
import {flappingUpstreams, type FlapHistory} from './flapping.js';
import {type Witnesses} from './witness.js';

/** An upstream from which no instance hears an announcement for this long is judged to be gone. */
export const announcementTimeoutMilliseconds: Milliseconds = 1000;
/** A zone that sends no report for this long can't be reached: what isn't heard of its upstreams says nothing. */
export const zoneTimeoutMilliseconds: Milliseconds = 1000;

/** What the leader heard of one upstream. */
export type UpstreamWatch = {
	/** The latest announcement. */
	readonly announcement?: Announcement;
	readonly heardAt: MonotonicTime;
	/** The life before the announced one, and when it was last heard. */
	readonly earlier?: {readonly incarnation: Incarnation; readonly heardAt: MonotonicTime};
	/** The number of reports of the upstream's zone when it was heard. */
	readonly heardInReport: number;
	/** When this leader proposed that the incarnation joins. Absent: it was in the registry before. */
	readonly joinedAt?: MonotonicTime;
	/** When the record was first seen as lost. */
	readonly lostAt?: MonotonicTime;
	readonly proposedAt?: MonotonicTime;
	readonly witnesses: Witnesses;
	readonly flaps: FlapHistory;
};

/** What the leader heard of one availability zone. */
export type ZoneWatch = {
	readonly reportedAt: MonotonicTime;
	/** The start of the present run of reports without a long gap. */
	readonly reachableSince: MonotonicTime;
	/** The number of reports that this leader had from the zone. */
	readonly reports: number;
};

/** The leader's view. */
export type WatchState = {
	readonly startedAt: MonotonicTime;
	readonly zones: Readonly<Record<ZoneName, ZoneWatch>>;
	/** By service and name, joined as `upstreamKey` says. */
	readonly upstreams: ReadonlyMap<string, UpstreamWatch>;
};

/** The key of an upstream in the view. */
export function upstreamKey(service: ServiceName, name: string): string {
	return `${service}\n${name}`;
}

/** The view of a leader that begins now. */
export function createWatch(now: MonotonicTime): WatchState {
	return {startedAt: now, zones: {}, upstreams: new Map()};
}

/** What is known of an upstream that was never heard. */
export function noContact(state: WatchState): UpstreamWatch {
	return {
		heardAt: state.startedAt, heardInReport: 0, witnesses: {}, flaps: {lives: []},
	};
}

/** What is known of an upstream. */
export function watchOf(state: WatchState, service: ServiceName, name: string): UpstreamWatch {
	return state.upstreams.get(upstreamKey(service, name)) ?? noContact(state);
}

/** When this leader let the incarnation join. Absent: it joined before this leader's time. */
export function joinedAt(state: WatchState, upstream: UpstreamIdentity): MonotonicTime | undefined {
	const watch = watchOf(state, upstream.service, upstream.name);
	return watch.announcement?.incarnation === upstream.incarnation ? watch.joinedAt : undefined;
}

/** How many of a service's upstreams changed lives several times in a short while. */
export function flappingCount(state: WatchState, service: ServiceName, now: MonotonicTime): number {
	const prefix = upstreamKey(service, '');
	const histories = [...state.upstreams].filter(([key]) => key.startsWith(prefix)).map(([, watch]) => watch.flaps);
	return flappingUpstreams(histories, now);
}
