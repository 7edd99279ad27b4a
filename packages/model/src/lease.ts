/**
 * The messages that distribute routing leases: control delegates a zone to its
 * steward, and the steward grants leases to the zone's instances. The steward is
 * an instance that a majority of the zone's roster supports for a term; a seat is
 * the membership in that roster.
 */
import {type KeyLoad, type SlotLoad, type UpstreamEvidence} from './evidence.js';
import {
	type InstanceIdentity, type LogIndex, type Milliseconds, type MonotonicTime, type ZoneName,
} from './identifiers.js';
import {type Announcement, type InstanceRecord} from './registry.js';
import {type LimitDemand, type LimitShare} from './share.js';

/** What instances observed since their last report. A steward forwards it to control. */
export type Report = {
	readonly announcements: readonly Announcement[];
	/** `seenBy` is the instance that made the observation. */
	readonly evidence: ReadonlyArray<UpstreamEvidence & {readonly seenBy: InstanceIdentity}>;
	readonly slotLoads: readonly SlotLoad[];
	readonly keyLoads: readonly KeyLoad[];
	readonly demands: readonly LimitDemand[];
};

/** The request of an instance for a routing lease, to its zone's steward. */
export type LeaseRequest = {
	readonly instance: InstanceRecord;
	/** The newest log entry that the instance has applied. */
	readonly applied: LogIndex;
	/**
	 * The index up to which the instance is drained: no request that was started
	 * under an earlier entry, and would not be allowed now, is still in flight.
	 */
	readonly drained: LogIndex;
	readonly report: Report;
	/** The support that the instance renewed when it sent the request. */
	readonly supportRenewal?: SupportRenewal;
};

/** Renews an instance's support of a steward for one more term, as requested in a lease answer. */
export type SupportRenewal = {
	readonly steward: InstanceIdentity;
	/** `supportAskedAt` of the lease answer, unchanged. */
	readonly askedAt: MonotonicTime;
};

/** The steward's answer: a routing lease whose durations start when the request was sent. */
export type LeaseAnswer = {
	readonly steward: InstanceIdentity;
	/** The lease over the zone's own slots of services whose `whenCut` is `hold`. 0: no lease. */
	readonly holdMilliseconds: Milliseconds;
	/** The lease over all other slots. 0: no lease. */
	readonly controlMilliseconds: Milliseconds;
	readonly shares: readonly LimitShare[];
	/**
	 * Asks the instance to renew its support with the next lease request. The
	 * value is when the steward answered, on its own clock; other instances only
	 * send it back. Absent: no renewal is requested.
	 */
	readonly supportAskedAt?: MonotonicTime;
};

/** The request of a zone's steward, or of a candidate for it, for another instance's support or its renewal. */
export type SupportRequest = {
	readonly zone: ZoneName;
	readonly candidate: InstanceIdentity;
	readonly applied: LogIndex;
};

/** Whether support is granted for one steward's term, which starts when the request was sent. */
export type SupportAnswer = {
	readonly granted: boolean;
	readonly supporter: InstanceIdentity;
	/** The newest log entry that the supporter has applied. */
	readonly applied: LogIndex;
	/** The steward or candidate that the supporter currently supports. */
	readonly supported?: InstanceIdentity;
};

/** The request of a steward to control to extend its zone's delegation. */
export type DelegationRequest = {
	readonly zone: ZoneName;
	readonly steward: InstanceIdentity;
	readonly applied: LogIndex;
	/** As in `LeaseRequest`, for all instances of the zone together. */
	readonly drained: LogIndex;
	readonly report: Report;
	/** The instances that recently requested a lease. */
	readonly holders?: readonly InstanceIdentity[];
};

/** Control's answer: a delegation whose term starts when the request was sent. */
export type DelegationAnswer = {
	/** 0: no delegation. */
	readonly termMilliseconds: Milliseconds;
	readonly shares: readonly LimitShare[];
};

/**
 * The request of an instance to control for a seat in its zone's roster. The
 * instance grants no support until a steward's term after its start, as an
 * earlier incarnation may have granted some. A seated instance that finds no
 * steward sends the request to report that it is running.
 */
export type SeatRequest = {
	readonly instance: InstanceRecord;
	readonly applied: LogIndex;
	/** Whether the instance gives up its seat for a planned stop. */
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
