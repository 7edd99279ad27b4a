/**
 * The commands that change the ownership table. Each is one log entry.
 */
import {
	type InstanceIdentity, type LogIndex, type ServiceName, type Slot, type UpstreamIdentity, type ZoneName,
} from '@dogwooddeck/model/identifiers';
import {type InstanceRecord} from '@dogwooddeck/model/registry';
import {type PolicyTerms} from './policy.js';

/** One grant. `revokedAt` names the revocation whose evidence was gathered; absent: the slot is vacant. */
export type Grant = {readonly slot: Slot; readonly owner: UpstreamIdentity; readonly revokedAt?: LogIndex};

/** One end of a revocation without a next owner. */
export type Release = {readonly slot: Slot; readonly revokedAt: LogIndex};

/** Why a zone's hold on its slots is over. */
export const ReleaseReason = {
	/** So many of its instances restarted that no majority of the old ones is left. */
	withheld: 'withheld',
	/** An operator declared it lost, and answers for it that nothing of it still serves. */
	declaredLost: 'declared-lost',
} as const;

/** One of the reasons of a release. */
export type ReleaseReason = (typeof ReleaseReason)[keyof typeof ReleaseReason];

/** Opens a service: all of its slots are vacant. */
export type ServiceOpened = {readonly kind: 'serviceOpened'; readonly service: ServiceName; readonly slots: number; readonly policy: PolicyTerms};

/** Closes a service whose slots are all vacant. */
export type ServiceClosed = {readonly kind: 'serviceClosed'; readonly service: ServiceName};

/** Changes a service's policy. */
export type PolicyChanged = {readonly kind: 'policyChanged'; readonly service: ServiceName; readonly policy: PolicyTerms};

/** Every zone has applied the change of policy with this index. */
export type PolicySettled = {readonly kind: 'policySettled'; readonly service: ServiceName; readonly changedAt: LogIndex};

/** Gives slots to owners. */
export type AssignmentsGranted = {readonly kind: 'assignmentsGranted'; readonly service: ServiceName; readonly grants: readonly Grant[]};

/** Begins to take slots from their owners. */
export type AssignmentsRevoked = {readonly kind: 'assignmentsRevoked'; readonly service: ServiceName; readonly slots: readonly Slot[]};

/** Ends revocations, with evidence: the slots are vacant. */
export type AssignmentsReleased = {readonly kind: 'assignmentsReleased'; readonly service: ServiceName; readonly releases: readonly Release[]};

/** Splits a key out of its slot. */
export type KeyPinned = {readonly kind: 'keyPinned'; readonly service: ServiceName; readonly key: string; readonly home: Slot};

/** Puts a key back into its slot. */
export type KeyUnpinned = {readonly kind: 'keyUnpinned'; readonly service: ServiceName; readonly key: string};

/** Takes an instance into its zone's roster, if that last changed at `changedAt`. 0: the zone is new. */
export type InstanceSeated = {readonly kind: 'instanceSeated'; readonly record: InstanceRecord; readonly changedAt: LogIndex};

/** Takes an instance out of its zone's roster, if that last changed at `changedAt`. */
export type InstanceUnseated = {
	readonly kind: 'instanceUnseated';
	readonly zone: ZoneName;
	readonly instance: InstanceIdentity;
	readonly changedAt: LogIndex;
};

/**
 * Ends a zone's hold and empties its roster. `changedAt` names the roster that
 * the evidence is about; absent: whatever the roster is (an operator's word).
 */
export type ZoneReleased = {
	readonly kind: 'zoneReleased';
	readonly zone: ZoneName;
	readonly reason: ReleaseReason;
	readonly changedAt?: LogIndex;
};

/** The zone's steward has reported the change of the roster at `changedAt`, so that the next one may be made, also by a later leader. */
export type RosterSettled = {readonly kind: 'rosterSettled'; readonly zone: ZoneName; readonly changedAt: LogIndex};

/** Any command to the ownership table. */
export type OwnershipCommand =
	| ServiceOpened | ServiceClosed | PolicyChanged | PolicySettled
	| AssignmentsGranted | AssignmentsRevoked | AssignmentsReleased
	| KeyPinned | KeyUnpinned
	| InstanceSeated | InstanceUnseated | RosterSettled | ZoneReleased;
