/**
 * Decides which upstreams are lost: because their announcements timed out,
 * because instances report failed attempts, or because a later incarnation
 * announced itself.
 */
import {type ServiceContract, PartitionPolicy} from '@dogwooddeck/model/contract';
import {type Milliseconds, type MonotonicTime, type ZoneName} from '@dogwooddeck/model/identifiers';
import {identityOf, UpstreamPhase, type UpstreamRecord} from '@dogwooddeck/model/registry';
import {type MembershipCommand, type MembershipState, upstreamsOf} from './registry.js';
import {
	announcementTimeoutMilliseconds, type UpstreamWatch, watchOf, type WatchState, zoneTimeoutMilliseconds,
} from './view.js';
import {isLostByEvidence} from './witness.js';

/** The number of reports of its zone that must lack an upstream's announcement before the upstream counts as unresponsive. */
export const missingReportsForVerdict = 2;
/**
 * The zone's reports must also have lacked the announcement for this long: the
 * announcement timeout less one renewal interval. A zone that is partitioned just
 * after two reports without the announcement is thereby not mistaken for a zone
 * that lost contact with the upstream.
 */
export const missingAnnouncementMilliseconds: Milliseconds = 750;
/** The extra time without contact required when a large share of a service's upstreams in a zone becomes unresponsive at once. */
export const failureBurstConfirmationMilliseconds: Milliseconds = 500;
/** When more than this share of a service's upstreams in a zone is unresponsive, a network partition is more likely than crashes. */
export const failureBurstShare = 0.5;
/** The maximum share of a service's upstreams that evidence alone may declare lost while they still announce themselves. */
export const evidenceVerdictShare = 0.34;

/** What verdicts are based on, next to the watch state. */
export type VerdictInputs = {
	readonly now: MonotonicTime;
	readonly registry: MembershipState;
	/** The number of instances in each zone's roster. */
	readonly rosterSizes: Readonly<Record<ZoneName, number>>;
};

function isZoneReachable(state: WatchState, tick: VerdictInputs, zone: ZoneName): boolean {
	const isWatched = (tick.rosterSizes[zone] ?? 0) > 0;
	const reportedAt = state.zones[zone]?.reportedAt;
	return !isWatched || (reportedAt !== undefined && tick.now - reportedAt <= zoneTimeoutMilliseconds);
}

function noContactSince(state: WatchState, tick: VerdictInputs, record: UpstreamRecord): MonotonicTime {
	const watch = watchOf(state, record.service, record.name);
	const lastContactAt = watch.announcement?.incarnation === record.incarnation ? watch.lastContactAt : state.startedAt;
	const reachableSince = isZoneReachable(state, tick, record.zone) ? state.zones[record.zone]?.reachableSince ?? state.startedAt : state.startedAt;
	return Math.max(lastContactAt, reachableSince);
}

function timeWithoutContact(state: WatchState, tick: VerdictInputs, record: UpstreamRecord): Milliseconds {
	return tick.now - noContactSince(state, tick, record);
}

/**
 * Whether the upstream's zone has had the opportunity to report it. True for an
 * unreachable zone, where the contract's partition policy decides.
 */
function isMissingFromReports(state: WatchState, tick: VerdictInputs, record: UpstreamRecord): boolean {
	const zone = state.zones[record.zone];
	const isWatched = (tick.rosterSizes[record.zone] ?? 0) > 0;
	if (!isWatched || zone === undefined || !isZoneReachable(state, tick, record.zone)) {
		return true;
	}

	const {reportsAtContact} = watchOf(state, record.service, record.name);
	return zone.reports - reportsAtContact >= missingReportsForVerdict && zone.reportedAt - noContactSince(state, tick, record) >= missingAnnouncementMilliseconds;
}

/** An announcement of a later incarnation ends the earlier one, even while the later one's join is delayed. */
function isSuperseded(state: WatchState, record: UpstreamRecord): boolean {
	const {announcement} = watchOf(state, record.service, record.name);
	return announcement !== undefined && announcement.incarnation > record.incarnation;
}

