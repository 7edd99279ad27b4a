/**
 * The state, events and effects of an instance as supporter, candidate or steward
 * of its zone. The steward is the zone's elected lease distributor.
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

/** A request for support that was received with a lease answer. */
export type ReceivedSupportRequest = SupportRenewal & {
	/** Whether a lease request has carried the renewal. */
	readonly isAnswered: boolean;
};

/** The state of an instance as supporter, candidate or steward of its zone. */
export type StewardState = {
	readonly self: InstanceRecord;
	readonly terms: LeaseTerms;
	readonly applied: LogIndex;
	/** The members of the zone's roster, in the table that this instance has applied. */
	readonly members: readonly InstanceRecord[];
	/** The longest deadline of any service. */
	readonly longestDeadlineMilliseconds: Milliseconds;
	readonly supporter: Supporter;
	/** The newest request for support that was received with a lease answer. */
	readonly receivedSupportRequest?: ReceivedSupportRequest;
	/** The support that this instance has received as a candidate or steward. */
	readonly supportRecords: SupportRecords;
	/** When its candidacy started; absent if it is neither candidate nor steward. */
	readonly candidateSince?: MonotonicTime;
	/** It neither starts a candidacy nor renews its support before this time. */
	readonly candidacyNotBefore: MonotonicTime;
	/** When it last requested support from the other members. */
	readonly supportRequestedAt: MonotonicTime;
	/** When its current tenure as steward started; absent if it isn't steward. */
	readonly electedAt?: MonotonicTime;
	/** The lowest applied index with which an instance may get a lease. */
	readonly minimumApplied: LogIndex;
	readonly holders: LeaseHolders;
	/** Instances of the zone that requested a lease and have no seat yet. The steward requests their support before they are seated. */
	readonly newcomers: readonly InstanceRecord[];
	/** The end of the zone's delegation, according to the answers that this steward received. */
	readonly delegatedUntil: MonotonicTime;
	/** When it last requested the delegation. */
	readonly delegationRequestedAt: MonotonicTime;
	/** The drained index in the last delegation request. */
	readonly reportedDrained: LogIndex;
	/** The applied index in the last delegation request. */
	readonly reportedApplied: LogIndex;
};

/** An event that a steward handles. Times are on its own monotonic clock. */
export type StewardEvent =
	| {readonly kind: 'ticked'; readonly now: MonotonicTime}
	/** The instance applied log entries up to `applied`. */
	| {readonly kind: 'tableChanged'; readonly now: MonotonicTime; readonly applied: LogIndex; readonly table: OwnershipState}
	| {readonly kind: 'supportRequested'; readonly now: MonotonicTime; readonly request: SupportRequest}
	| {readonly kind: 'supportAnswered'; readonly now: MonotonicTime; readonly sentAt: MonotonicTime; readonly answer: SupportAnswer}
	| {readonly kind: 'leaseRequested'; readonly now: MonotonicTime; readonly request: LeaseRequest}
	/** The instance is about to send a lease request to `to`. */
	| {readonly kind: 'leaseSent'; readonly now: MonotonicTime; readonly to: InstanceIdentity}
	| {readonly kind: 'leaseAnswered'; readonly now: MonotonicTime; readonly answer: LeaseAnswer}
	/** `applied` is the applied index in the request that was sent at `sentAt`. */
	| {
		readonly kind: 'delegationAnswered';
		readonly now: MonotonicTime;
		readonly sentAt: MonotonicTime;
		readonly applied: LogIndex;
		readonly answer: DelegationAnswer;
	}
	/** The instance is shutting down: it no longer starts candidacies or renews its support. */
	| {readonly kind: 'resigned'; readonly now: MonotonicTime};

/** A side effect for the caller to carry out. An answer goes to the sender of the request in the event. */
export type StewardEffect =
	| {readonly kind: 'askSupport'; readonly to: InstanceRecord; readonly sentAt: MonotonicTime; readonly request: SupportRequest}
	| {readonly kind: 'answerSupport'; readonly answer: SupportAnswer}
	| {readonly kind: 'answerLease'; readonly answer: LeaseAnswer}
	/** The renewal is to be attached to the lease request that is being sent. */
	| {readonly kind: 'renewSupport'; readonly renewal: SupportRenewal}
	| {readonly kind: 'askDelegation'; readonly sentAt: MonotonicTime; readonly request: DelegationRequest};

/** The next state of a steward and its effects. */
export type StewardTransition = Transition<StewardState, StewardEffect>;
