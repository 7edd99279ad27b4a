/**
 * The leader's volatile state machine for upstreams. It receives reports and, at
 * each tick, returns the registry changes to propose. A new leader starts with
 * an empty view, which gives every upstream a full grace period.
 */
import {type ServiceContract} from '@dogwooddeck/model/contract';
import {
	type InstanceName, type Milliseconds, type MonotonicTime, type UpstreamIdentity, type ZoneName,
} from '@dogwooddeck/model/identifiers';
import {type Report} from '@dogwooddeck/model/lease';
import {
	type Announcement, identityOf, UpstreamPhase, type UpstreamRecord,
} from '@dogwooddeck/model/registry';
import {dispatch, type HandlerTable, type Transition} from '@dogwooddeck/model/transition';
import {joinAllowedAt, recordIncarnation} from './flapping.js';
import {
	latestIncarnation, type MembershipCommand, type MembershipState, upstreamOf, upstreamsOf,
} from './registry.js';
import {lostCommands} from './verdict.js';
import {
	announcementTimeoutMilliseconds, noContact, upstreamKey, type UpstreamWatch, watchOf, type WatchState, zoneTimeoutMilliseconds, type ZoneWatch,
} from './view.js';
import {recordEvidence} from './witness.js';

export {
	createWatch, flappingCount, joinedAt, type WatchState,
} from './view.js';

/** A proposal that took no effect is repeated after this long. */
export const proposalRepeatMilliseconds: Milliseconds = 500;
/** The record of a lost upstream is removed after this long. */
export const forgetAfterMilliseconds: Milliseconds = 3_600_000;

/** An input of the watch. */
export type WatchEvent =
	/** A report arrived from a zone's steward (its elected lease distributor) or from a single instance. */
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

/** A registry change to propose. */
export type WatchEffect = {readonly kind: 'propose'; readonly command: MembershipCommand};

type Tick = Extract<WatchEvent, {readonly kind: 'ticked'}>;

function receiveAnnouncement(watch: UpstreamWatch, announcement: Announcement, reportsAtContact: number, now: MonotonicTime): UpstreamWatch {
	const previous = watch.announcement;
	if (previous !== undefined && previous.incarnation > announcement.incarnation) {
		return watch;
	}

	if (previous?.incarnation === announcement.incarnation) {
		return {
			...watch, announcement, lastContactAt: now, reportsAtContact,
		};
	}

	const {lostAt: _lostAt, proposedAt: _proposedAt, joinedAt: _joinedAt, ...kept} = watch;
	const earlier = previous === undefined ? {} : {earlier: {incarnation: previous.incarnation, lastContactAt: watch.lastContactAt}};
	return {
		...kept, ...earlier, announcement, lastContactAt: now, reportsAtContact, witnesses: {}, flapHistory: recordIncarnation(watch.flapHistory, announcement.incarnation, now),
	};
}

function recordZoneReport(zone: ZoneWatch | undefined, now: MonotonicTime): ZoneWatch {
	const isContinuous = zone !== undefined && now - zone.reportedAt <= zoneTimeoutMilliseconds;
	return {reportedAt: now, reachableSince: isContinuous ? zone.reachableSince : now, reports: (zone?.reports ?? 0) + 1};
}

function byUpstream(evidence: Report['evidence']): ReadonlyMap<string, Report['evidence']> {
	const groups = new Map<string, Array<Report['evidence'][number]>>();
	for (const one of evidence) {
		const key = upstreamKey(one.upstream.service, one.upstream.name);
		const group = groups.get(key) ?? [];
		groups.set(key, group);
		group.push(one);
	}

	return groups;
}

