/**
 * The leader's volatile view of the upstreams. It hears reports and, at each
 * tick, says which changes of the registry to propose. A new leader starts
 * with an empty view, which gives every upstream a full grace period.
 */
import {type ServiceContract, WhenCut} from '@dogwooddeck/model/contract';
import {
	type InstanceName, type Milliseconds, type MonotonicTime, type ServiceName, type UpstreamIdentity, type ZoneName,
} from '@dogwooddeck/model/identifiers';
import {type Report} from '@dogwooddeck/model/lease';
import {
	type Announcement, identityOf, UpstreamPhase, type UpstreamRecord,
} from '@dogwooddeck/model/registry';
import {dispatch, type HandlerTable, type Transition} from '@dogwooddeck/model/transition';
import {
	flappingUpstreams, type FlapHistory, heldUntil, noteLife,
} from './flapping.js';
import {
	latestIncarnation, type MembershipCommand, type MembershipState, upstreamOf, upstreamsOf,
} from './registry.js';
import {
	evidenceSaysLost, noteEvidence, type Witnesses,
} from './witness.js';

/** An upstream from which no instance hears an announcement for this long is judged to be gone. */
export const announcementTimeoutMilliseconds: Milliseconds = 1000;
/** A zone that sends no report for this long can't be reached: what isn't heard of its upstreams says nothing. */
export const zoneTimeoutMilliseconds: Milliseconds = 1000;
/** A zone must have sent this many reports without an upstream before its silence counts. */
export const silentReportsForVerdict = 2;
/** When a large part of a service's upstreams in a zone goes silent at once, the verdict waits for this much more silence. */
export const stormConfirmationMilliseconds: Milliseconds = 500;
/** Silence of more than this share of a service's upstreams in a zone looks like a cut, not like deaths. */
export const stormShare = 0.5;
/** Evidence alone, against announcements that still come, condemns at most this share of a service's upstreams. */
export const evidenceVerdictShare = 0.34;
/** A proposal that did not take effect is made again after this long. */
export const proposalRepeatMilliseconds: Milliseconds = 500;
/** The record of a lost upstream is dropped after this long. */
export const forgetAfterMilliseconds: Milliseconds = 3_600_000;