/** Returns the last contact with an incarnation; undefined if this leader never had any. */
function lastContactOf({announcement, lastContactAt, earlier}: UpstreamWatch, {incarnation}: UpstreamRecord): MonotonicTime | undefined {
	const contacts = [announcement === undefined ? undefined : {incarnation: announcement.incarnation, lastContactAt}, earlier];
	return contacts.find(contact => contact?.incarnation === incarnation)?.lastContactAt;
}

/**
 * Returns the time without contact with an incarnation. If this leader never had
 * contact with it, the result is a lower bound.
 */
function reportedTimeWithoutContact(state: WatchState, tick: VerdictInputs, record: UpstreamRecord): Milliseconds {
	const lastContactAt = lastContactOf(watchOf(state, record.service, record.name), record);
	const latestStart = isSuperseded(state, record) ? tick.now : state.startedAt;
	return tick.now - (lastContactAt ?? latestStart);
}

function lostCommand(state: WatchState, tick: VerdictInputs, record: UpstreamRecord): MembershipCommand {
	const silentMilliseconds = Math.round(reportedTimeWithoutContact(state, tick, record));
	return {
		kind: 'upstreamPhaseChanged', upstream: identityOf(record), phase: UpstreamPhase.lost, silentMilliseconds,
	};
}

type ZoneView = {
	readonly isReachable: boolean;
	readonly isFailureBurst: boolean;
};

function viewZone(state: WatchState, tick: VerdictInputs, records: readonly UpstreamRecord[], zone: ZoneName): ZoneView {
	const inZone = records.filter(record => record.zone === zone && record.phase !== UpstreamPhase.lost);
	const unresponsive = inZone.filter(record => timeWithoutContact(state, tick, record) > announcementTimeoutMilliseconds);
	return {
		isReachable: isZoneReachable(state, tick, zone),
		isFailureBurst: unresponsive.length > 1 && unresponsive.length > inZone.length * failureBurstShare,
	};
}

function isTimedOut(noContactTime: Milliseconds, contract: ServiceContract, zone: ZoneView): boolean {
	const confirmation = zone.isFailureBurst ? failureBurstConfirmationMilliseconds : 0;
	const mayDecide = zone.isReachable || contract.whenCut === PartitionPolicy.takeOver;
	return mayDecide && noContactTime > announcementTimeoutMilliseconds + confirmation;
}

function lostByEvidence(state: WatchState, tick: VerdictInputs, records: readonly UpstreamRecord[]): ReadonlySet<UpstreamRecord> {
	const alive = records.filter(record => record.phase !== UpstreamPhase.lost);
	const lost = alive.filter(record => {
		const {witnesses} = watchOf(state, record.service, record.name);
		return isLostByEvidence({
			witnesses, upstream: identityOf(record), zone: record.zone, rosterSize: tick.rosterSizes[record.zone] ?? 0, now: tick.now,
		});
	});
	const allowed = Math.max(1, Math.floor(alive.length * evidenceVerdictShare));
	return new Set(lost.length <= allowed ? lost : []);
}

/** Returns the commands that declare upstreams of a service lost. */
export function lostCommands(state: WatchState, tick: VerdictInputs, contract: ServiceContract): MembershipCommand[] {
	const records = upstreamsOf(tick.registry, contract.name);
	const lost = lostByEvidence(state, tick, records);
	const zones = new Map([...new Set(records.map(record => record.zone))].map(zone => [zone, viewZone(state, tick, records, zone)]));
	return records
		.filter(record => record.phase !== UpstreamPhase.lost)
		.filter(record => lost.has(record)
			|| isSuperseded(state, record)
			|| (isMissingFromReports(state, tick, record) && isTimedOut(timeWithoutContact(state, tick, record), contract, zones.get(record.zone)!)))
		.map(record => lostCommand(state, tick, record));
}
