/**
 * The messages by which the right to route is passed on: from control to the
 * steward of an availability zone, and from the steward to the zone's instances.
 */
import {type KeyLoad, type SlotLoad, type UpstreamEvidence} from './evidence.js';
import {
	type InstanceIdentity, type LogIndex, type Milliseconds, type MonotonicTime, type ZoneName,
} from './identifiers.js';
import {type Announcement, type InstanceRecord} from './registry.js';
import {type LimitDemand, type LimitShare} from './share.js';

/** What instances saw since their last report. It is passed on upwards. */
export type Report = {
	readonly announcements: readonly Announcement[];
	readonly evidence: ReadonlyArray<UpstreamEvidence & {readonly seenBy: InstanceIdentity}>;
	readonly slotLoads: readonly SlotLoad[];
	readonly keyLoads: readonly KeyLoad[];
	readonly demands: readonly LimitDemand[];
};

/** An instance asks its zone's steward for a routing lease. */
export type LeaseRequest = {
	readonly instance: InstanceRecord;
	/** The newest log entry that the instance has applied. */
	readonly applied: LogIndex;
	/**
	 * No request that was started under an entry before this one and would not
	 * be allowed now is in flight any more.
	 */
	readonly drained: LogIndex;
	readonly report: Report;
	/** The instance renewed its support of this steward when it sent the request. */
	readonly supportRenewal?: SupportRenewal;
};

/** An instance's answer to the request for support in a lease answer: it supports for one more term. */
export type SupportRenewal = {
	readonly steward: InstanceIdentity;
	/** `supportAskedAt` of the lease answer, as it came. */
	readonly askedAt: MonotonicTime;
};

/** The steward's answer: a routing lease, counted from when the request was sent. */
export type LeaseAnswer = {
	readonly steward: InstanceIdentity;
	/** For the zone's own slots of services that hold. 0: no lease. */
	readonly holdMilliseconds: Milliseconds;
	/** For all other slots. 0: no lease. */
	readonly controlMilliseconds: Milliseconds;
	readonly shares: readonly LimitShare[];
	/**
	 * The steward asks by it for support with the next lease request. When it
	 * answered, on its own clock; other instances only send it back. Absent: it
	 * doesn't ask.
	 */
	readonly supportAskedAt?: MonotonicTime;
};

/** An instance that would be its zone's steward asks for, or renews, another's support. */
export type SupportRequest = {
	readonly zone: ZoneName;
	readonly candidate: InstanceIdentity;
	readonly applied: LogIndex;
};

/** Whether the support is given for one steward's term, counted from when the request was sent. */
export type SupportAnswer = {
	readonly granted: boolean;
	readonly supporter: InstanceIdentity;
	/** The newest entry that the supporter has applied. */
	readonly applied: LogIndex;
	/** The steward that the supporter supports now. */
	readonly supported?: InstanceIdentity;
};

/** A steward asks control to prolong its zone's delegation. */
export type DelegationRequest = {
	readonly zone: ZoneName;
	readonly steward: InstanceIdentity;
	readonly applied: LogIndex;
	/** As in a lease request, for all instances of the zone together. */
	readonly drained: LogIndex;
	readonly report: Report;
	/** The instances that asked for a lease of late. */
	readonly holders?: readonly InstanceIdentity[];
};

/** Control's answer: a delegation, counted from when the request was sent. */
export type DelegationAnswer = {
	/** 0: not given. */
	readonly termMilliseconds: Milliseconds;
	readonly shares: readonly LimitShare[];
};

/**
 * A process that is not in its zone's roster asks control to be seated there.
 * It gives no support before it has been silent for a steward's term. A seated
 * one that finds no steward says by it that it is there.
 */
export type SeatRequest = {
	readonly instance: InstanceRecord;
	readonly applied: LogIndex;
	/** It wants to give its seat up: a planned stop. */
	readonly leaving?: boolean;
};

/** An empty report. */
export const emptyReport: Report = {
	announcements: [],
	evidence: [],
	slotLoads: [],
	keyLoads: [],
	demands: [],
};
