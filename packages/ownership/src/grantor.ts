/**
 * The grantor is the part of the control leader that grants delegations to zones
 * and collects the evidence for moves. Its state is volatile: a new leader starts
 * from scratch and assumes that every zone got a delegation just before.
 */
import {
	type LogIndex, type Milliseconds, type MonotonicTime, type ServiceName, type Slot, type ZoneName,
} from '@dogwooddeck/model/identifiers';
import {type DelegationAnswer, type DelegationRequest, type SeatRequest} from '@dogwooddeck/model/lease';
import {dispatch, type HandlerTable, type Transition} from '@dogwooddeck/model/transition';
import {type ServicePolicy, someMayHold, longestInFlightDeadline} from './policy.js';
import {recordSeatRequest, type SeatObservations} from './observation.js';
import {
	assignmentOf, type OwnershipState, revokedAtOf, type ZoneRoster,
} from './state.js';
import {grantorWait, type LeaseTerms} from './terms.js';

/** The leader's record of one zone. */
export type ZoneDelegation = {
	/** When the delegation has expired on every clock. */
	readonly delegatedUntil: MonotonicTime;
	/** The largest index up to which the zone reported itself drained. */
	readonly drained: LogIndex;
	/** The lowest applied index with which a steward may get a delegation. */
	readonly minimumApplied: LogIndex;
};

/** When the leader observed a zone's release. */
export type ReleaseObservation = {readonly releasedAt: LogIndex; readonly observedAt: MonotonicTime};

/** A policy change that every zone has applied, with the time at which the leader observed that. */
export type SettlingPolicy = {readonly changedAt: LogIndex; readonly since: MonotonicTime};

/** The volatile state of a grantor. */
export type GrantorState = {
	readonly terms: LeaseTerms;
	readonly startedAt: MonotonicTime;
	/** The last index of the leader's log when it was elected. */
	readonly startIndex: LogIndex;
	readonly zones: Readonly<Record<ZoneName, ZoneDelegation>>;
	readonly releases: Readonly<Record<ZoneName, ReleaseObservation>>;
	readonly seatObservations: SeatObservations;
	/** The policy changes that every zone has applied and that aren't settled yet, by service. */
	readonly settling: Readonly<Record<ServiceName, SettlingPolicy>>;
};

/** An event that a grantor handles. `table` is the leader's own table with every committed entry applied. */
export type GrantorEvent =
	| {
		readonly kind: 'delegationRequested';
		readonly now: MonotonicTime;
		/** The latest time at which the leader sent a message that a quorum of voters has answered. */
		readonly quorumContactAt: MonotonicTime;
		readonly table: OwnershipState;
		readonly request: DelegationRequest;
	}
	| {readonly kind: 'seatRequested'; readonly now: MonotonicTime; readonly table: OwnershipState; readonly request: SeatRequest}
	| {readonly kind: 'tableChanged'; readonly now: MonotonicTime; readonly table: OwnershipState};

/** A side effect for the caller to carry out. */
export type GrantorEffect = {readonly kind: 'answerDelegation'; readonly answer: DelegationAnswer};

/** The next state of a grantor and its effects. */
export type GrantorTransition = Transition<GrantorState, GrantorEffect>;

/** Creates the state for a leader that was elected now and whose log ends at `startIndex`. */
export function createGrantor(now: MonotonicTime, startIndex: LogIndex, terms: LeaseTerms): GrantorState {
	return {
		terms, startedAt: now, startIndex, zones: {}, releases: {}, seatObservations: {}, settling: {},
	};
}

/** Returns the record of a zone. A zone that hasn't sent a request is assumed to have got a delegation when the leader started. */
export function delegationOf(grantor: GrantorState, zone: ZoneName): ZoneDelegation {
	return grantor.zones[zone] ?? {
		delegatedUntil: grantor.startedAt + grantorWait(grantor.terms.delegationMilliseconds, grantor.terms),
		drained: 0,
		minimumApplied: grantor.startIndex,
	};
}

function withZone(grantor: GrantorState, zone: ZoneName, delegation: ZoneDelegation): GrantorState {
	return {...grantor, zones: {...grantor.zones, [zone]: delegation}};
}

function delegationTerm(grantor: GrantorState, event: Extract<GrantorEvent, {readonly kind: 'delegationRequested'}>): Milliseconds {
	const {request, table} = event;
	const hasSeats = (table.rosters[request.zone]?.members.length ?? 0) > 0;
	if (!hasSeats || request.applied < delegationOf(grantor, request.zone).minimumApplied) {
		return 0;
	}

	return Math.max(0, event.quorumContactAt + grantor.terms.delegationMilliseconds - event.now);
}

function delegationRequested(event: Extract<GrantorEvent, {readonly kind: 'delegationRequested'}>, grantor: GrantorState): GrantorTransition {
	const {request, now} = event;
	const delegation = delegationOf(grantor, request.zone);
	const termMilliseconds = delegationTerm(grantor, event);
	const until = termMilliseconds > 0 ? now + grantorWait(termMilliseconds, grantor.terms) : -Infinity;
	const next = {
		delegatedUntil: Math.max(delegation.delegatedUntil, until),
		drained: Math.max(delegation.drained, request.drained),
		minimumApplied: delegation.minimumApplied,
	};
	const answer = {termMilliseconds, shares: []};
	return {state: withZone(grantor, request.zone, next), effects: [{kind: 'answerDelegation', answer}]};
}