/** What the leader heard of one upstream. */
export type UpstreamWatch = {
	/** The latest announcement. */
	readonly announcement?: Announcement;
	readonly heardAt: MonotonicTime;
	/** The number of reports of the upstream's zone when it was heard. */
	readonly heardInReport: number;
	/** When the incarnation was first heard by this leader. Absent: it was in the registry before. */
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

/** What the watch is fed with. */
export type WatchEvent =
	/** A zone's steward, or a single instance, passed on what its zone saw. */
	| {
		readonly kind: 'reportReceived';
		readonly now: MonotonicTime;
		readonly report: Report;
		readonly reporter: {readonly zone: ZoneName; readonly instance: InstanceName};
	}
	| {
		readonly kind: 'ticked';
		readonly now: MonotonicTime;
		readonly registry: MembershipState;
		readonly contracts: readonly ServiceContract[];
		/** The number of instances in each zone's roster. */
		readonly rosterSizes: Readonly<Record<ZoneName, number>>;
	};

/** Changes of the registry to propose. */
export type WatchEffect = {readonly kind: 'propose'; readonly command: MembershipCommand};

type Tick = Extract<WatchEvent, {readonly kind: 'ticked'}>;

/** The key of an upstream in the view. */
export function upstreamKey(service: ServiceName, name: string): string {
	return `${service}\n${name}`;
}

/** The view of a leader that begins now. */
export function createWatch(now: MonotonicTime): WatchState {
	return {startedAt: now, zones: {}, upstreams: new Map()};
}

function unheard(state: WatchState): UpstreamWatch {
	return {
		heardAt: state.startedAt, heardInReport: 0, witnesses: {}, flaps: {lives: []},
	};
}

function watchOf(state: WatchState, service: ServiceName, name: string): UpstreamWatch {
	return state.upstreams.get(upstreamKey(service, name)) ?? unheard(state);
}

/** When this leader first heard the incarnation. Absent: before this leader's time. */
export function joinedAt(state: WatchState, upstream: UpstreamIdentity): MonotonicTime | undefined {
	const watch = watchOf(state, upstream.service, upstream.name);
	return watch.announcement?.incarnation === upstream.incarnation ? watch.joinedAt : undefined;
}

/** The upstream's own figure for how busy it is, a hint from 0 to 1 that may lag or mislead. */
export function announcedLoad(state: WatchState, upstream: UpstreamIdentity): number | undefined {
	const {announcement} = watchOf(state, upstream.service, upstream.name);
	return announcement?.incarnation === upstream.incarnation ? announcement.load : undefined;
}

/** How many of a service's upstreams changed lives several times in a short while. */
export function flappingCount(state: WatchState, service: ServiceName, now: MonotonicTime): number {
	const prefix = upstreamKey(service, '');
	const histories = [...state.upstreams].filter(([key]) => key.startsWith(prefix)).map(([, watch]) => watch.flaps);
	return flappingUpstreams(histories, now);
}

function hearAnnouncement(watch: UpstreamWatch, announcement: Announcement, heardInReport: number, now: MonotonicTime): UpstreamWatch {
	const known = watch.announcement;
	if (known !== undefined && known.incarnation > announcement.incarnation) {
		return watch;
	}

	if (known?.incarnation === announcement.incarnation) {
		return {
			...watch, announcement, heardAt: now, heardInReport,
		};
	}

	const {lostAt: _lostAt, proposedAt: _proposedAt, ...kept} = watch;
	return {
		...kept, announcement, heardAt: now, heardInReport, joinedAt: now, witnesses: {}, flaps: noteLife(watch.flaps, announcement.incarnation, now),
	};
}

function hearZone(zone: ZoneWatch | undefined, now: MonotonicTime): ZoneWatch {
	const isContinuous = zone !== undefined && now - zone.reportedAt <= zoneTimeoutMilliseconds;
	return {reportedAt: now, reachableSince: isContinuous ? zone.reachableSince : now, reports: (zone?.reports ?? 0) + 1};
}

function receive(event: Extract<WatchEvent, {readonly kind: 'reportReceived'}>, state: WatchState): Transition<WatchState, WatchEffect> {
	const {now, report, reporter} = event;
	const zones = {...state.zones, [reporter.zone]: hearZone(state.zones[reporter.zone], now)};
	const upstreams = new Map(state.upstreams);
	for (const announcement of report.announcements) {
		const {service, name, zone} = announcement;
		const key = upstreamKey(service, name);
		upstreams.set(key, hearAnnouncement(upstreams.get(key) ?? unheard(state), announcement, zones[zone]?.reports ?? 0, now));
	}

	for (const evidence of report.evidence) {
		const {service, name} = evidence.upstream;
		const key = upstreamKey(service, name);
		const watch = upstreams.get(key) ?? unheard(state);
		upstreams.set(key, {...watch, witnesses: noteEvidence(watch.witnesses, evidence, reporter.zone, now)});
	}

	return {state: {...state, zones, upstreams}, effects: []};
}

function isZoneReachable(state: WatchState, tick: Tick, zone: ZoneName): boolean {
	const isWatched = (tick.rosterSizes[zone] ?? 0) > 0;
	const reportedAt = state.zones[zone]?.reportedAt;
	return !isWatched || (reportedAt !== undefined && tick.now - reportedAt <= zoneTimeoutMilliseconds);
}

function silenceOf(state: WatchState, tick: Tick, record: UpstreamRecord): Milliseconds {
	const watch = watchOf(state, record.service, record.name);
	const heardAt = watch.announcement?.incarnation === record.incarnation ? watch.heardAt : state.startedAt;
	const reachableSince = isZoneReachable(state, tick, record.zone) ? state.zones[record.zone]?.reachableSince ?? state.startedAt : state.startedAt;
	return tick.now - Math.max(heardAt, reachableSince);
}

/** Whether the upstream's zone had its chance to tell of it. A zone out of reach is judged by the contract. */
function isMissedByZone(state: WatchState, tick: Tick, record: UpstreamRecord): boolean {
	const isWatched = (tick.rosterSizes[record.zone] ?? 0) > 0;
	const reports = state.zones[record.zone]?.reports ?? 0;
	const {heardInReport} = watchOf(state, record.service, record.name);
	return !isWatched || !isZoneReachable(state, tick, record.zone) || reports - heardInReport >= silentReportsForVerdict;
}

/** A later life that announces itself ends the earlier, also while it is held back itself. */
function isOver(state: WatchState, record: UpstreamRecord): boolean {
	const {announcement} = watchOf(state, record.service, record.name);
	return announcement !== undefined && announcement.incarnation > record.incarnation;
}

type ZoneView = {
	readonly isReachable: boolean;
	readonly isStorm: boolean;
};

function viewZone(state: WatchState, tick: Tick, records: readonly UpstreamRecord[], zone: ZoneName): ZoneView {
	const inZone = records.filter(record => record.zone === zone && record.phase !== UpstreamPhase.lost);
	const silent = inZone.filter(record => silenceOf(state, tick, record) > announcementTimeoutMilliseconds);
	return {
		isReachable: isZoneReachable(state, tick, zone),
		isStorm: silent.length > 1 && silent.length > inZone.length * stormShare,
	};
}

function silenceSaysLost(silence: Milliseconds, contract: ServiceContract, zone: ZoneView): boolean {
	const confirmation = zone.isStorm ? stormConfirmationMilliseconds : 0;
	const mayJudge = zone.isReachable || contract.whenCut === WhenCut.takeOver;
	return mayJudge && silence > announcementTimeoutMilliseconds + confirmation;
}

function condemnedByEvidence(state: WatchState, tick: Tick, records: readonly UpstreamRecord[]): ReadonlySet<UpstreamRecord> {
	const alive = records.filter(record => record.phase !== UpstreamPhase.lost);
	const condemned = alive.filter(record => {
		const {witnesses} = watchOf(state, record.service, record.name);
		return evidenceSaysLost({
			witnesses, upstream: identityOf(record), zone: record.zone, rosterSize: tick.rosterSizes[record.zone] ?? 0, now: tick.now,
		});
	});
	const allowed = Math.max(1, Math.floor(alive.length * evidenceVerdictShare));
	return new Set(condemned.length <= allowed ? condemned : []);
}

function lostCommands(state: WatchState, tick: Tick, contract: ServiceContract): MembershipCommand[] {
	const records = upstreamsOf(tick.registry, contract.name);
	const condemned = condemnedByEvidence(state, tick, records);
	const zones = new Map([...new Set(records.map(record => record.zone))].map(zone => [zone, viewZone(state, tick, records, zone)]));
	return records
		.filter(record => record.phase !== UpstreamPhase.lost)
		.filter(record => condemned.has(record)
			|| isOver(state, record)
			|| (isMissedByZone(state, tick, record) && silenceSaysLost(silenceOf(state, tick, record), contract, zones.get(record.zone)!)))
		.map(record => ({kind: 'upstreamPhaseChanged', upstream: identityOf(record), phase: UpstreamPhase.lost}));
}

function leavingCommands(state: WatchState, tick: Tick, contract: ServiceContract): MembershipCommand[] {
	return upstreamsOf(tick.registry, contract.name)
		.filter(record => record.phase === UpstreamPhase.serving)
		.filter(record => {
			const {announcement} = watchOf(state, record.service, record.name);
			return announcement?.incarnation === record.incarnation && announcement.leaving;
		})
		.map(record => ({kind: 'upstreamPhaseChanged', upstream: identityOf(record), phase: UpstreamPhase.leaving}));
}

function forgetCommands(state: WatchState, tick: Tick, contract: ServiceContract): MembershipCommand[] {
	return upstreamsOf(tick.registry, contract.name)
		.filter(record => {
			const {lostAt} = watchOf(state, record.service, record.name);
			return record.phase === UpstreamPhase.lost && lostAt !== undefined && tick.now - lostAt > forgetAfterMilliseconds;
		})
		.map(record => ({kind: 'upstreamForgotten', upstream: identityOf(record)}));
}

function isNews(tick: Tick, announcement: Announcement): boolean {
	const latest = latestIncarnation(tick.registry, announcement.service, announcement.name);
	return latest === undefined || announcement.incarnation > latest;
}

function toRecord(announcement: Announcement): UpstreamRecord {
	const {leaving, load: _load, ...fields} = announcement;
	return {...fields, phase: leaving ? UpstreamPhase.leaving : UpstreamPhase.serving};
}

function joinCommands(state: WatchState, tick: Tick): MembershipCommand[] {
	const services = new Set(tick.contracts.map(contract => contract.name));
	return [...state.upstreams.values()].flatMap(watch => {
		const {announcement, heardAt, flaps} = watch;
		const isDue = announcement !== undefined
			&& services.has(announcement.service)
			&& tick.now - heardAt <= announcementTimeoutMilliseconds
			&& tick.now >= heldUntil(flaps)
			&& isNews(tick, announcement);
		return isDue ? [{kind: 'upstreamJoined', record: toRecord(announcement)}] : [];
	});
}

function targetOf(command: MembershipCommand): UpstreamIdentity {
	return command.kind === 'upstreamJoined' ? identityOf(command.record) : command.upstream;
}

function noteProposals(state: WatchState, commands: readonly MembershipCommand[], now: MonotonicTime): WatchState {
	if (commands.length === 0) {
		return state;
	}

	const upstreams = new Map(state.upstreams);
	for (const {service, name} of commands.map(command => targetOf(command))) {
		upstreams.set(upstreamKey(service, name), {...watchOf(state, service, name), proposedAt: now});
	}

	return {...state, upstreams};
}

function noteLosses(state: WatchState, tick: Tick): WatchState {
	const lost = tick.contracts
		.flatMap(contract => upstreamsOf(tick.registry, contract.name))
		.filter(({service, name, phase}) => phase === UpstreamPhase.lost && watchOf(state, service, name).lostAt === undefined);
	if (lost.length === 0) {
		return state;
	}

	const noted = lost.map(({service, name}) => [upstreamKey(service, name), {...watchOf(state, service, name), lostAt: tick.now}] as const);
	return {...state, upstreams: new Map([...state.upstreams, ...noted])};
}

/** Drops what is known of upstreams that are silent for long and have no record. */
function dropForgotten(state: WatchState, tick: Tick): WatchState {
	const kept = [...state.upstreams].filter(([, {announcement, heardAt}]) => tick.now - heardAt <= forgetAfterMilliseconds
		|| (announcement !== undefined && upstreamOf(tick.registry, announcement) !== undefined));
	return kept.length === state.upstreams.size ? state : {...state, upstreams: new Map(kept)};
}

function isUnproposed(state: WatchState, now: MonotonicTime): (command: MembershipCommand) => boolean {
	return command => {
		const {service, name} = targetOf(command);
		const {proposedAt} = watchOf(state, service, name);
		return proposedAt === undefined || now - proposedAt >= proposalRepeatMilliseconds;
	};
}

function judge(tick: Tick, previous: WatchState): Transition<WatchState, WatchEffect> {
	const state = dropForgotten(noteLosses(previous, tick), tick);
	const lost = tick.contracts.flatMap(contract => lostCommands(state, tick, contract));
	const lostKeys = new Set(lost.map(command => upstreamKey(targetOf(command).service, targetOf(command).name)));
	const leaving = tick.contracts.flatMap(contract => leavingCommands(state, tick, contract))
		.filter(command => !lostKeys.has(upstreamKey(targetOf(command).service, targetOf(command).name)));
	const forgotten = tick.contracts.flatMap(contract => forgetCommands(state, tick, contract));
	const commands = [...lost, ...leaving, ...joinCommands(state, tick), ...forgotten].filter(isUnproposed(state, tick.now));
	return {state: noteProposals(state, commands, tick.now), effects: commands.map(command => ({kind: 'propose', command}))};
}

const handlers: HandlerTable<WatchEvent, [WatchState], Transition<WatchState, WatchEffect>> = {
	reportReceived: receive,
	ticked: judge,
};

/** Takes in a report, or judges at a tick. */
export function advanceWatch(state: WatchState, event: WatchEvent): Transition<WatchState, WatchEffect> {
	return dispatch(handlers, event, state);
}
