/**
 * The replicated ownership table: assignments, policies and rosters. It is
 * plain JSON, and a change shares with the state before it all that it leaves alone.
 */
import {type Assignment, AssignmentPhase, type ServiceAssignments} from '@dogwooddeck/model/assignment';
import {
	type LogIndex, type Milliseconds, type RegionName, type ServiceName, type Slot, type ZoneName,
} from '@dogwooddeck/model/identifiers';
import {type InstanceRecord} from '@dogwooddeck/model/registry';
import {type ReleaseReason} from './command.js';
import {type ServicePolicy, waitedDeadline} from './policy.js';

/** The instances of a zone that support its steward. */
export type ZoneRoster = {
	readonly zone: ZoneName;
	readonly region: RegionName;
	readonly members: readonly InstanceRecord[];
	/** The members before the last change: a steward may not have applied it yet. */
	readonly previousMembers: readonly InstanceRecord[];
	readonly changedAt: LogIndex;
	/** The last change that the zone's steward is known to have reported. */
	readonly settledAt?: LogIndex;
	/** The last entry that released the zone. */
	readonly releasedAt?: LogIndex;
	readonly releaseReason?: ReleaseReason;
};

/** All that the log says about ownership. */
export type OwnershipState = {
	readonly services: Readonly<Record<ServiceName, ServiceAssignments>>;
	readonly policies: Readonly<Record<ServiceName, ServicePolicy>>;
	readonly rosters: Readonly<Record<ZoneName, ZoneRoster>>;
};

/** The table before the first entry. */
export const emptyOwnership: OwnershipState = {services: {}, policies: {}, rosters: {}};

/** The assignment of a slot. Undefined: no such service or slot. */
export function assignmentOf(state: OwnershipState, service: ServiceName, slot: Slot): Assignment | undefined {
	return state.services[service]?.assignments[slot];
}

/** The slot that a key belongs to: its own if it is pinned, else the one it hashes to. */
export function slotFor(assignments: ServiceAssignments, hashSlot: Slot, key: string): Slot {
	for (const pinned of assignments.pinned) {
		if (pinned.home === hashSlot && pinned.key === key) {
			return pinned.slot;
		}
	}

	return hashSlot;
}

/** The entry that began an assignment's revocation. Undefined: it is not being revoked. */
export function revokedAtOf(assignment: Assignment | undefined): LogIndex | undefined {
	return assignment?.phase === AssignmentPhase.revoking ? assignment.revokedAt : undefined;
}

/** The longest deadline that a request of any service may have. */
export function longestDeadlineOf(state: OwnershipState): Milliseconds {
	return Object.values(state.policies).reduce((longest, policy) => Math.max(longest, waitedDeadline(policy)), 0);
}

/** The instances that have a seat, of all zones. */
export function seatedInstances({rosters}: OwnershipState): readonly InstanceRecord[] {
	return Object.values(rosters).flatMap(({members}) => members);
}
