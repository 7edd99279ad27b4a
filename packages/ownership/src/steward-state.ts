/**
 * What a steward knows, what happens to it, and what it asks for.
 */
import {
	type InstanceIdentity, type LogIndex, type Milliseconds, type MonotonicTime,
} from '@dogwooddeck/model/identifiers';
import {
	type DelegationAnswer, type DelegationRequest, type LeaseAnswer, type LeaseRequest, type SupportAnswer, type SupportRenewal, type SupportRequest,
} from '@dogwooddeck/model/lease';
import {type InstanceRecord} from '@dogwooddeck/model/registry';
import {type Transition} from '@dogwooddeck/model/transition';
import {type LeaseHolders} from './holders.js';
import {type OwnershipState} from './state.js';
import {type Supporter, type SupportRecords} from './support.js';
import {type LeaseTerms} from './terms.js';

/** A request for support that came with a lease. */
export type AskedSupport = SupportRenewal & {
	/** A lease request has taken the renewal along. */
	readonly isAnswered: boolean;
};

/** An instance as supporter, candidate or steward of its zone. */
export type StewardState = {
	readonly self: InstanceRecord;
	readonly terms: LeaseTerms;
	readonly applied: LogIndex;
	/** The members of the zone's roster, in the table that this instance has applied. */
	readonly members: readonly InstanceRecord[];
	/** The longest deadline of any service. */
	readonly longestDeadlineMilliseconds: Milliseconds;
	readonly supporter: Supporter;
	/** The newest request for support that came with a lease. */
	readonly askedSupport?: AskedSupport;
	/** The supports that this instance has as a candidate. */
	readonly records: SupportRecords;
	/** When it began to stand. Absent: it doesn't. */
	readonly stoodAt?: MonotonicTime;
	/** It neither stands nor renews before this. */
	readonly standsFrom: MonotonicTime;
	readonly supportAskedAt: MonotonicTime;
	/** Since when it has been steward without a gap. Absent: it is not. */
	readonly electedAt?: MonotonicTime;
	/** Instances that applied less get no lease. */
	readonly floor: LogIndex;
	readonly holders: LeaseHolders;
	/** Instances of the zone that asked for a lease and have no seat. A steward asks for their support ahead of their seat. */
	readonly newcomers: readonly InstanceRecord[];
	/** The end of the zone's delegation, as far as this steward knows. */
	readonly delegatedUntil: MonotonicTime;
	readonly delegationAskedAt: MonotonicTime;
	readonly askedDrained: LogIndex;
	readonly askedApplied: LogIndex;
};

/** What happens to a steward. Times are on its own monotonic clock. */
export type StewardEvent =
	| {readonly kind: 'ticked'; readonly now: MonotonicTime}
	/** The instance applied log entries up to `applied`. */
	| {readonly kind: 'tableChanged'; readonly now: MonotonicTime; readonly applied: LogIndex; readonly table: OwnershipState}
	| {readonly kind: 'supportRequested'; readonly now: MonotonicTime; readonly request: SupportRequest}
	| {readonly kind: 'supportAnswered'; readonly now: MonotonicTime; readonly sentAt: MonotonicTime; readonly answer: SupportAnswer}
	| {readonly kind: 'leaseRequested'; readonly now: MonotonicTime; readonly request: LeaseRequest}
	/** The instance sends a lease request to `to` now. */
	| {readonly kind: 'leaseSent'; readonly now: MonotonicTime; readonly to: InstanceIdentity}
	| {readonly kind: 'leaseAnswered'; readonly now: MonotonicTime; readonly answer: LeaseAnswer}
	/** `applied` is what the request said that was sent at `sentAt`. */
	| {
		readonly kind: 'delegationAnswered';
		readonly now: MonotonicTime;
		readonly sentAt: MonotonicTime;
		readonly applied: LogIndex;
		readonly answer: DelegationAnswer;
	}
	/** The instance is to stop: it stands and renews no more. */
	| {readonly kind: 'resigned'; readonly now: MonotonicTime};

/** What a steward asks the edge to do. Answers go to whoever sent the event's request. */
export type StewardEffect =
	| {readonly kind: 'askSupport'; readonly to: InstanceRecord; readonly sentAt: MonotonicTime; readonly request: SupportRequest}
	| {readonly kind: 'answerSupport'; readonly answer: SupportAnswer}
	| {readonly kind: 'answerLease'; readonly answer: LeaseAnswer}
	/** The lease request that is being sent carries the renewal. */
	| {readonly kind: 'renewSupport'; readonly renewal: SupportRenewal}
	| {readonly kind: 'askDelegation'; readonly sentAt: MonotonicTime; readonly request: DelegationRequest};

/** A step of a steward. */
export type StewardTransition = Transition<StewardState, StewardEffect>;
