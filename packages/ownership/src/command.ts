/**
 * The commands that change the ownership table. Each is stored as one log entry.
 */
import {
	type InstanceIdentity, type LogIndex, type ServiceName, type Slot, type UpstreamIdentity, type ZoneName,
} from '@dogwooddeck/model/identifiers';
import {type InstanceRecord} from '@dogwooddeck/model/registry';
import {type PolicyTerms} from './policy.js';

/** Grants a slot to an owner. `revokedAt` is the index of the revocation that this grant completes; absent if the slot is vacant. */
export type Grant = {readonly slot: Slot; readonly owner: UpstreamIdentity; readonly revokedAt?: LogIndex};

/** Completes a revocation without a next owner. */
export type Release = {readonly slot: Slot; readonly revokedAt: LogIndex};

/** Why a zone no longer holds its slots. */
export const ReleaseReason = {
	/** So many of its instances restarted that the former incarnations can't form a majority. */
	withheld: 'withheld',
	/** An operator declared the zone lost and vouches that no instance of it still serves. */
	declaredLost: 'declared-lost',
} as const;

/** One of the reasons of a release. */
export type ReleaseReason = (typeof ReleaseReason)[keyof typeof ReleaseReason];

/** Opens a service with all slots vacant. */
export type ServiceOpened = {readonly kind: 'serviceOpened'; readonly service: ServiceName; readonly slots: number; readonly policy: PolicyTerms};

/** Closes a service whose slots are all vacant. */
export type ServiceClosed = {readonly kind: 'serviceClosed'; readonly service: ServiceName};

/** Changes a service's policy. */
export type PolicyChanged = {readonly kind: 'policyChanged'; readonly service: ServiceName; readonly policy: PolicyTerms};

/** Records that every zone has applied the policy change at `changedAt`, so that the former policy no longer counts. */
export type PolicySettled = {readonly kind: 'policySettled'; readonly service: ServiceName; readonly changedAt: LogIndex};

/** Grants slots to owners. */
export type AssignmentsGranted = {readonly kind: 'assignmentsGranted'; readonly service: ServiceName; readonly grants: readonly Grant[]};

/** Starts the revocation of slots from their owners. */
export type AssignmentsRevoked = {readonly kind: 'assignmentsRevoked'; readonly service: ServiceName; readonly slots: readonly Slot[]};

/** Completes revocations whose evidence is complete; the slots become vacant. */
export type AssignmentsReleased = {readonly kind: 'assignmentsReleased'; readonly service: ServiceName; readonly releases: readonly Release[]};

/** Splits a key out of its slot and gives it an assignment of its own. */
export type KeyPinned = {readonly kind: 'keyPinned'; readonly service: ServiceName; readonly key: string; readonly home: Slot};

/** Merges a pinned key back into its slot. */
export type KeyUnpinned = {readonly kind: 'keyUnpinned'; readonly service: ServiceName; readonly key: string};

/** Adds an instance to its zone's roster if the roster last changed at `changedAt`; 0 means that the zone is new. */
export type InstanceSeated = {readonly kind: 'instanceSeated'; readonly record: InstanceRecord; readonly changedAt: LogIndex};

/** Removes an instance from its zone's roster if the roster last changed at `changedAt`. */
export type InstanceUnseated = {
	readonly kind: 'instanceUnseated';
	readonly zone: ZoneName;
	readonly instance: InstanceIdentity;
	readonly changedAt: LogIndex;
};

/**
 * Ends a zone's hold on its slots and empties its roster. `changedAt` names the
 * version of the roster that the evidence covers; absent (an operator's
 * declaration), the command applies to any version.
 */
export type ZoneReleased = {
	readonly kind: 'zoneReleased';
	readonly zone: ZoneName;
	readonly reason: ReleaseReason;
	readonly changedAt?: LogIndex;
};

/** Records that the zone's steward reported the roster change at `changedAt`, so that this leader or a later one may make the next change. */
export type RosterSettled = {readonly kind: 'rosterSettled'; readonly zone: ZoneName; readonly changedAt: LogIndex};

/** Any command that changes the ownership table. */
export type OwnershipCommand =
	| ServiceOpened | ServiceClosed | PolicyChanged | PolicySettled
	| AssignmentsGranted | AssignmentsRevoked | AssignmentsReleased
	| KeyPinned | KeyUnpinned
	| InstanceSeated | InstanceUnseated | RosterSettled | ZoneReleased;
