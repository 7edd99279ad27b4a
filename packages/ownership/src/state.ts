/**
 * The replicated ownership table: assignments, policies and rosters. The state
 * is plain JSON and immutable; a new state shares its unchanged parts with the
 * one before.
 */
import {type Assignment, AssignmentPhase, type ServiceAssignments} from '@dogwooddeck/model/assignment';
import {
	type LogIndex, type Milliseconds, type RegionName, type ServiceName, type Slot, type ZoneName,
} from '@dogwooddeck/model/identifiers';
import {type InstanceRecord} from '@dogwooddeck/model/registry';
import {type ReleaseReason} from './command.js';
import {type ServicePolicy, longestInFlightDeadline} from './policy.js';

/** The roster of a zone: the instances that elect its steward (the zone's lease distributor). */
export type ZoneRoster = {
	readonly zone: ZoneName;
	readonly region: RegionName;
	readonly members: readonly InstanceRecord[];
	/** The members before the last change, which a steward may not have applied yet. */
	readonly previousMembers: readonly InstanceRecord[];
	/** The index of the last entry that changed the members. */
	readonly changedAt: LogIndex;
	/** The index of the last change that the zone's steward is recorded to have reported. */
	readonly settledAt?: LogIndex;
	/** The index of the last entry that released the zone. */
	readonly releasedAt?: LogIndex;
	readonly releaseReason?: ReleaseReason;
};

/** The ownership state that results from the log. */
export type OwnershipState = {
	readonly services: Readonly<Record<ServiceName, ServiceAssignments>>;
	readonly policies: Readonly<Record<ServiceName, ServicePolicy>>;
	readonly rosters: Readonly<Record<ZoneName, ZoneRoster>>;
};

/** The table before the first entry. */
export const emptyOwnership: OwnershipState = {services: {}, policies: {}, rosters: {}};

/** Returns the assignment of a slot, or undefined if the service or the slot doesn't exist. */
export function assignmentOf(state: OwnershipState, service: ServiceName, slot: Slot): Assignment | undefined {
	return state.services[service]?.assignments[slot];
}

/** Returns the slot that a key belongs to: its own slot if it is pinned, otherwise the one that it hashes to. */
export function slotFor(assignments: ServiceAssignments, hashSlot: Slot, key: string): Slot {
	for (const pinned of assignments.pinned) {
		if (pinned.home === hashSlot && pinned.key === key) {
			return pinned.slot;
		}
	}

	return hashSlot;
}

/** Returns the index of the entry that started an assignment's revocation, or undefined if it isn't being revoked. */
export function revokedAtOf(assignment: Assignment | undefined): LogIndex | undefined {
	return assignment?.phase === AssignmentPhase.revoking ? assignment.revokedAt : undefined;
}

/** Returns the longest deadline that an in-flight request of any service may have. */
export function longestDeadlineOf(state: OwnershipState): Milliseconds {
	return Object.values(state.policies).reduce((longest, policy) => Math.max(longest, longestInFlightDeadline(policy)), 0);
}

/** Returns the instances of all zones that have a seat, which is membership in their zone's roster. */
export function seatedInstances({rosters}: OwnershipState): readonly InstanceRecord[] {
	return Object.values(rosters).flatMap(({members}) => members);
}
