/**
 * Command handlers for the rosters of zones. One entry changes one member, so
 * that the majorities before and after it overlap; `seat.ts` decides when the
 * next change may follow. Each command names the version of the roster that it
 * was decided on, so that of two concurrent proposals, perhaps by two leaders,
 * only the first is applied.
 */
import {type Failure, failure, FailureKind} from '@dogwooddeck/model/failure';
import {type LogIndex, sameInstance, type ZoneName} from '@dogwooddeck/model/identifiers';
import {type InstanceRecord} from '@dogwooddeck/model/registry';
import {err, ok, type Result} from 'true-myth/result';
import {
	type InstanceSeated, type InstanceUnseated, type RosterSettled, type ZoneReleased,
} from './command.js';
import {type OwnershipState, type ZoneRoster} from './state.js';

function withRoster(state: OwnershipState, roster: ZoneRoster): OwnershipState {
	return {...state, rosters: {...state.rosters, [roster.zone]: roster}};
}

function emptyRoster(record: InstanceRecord): ZoneRoster {
	return {
		zone: record.zone, region: record.region, members: [], previousMembers: [], changedAt: 0,
	};
}

/** Returns the roster of a zone. Ignores names that every object inherits. */
function rosterOf(state: OwnershipState, zone: ZoneName): ZoneRoster | undefined {
	return Object.hasOwn(state.rosters, zone) ? state.rosters[zone] : undefined;
}

function withMembers(roster: ZoneRoster, members: readonly InstanceRecord[], index: LogIndex): ZoneRoster {
	return {
		...roster, members, previousMembers: roster.members, changedAt: index,
	};
}

function staleRosterFailure(roster: ZoneRoster): Failure {
	return failure(FailureKind.conflict, `the roster of zone ${roster.zone} changed at ${roster.changedAt}`);
}

/** Adds a member. An instance name has at most one seat in the whole deployment. */
export function seatInstance(command: InstanceSeated, state: OwnershipState, index: LogIndex): Result<OwnershipState, Failure> {
	const {record} = command;
	const isSeated = Object.values(state.rosters).some(roster => roster.members.some(member => member.name === record.name));
	if (isSeated) {
		return err(failure(FailureKind.conflict, `instance ${record.name} already has a seat`));
	}

	const roster = rosterOf(state, record.zone) ?? emptyRoster(record);
	if (roster.changedAt !== command.changedAt) {
		return err(staleRosterFailure(roster));
	}

	return ok(withRoster(state, withMembers(roster, [...roster.members, record], index)));
}

/** Removes a member. */
export function unseatInstance(command: InstanceUnseated, state: OwnershipState, index: LogIndex): Result<OwnershipState, Failure> {
	const roster = rosterOf(state, command.zone);
	const member = roster?.members.find(other => sameInstance(other, command.instance));
	if (roster === undefined || member === undefined) {
		return err(failure(FailureKind.notFound, `instance ${command.instance.name} has no seat with this incarnation`));
	}

	if (roster.changedAt !== command.changedAt) {
		return err(staleRosterFailure(roster));
	}

	return ok(withRoster(state, withMembers(roster, roster.members.filter(other => other !== member), index)));
}

/** Records that the zone's steward reported the roster's last change. */
export function settleRoster(command: RosterSettled, state: OwnershipState, _index: LogIndex): Result<OwnershipState, Failure> {
	const roster = rosterOf(state, command.zone);
	if (roster === undefined) {
		return err(failure(FailureKind.notFound, `zone ${command.zone} is unknown`));
	}

	return roster.changedAt === command.changedAt
		? ok(withRoster(state, {...roster, settledAt: command.changedAt}))
		: err(staleRosterFailure(roster));
}

/** Empties a roster and records that the zone no longer holds any slots. */
export function releaseZone(command: ZoneReleased, state: OwnershipState, index: LogIndex): Result<OwnershipState, Failure> {
	const roster = rosterOf(state, command.zone);
	if (roster === undefined) {
		return err(failure(FailureKind.notFound, `zone ${command.zone} is unknown`));
	}

	if (roster.changedAt !== (command.changedAt ?? roster.changedAt)) {
		return err(staleRosterFailure(roster));
	}

	return ok(withRoster(state, {
		...roster, members: [], previousMembers: [], changedAt: index, releasedAt: index, releaseReason: command.reason,
	}));
}