function seatRequested(event: Extract<GrantorEvent, {readonly kind: 'seatRequested'}>, grantor: GrantorState): GrantorTransition {
	const seatObservations = recordSeatRequest(grantor.seatObservations, event.request, event.table, event.now);
	return {state: {...grantor, seatObservations}, effects: []};
}

function tableChanged(event: Extract<GrantorEvent, {readonly kind: 'tableChanged'}>, grantor: GrantorState): GrantorTransition {
	const newReleases = Object.values(event.table.rosters).filter(({zone, releasedAt}) =>
		releasedAt !== undefined && grantor.releases[zone]?.releasedAt !== releasedAt);
	if (newReleases.length === 0) {
		return {state: grantor, effects: []};
	}

	const observed = newReleases.map(({zone, releasedAt = 0}) => [zone, {releasedAt, observedAt: event.now}] as const);
	return {state: {...grantor, releases: {...grantor.releases, ...Object.fromEntries(observed)}}, effects: []};
}

const handlers: HandlerTable<GrantorEvent, [GrantorState], GrantorTransition> = {
	delegationRequested,
	seatRequested,
	tableChanged,
};

/** Handles an event. Returns the next state and the effects to carry out. */
export function stepGrantor(grantor: GrantorState, event: GrantorEvent): GrantorTransition {
	return dispatch(handlers, event, grantor);
}

/** Whether a zone was released and its roster hasn't changed since. A roster that became empty by removing its last member doesn't count as released. */
export function isReleased(roster: ZoneRoster): boolean {
	return roster.releasedAt === roster.changedAt;
}

/** Whether all leases and requests that a released roster allowed have expired: a steward's term and the longest deadline have passed. */
export function isReleaseExpired(grantor: GrantorState, roster: ZoneRoster, longestDeadline: Milliseconds, now: MonotonicTime): boolean {
	const observed = grantor.releases[roster.zone];
	if (observed === undefined || observed.releasedAt !== roster.releasedAt) {
		return false;
	}

	const wait = grantor.terms.stewardTermMilliseconds + longestDeadline;
	return now >= observed.observedAt + grantorWait(wait, grantor.terms);
}

/** A slot under revocation, with the zone of its owner. */
export type Revocation = {
	readonly service: ServiceName;
	readonly slot: Slot;
	/** The zone of the owner that loses the slot. Absent if it is no longer recorded; it may then be any zone. */
	readonly ownerZone?: ZoneName;
};

type RevocationCheck = {
	readonly policy: ServicePolicy;
	readonly revokedAt: LogIndex;
	readonly ownerZone?: ZoneName;
	readonly now: MonotonicTime;
};

function clearedByRelease(grantor: GrantorState, roster: ZoneRoster, {policy, revokedAt, now}: RevocationCheck): boolean {
	const isCovered = isReleased(roster) || revokedAt <= (roster.releasedAt ?? 0);
	return isCovered && isReleaseExpired(grantor, roster, longestInFlightDeadline(policy), now);
}

function clearedByExpiry(grantor: GrantorState, roster: ZoneRoster, {policy, ownerZone, now}: RevocationCheck): boolean {
	const mayBeHeld = roster.zone === (ownerZone ?? roster.zone) && someMayHold(policy);
	const wait = grantorWait(longestInFlightDeadline(policy), grantor.terms);
	return !mayBeHeld && now >= delegationOf(grantor, roster.zone).delegatedUntil + wait;
}

/** Returns the zones that block a move because an instance there may still send requests to the old owner. */
export function blockingZones(grantor: GrantorState, table: OwnershipState, revocation: Revocation, now: MonotonicTime): readonly ZoneName[] {
	const policy = table.policies[revocation.service];
	const revokedAt = revokedAtOf(assignmentOf(table, revocation.service, revocation.slot));
	const zones = Object.values(table.rosters);
	if (policy === undefined || revokedAt === undefined) {
		return zones.map(roster => roster.zone);
	}

	const check = {
		...revocation, policy, revokedAt, now,
	};
	return zones
		.filter(roster => delegationOf(grantor, roster.zone).drained < revokedAt
			&& !clearedByRelease(grantor, roster, check)
			&& !clearedByExpiry(grantor, roster, check))
		.map(roster => roster.zone);
}

function raiseMinimumApplied(grantor: GrantorState, table: OwnershipState, revokedAt: LogIndex): GrantorState {
	let next = grantor;
	for (const {zone} of Object.values(table.rosters)) {
		const delegation = delegationOf(next, zone);
		if (delegation.drained < revokedAt && delegation.minimumApplied < revokedAt) {
			next = withZone(next, zone, {...delegation, minimumApplied: revokedAt});
		}
	}

	return next;
}

/**
 * Whether the evidence for a slot's revocation is complete, so that the next
 * grant or the release of the slot may be proposed. The caller must keep the
 * returned state: it ensures that zones without a delegation get one only after
 * they have applied the revocation.
 */
export function clearRevocation(
	grantor: GrantorState,
	table: OwnershipState,
	revocation: Revocation,
	now: MonotonicTime,
): {readonly grantor: GrantorState; readonly cleared: boolean} {
	const revokedAt = revokedAtOf(assignmentOf(table, revocation.service, revocation.slot));
	if (revokedAt === undefined || blockingZones(grantor, table, revocation, now).length > 0) {
		return {grantor, cleared: false};
	}

	return {grantor: raiseMinimumApplied(grantor, table, revokedAt), cleared: true};
}
