/**
 * What the leader proposes so that an instance gets a seat in its zone's roster.
 *
 * Majorities of two rosters meet if one follows the other by a single change.
 * The next change therefore waits until the zone's steward has reported the
 * last one: from then on no steward can be elected on the roster before it.
 */
import {type Milliseconds, type MonotonicTime} from '@dogwooddeck/model/identifiers';
import {type InstanceRecord} from '@dogwooddeck/model/registry';
import {type OwnershipCommand, ReleaseReason} from './command.js';
import {type GrantorState, releaseWaited, zoneOf} from './grantor.js';
import {waitedDeadline} from './policy.js';
import {withheldEvidence} from './sighting.js';
import {type OwnershipState, type ZoneRoster} from './state.js';

/** The seats of a zone. Its other instances get leases, but support no steward. */
export const seatsPerZone = 9;

function longestDeadline(table: OwnershipState): Milliseconds {
	return Object.values(table.policies).reduce((longest, policy) => Math.max(longest, waitedDeadline(policy)), 0);
}

/** Whether the zone's steward has reported the last change of its roster. */
export function mayChangeRoster(grantor: GrantorState, roster: ZoneRoster): boolean {
	return zoneOf(grantor, roster.zone).drained >= roster.changedAt;
}

/**
 * Whether an instance may take the first seat of a roster. The only member's
 * next life may at once, as it stays silent for as long as the earlier one's
 * leases can last. Everyone else waits after a release.
 */
function mayBeFirst(grantor: GrantorState, table: OwnershipState, roster: ZoneRoster, instance: InstanceRecord, now: MonotonicTime): boolean {
	const heir = roster.previousMembers.length === 1 && roster.previousMembers[0]?.name === instance.name;
	return heir || releaseWaited(grantor, roster, longestDeadline(table), now);
}

/** Whether an earlier life stands in every majority of the roster and of the one before it. */
function stoodAlone(roster: ZoneRoster, member: InstanceRecord): boolean {
	const inPrevious = roster.previousMembers.length === 0
		|| (roster.previousMembers.length <= 2 && roster.previousMembers.some(other => other.name === member.name));
	return roster.members.length === 1 && inPrevious;
}

function seatNew(grantor: GrantorState, roster: ZoneRoster, record: InstanceRecord): OwnershipCommand | undefined {
	const free = roster.members.length < seatsPerZone;
	return free && mayChangeRoster(grantor, roster) ? {kind: 'instanceSeated', record} : undefined;
}

function replace(grantor: GrantorState, roster: ZoneRoster, member: InstanceRecord, record: InstanceRecord): OwnershipCommand | undefined {
	if (record.incarnation <= member.incarnation) {
		return undefined;
	}

	const {name, incarnation} = member;
	const may = mayChangeRoster(grantor, roster) || stoodAlone(roster, member);
	return may ? {kind: 'instanceUnseated', zone: roster.zone, instance: {name, incarnation}} : undefined;
}

/**
 * What to propose for an instance that asks for a seat. Undefined: nothing now;
 * it asks again.
 */
export function proposeSeat(grantor: GrantorState, table: OwnershipState, record: InstanceRecord, now: MonotonicTime): OwnershipCommand | undefined {
	const roster = table.rosters[record.zone];
	if (roster === undefined) {
		return {kind: 'instanceSeated', record};
	}

	if (roster.members.length === 0) {
		return mayBeFirst(grantor, table, roster, record, now) ? {kind: 'instanceSeated', record} : undefined;
	}

	const member = roster.members.find(other => other.name === record.name);
	return member === undefined ? seatNew(grantor, roster, record) : replace(grantor, roster, member, record);
}

/** Proposes the release of a zone whose old majorities are all over. */
export function proposeRelease(grantor: GrantorState, table: OwnershipState, zone: string): OwnershipCommand | undefined {
	const roster = table.rosters[zone];
	const over = roster !== undefined && !mayChangeRoster(grantor, roster) && withheldEvidence(roster, grantor.sightings);
	return over ? {kind: 'zoneReleased', zone, reason: ReleaseReason.withheld} : undefined;
}
