/**
 * Decides which commands the leader proposes so that an instance gets a seat in
 * its zone's roster.
 *
 * Majorities of two consecutive rosters overlap if they differ by a single change.
 * The next change therefore waits until the zone's steward has reported the
 * last one: from then on no steward can be elected by the previous roster.
 */
import {includesInstance, type InstanceIdentity, type MonotonicTime} from '@dogwooddeck/model/identifiers';
import {type InstanceRecord} from '@dogwooddeck/model/registry';
import {type OwnershipCommand, ReleaseReason} from './command.js';
import {
	type GrantorState, isReleased, isReleaseExpired, delegationOf,
} from './grantor.js';
import {hasLostMajority} from './observation.js';
import {longestDeadlineOf, type OwnershipState, type ZoneRoster} from './state.js';

/** The number of seats in a zone. Its other instances get leases, but support no steward. */
export const seatsPerZone = 9;

function isReported(grantor: GrantorState, roster: ZoneRoster): boolean {
	return delegationOf(grantor, roster.zone).drained >= roster.changedAt;
}

/** Whether the zone's steward has reported the last change of its roster, to this leader or to an earlier one. */
export function mayChangeRoster(grantor: GrantorState, roster: ZoneRoster): boolean {
	return roster.settledAt === roster.changedAt || isReported(grantor, roster);
}

/**
 * Whether a member may lose its seat. The last seated one may at any time: the roster is then the previous one again, whose
 * majorities overlap with all that are still possible. Otherwise a member that is lost before its seat is reported could
 * leave the zone without a majority, and so without a report, for good.
 */
export function mayUnseat(grantor: GrantorState, roster: ZoneRoster, member: InstanceIdentity): boolean {
	const {members, previousMembers} = roster;
	const isUndone = members.length === previousMembers.length + 1
		&& previousMembers.length > 0
		&& !includesInstance(previousMembers, member)
		&& previousMembers.every(previous => includesInstance(members, previous));
	return isUndone || mayChangeRoster(grantor, roster);
}

/**
 * Returns the commands that record reported roster changes for the next leader,
 * which starts without any reports: a zone may lose its majority, and with it its
 * steward, together with the leader.
 */
export function settleRosters(grantor: GrantorState, table: OwnershipState): readonly OwnershipCommand[] {
	return Object.values(table.rosters)
		.filter(roster => roster.settledAt !== roster.changedAt && isReported(grantor, roster))
		.map(({zone, changedAt}) => ({kind: 'rosterSettled', zone, changedAt}));
}

/**
 * Whether an instance is a later incarnation of a roster's last member. It may
 * take the first seat at once, because it gives no support for as long as the
 * leases of the earlier incarnation can last.
 */
function isSuccessor({members, previousMembers}: ZoneRoster, instance: InstanceRecord): boolean {
	const [last] = previousMembers;
	return members.length === 0 && previousMembers.length === 1
		&& last?.name === instance.name && instance.incarnation > last.incarnation;
}

/** Whether any instance may take the first seat: all leases and requests that earlier members allowed have expired. */
function isFirstSeatOpen(grantor: GrantorState, table: OwnershipState, roster: ZoneRoster, now: MonotonicTime): boolean {
	return isReleased(roster) && isReleaseExpired(grantor, roster, longestDeadlineOf(table), now);
}

/** Whether a roster has a single member that is also in every majority of the previous roster. */
function hasSoleCommonMember({members, previousMembers}: ZoneRoster): boolean {
	const isInPrevious = previousMembers.some(other => other.name === members[0]?.name);
	return members.length === 1 && (previousMembers.length === 0 || (previousMembers.length <= 2 && isInPrevious));
}

function proposeNewSeat(grantor: GrantorState, roster: ZoneRoster, record: InstanceRecord): OwnershipCommand | undefined {
	const hasFreeSeat = roster.members.length > 0 && roster.members.length < seatsPerZone;
	return hasFreeSeat && mayChangeRoster(grantor, roster) ? {kind: 'instanceSeated', record, changedAt: roster.changedAt} : undefined;
}

function proposeReplacement(grantor: GrantorState, roster: ZoneRoster, member: InstanceRecord, record: InstanceRecord): OwnershipCommand | undefined {
	if (record.incarnation <= member.incarnation) {
		return undefined;
	}

	const {name, incarnation} = member;
	const isAllowed = mayUnseat(grantor, roster, member) || hasSoleCommonMember(roster);
	return isAllowed
		? {
			kind: 'instanceUnseated', zone: roster.zone, instance: {name, incarnation}, changedAt: roster.changedAt,
		}
		: undefined;
}

/** Proposes the release of a zone if no majority of former incarnations is left. */
function proposeRelease(grantor: GrantorState, roster: ZoneRoster): OwnershipCommand | undefined {
	const canChange = mayChangeRoster(grantor, roster) || hasSoleCommonMember(roster);
	return !canChange && hasLostMajority(roster, grantor.seatObservations)
		? {
			kind: 'zoneReleased', zone: roster.zone, reason: ReleaseReason.withheld, changedAt: roster.changedAt,
		}
		: undefined;
}

/**
 * Returns the command to propose for an instance that requests a seat, or
 * undefined if there is none now; the instance repeats its request. Pass the
 * request to `stepGrantor` first.
 */
export function proposeSeat(grantor: GrantorState, table: OwnershipState, record: InstanceRecord, now: MonotonicTime): OwnershipCommand | undefined {
	const roster = table.rosters[record.zone];
	if (roster === undefined) {
		return {kind: 'instanceSeated', record, changedAt: 0};
	}

	if (isSuccessor(roster, record) || isFirstSeatOpen(grantor, table, roster, now)) {
		return {kind: 'instanceSeated', record, changedAt: roster.changedAt};
	}

	const member = roster.members.find(other => other.name === record.name);
	return proposeRelease(grantor, roster)
		?? (member === undefined ? proposeNewSeat(grantor, roster, record) : proposeReplacement(grantor, roster, member, record));
}