function receiveReport(event: Extract<WatchEvent, {readonly kind: 'reportReceived'}>, state: WatchState): Transition<WatchState, WatchEffect> {
	const {now, report, reporter} = event;
	const zones = {...state.zones, [reporter.zone]: recordZoneReport(state.zones[reporter.zone], now)};
	const upstreams = new Map(state.upstreams);
	for (const announcement of report.announcements) {
		const {service, name, zone} = announcement;
		const key = upstreamKey(service, name);
		upstreams.set(key, receiveAnnouncement(upstreams.get(key) ?? noContact(state), announcement, zones[zone]?.reports ?? 0, now));
	}

	for (const [key, evidence] of byUpstream(report.evidence)) {
		const watch = upstreams.get(key) ?? noContact(state);
		upstreams.set(key, {...watch, witnesses: recordEvidence(watch.witnesses, evidence, reporter.zone, now)});
	}

	return {state: {...state, zones, upstreams}, effects: []};
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

function isNewIncarnation(tick: Tick, announcement: Announcement): boolean {
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
		const {announcement, lastContactAt, flapHistory} = watch;
		const isDue = announcement !== undefined
			&& services.has(announcement.service)
			&& tick.now - lastContactAt <= announcementTimeoutMilliseconds
			&& tick.now >= joinAllowedAt(flapHistory)
			&& isNewIncarnation(tick, announcement);
		return isDue ? [{kind: 'upstreamJoined', record: toRecord(announcement)}] : [];
	});
}

function targetOf(command: MembershipCommand): UpstreamIdentity {
	return command.kind === 'upstreamJoined' ? identityOf(command.record) : command.upstream;
}

function recordProposals(state: WatchState, commands: readonly MembershipCommand[], now: MonotonicTime): WatchState {
	if (commands.length === 0) {
		return state;
	}

	const upstreams = new Map(state.upstreams);
	for (const command of commands) {
		const {service, name} = targetOf(command);
		const watch = watchOf(state, service, name);
		const joined = command.kind === 'upstreamJoined' ? {joinedAt: watch.joinedAt ?? now} : {};
		upstreams.set(upstreamKey(service, name), {...watch, ...joined, proposedAt: now});
	}

	return {...state, upstreams};
}

function recordLosses(state: WatchState, tick: Tick): WatchState {
	const lost = tick.contracts
		.flatMap(contract => upstreamsOf(tick.registry, contract.name))
		.filter(({service, name, phase}) => phase === UpstreamPhase.lost && watchOf(state, service, name).lostAt === undefined);
	if (lost.length === 0) {
		return state;
	}

	const recorded = lost.map(({service, name}) => [upstreamKey(service, name), {...watchOf(state, service, name), lostAt: tick.now}] as const);
	return {...state, upstreams: new Map([...state.upstreams, ...recorded])};
}

/** Drops the view of upstreams that are without contact for `forgetAfterMilliseconds` and have no record. */
function dropForgotten(state: WatchState, tick: Tick): WatchState {
	const kept = [...state.upstreams].filter(([, {announcement, lastContactAt}]) => tick.now - lastContactAt <= forgetAfterMilliseconds
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

function decide(tick: Tick, previous: WatchState): Transition<WatchState, WatchEffect> {
	const state = dropForgotten(recordLosses(previous, tick), tick);
	const lost = tick.contracts.flatMap(contract => lostCommands(state, tick, contract));
	const lostKeys = new Set(lost.map(command => upstreamKey(targetOf(command).service, targetOf(command).name)));
	const leaving = tick.contracts.flatMap(contract => leavingCommands(state, tick, contract))
		.filter(command => !lostKeys.has(upstreamKey(targetOf(command).service, targetOf(command).name)));
	const forgotten = tick.contracts.flatMap(contract => forgetCommands(state, tick, contract));
	const commands = [...lost, ...leaving, ...joinCommands(state, tick), ...forgotten].filter(isUnproposed(state, tick.now));
	return {state: recordProposals(state, commands, tick.now), effects: commands.map(command => ({kind: 'propose', command}))};
}

const handlers: HandlerTable<WatchEvent, [WatchState], Transition<WatchState, WatchEffect>> = {
	reportReceived: receiveReport,
	ticked: decide,
};

/** Processes a report, or decides on verdicts and joins at a tick. */
export function advanceWatch(state: WatchState, event: WatchEvent): Transition<WatchState, WatchEffect> {
	return dispatch(handlers, event, state);
}
