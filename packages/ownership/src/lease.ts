/**
 * The routing lease of one instance. The instance renews it periodically. Its
 * end is counted from when the request was sent, on the instance's own
 * monotonic clock, less the drift bound.
 */
import {type Assignment, AssignmentPhase} from '@dogwooddeck/model/assignment';
import {type LogIndex, type MonotonicTime, type ZoneName} from '@dogwooddeck/model/identifiers';
import {type LeaseAnswer} from '@dogwooddeck/model/lease';
import {mayHold, type ServicePolicy} from './policy.js';
import {holderTerm, type LeaseTerms} from './terms.js';

/** The leases of an instance, each with the time until which it may route by it. */
export type LeaseState = {
	readonly terms: LeaseTerms;
	/** Covers the zone's own slots of services with the `hold` policy. */
	readonly holdUntil: MonotonicTime;
	/** Covers all other slots. */
	readonly controlUntil: MonotonicTime;
	/** When the last request was sent. */
	readonly sentAt: MonotonicTime;
	/** The drained index in the last request. */
	readonly sentDrained: LogIndex;
	/** The applied index in the last request. */
	readonly sentApplied: LogIndex;
};

/** Creates the state of an instance that holds no lease. */
export function createLease(terms: LeaseTerms): LeaseState {
	return {
		terms, holdUntil: -Infinity, controlUntil: -Infinity, sentAt: -Infinity, sentDrained: 0, sentApplied: 0,
	};
}

/** Returns when the next request is due: at the renewal interval, or earlier if there is progress that a revocation may be waiting for. */
export function requestDueAt(lease: LeaseState, applied: LogIndex, drained: LogIndex): MonotonicTime {
	const {renewMilliseconds, urgentMilliseconds} = lease.terms;
	const hasProgress = drained > lease.sentDrained || applied > lease.sentApplied;
	return lease.sentAt + (hasProgress ? Math.min(renewMilliseconds, urgentMilliseconds) : renewMilliseconds);
}

/** Whether a request is due now. */
export function isRequestDue(lease: LeaseState, now: MonotonicTime, applied: LogIndex, drained: LogIndex): boolean {
	return now >= requestDueAt(lease, applied, drained);
}

/** Records that a request was sent. */
export function recordLeaseRequest(lease: LeaseState, event: {readonly now: MonotonicTime; readonly applied: LogIndex; readonly drained: LogIndex}): LeaseState {
	return {
		...lease, sentAt: event.now, sentDrained: event.drained, sentApplied: event.applied,
	};
}

/** Applies an answer to the request that was sent at `sentAt`. Answers may arrive late, twice or out of order. */
export function applyLeaseAnswer(lease: LeaseState, event: {readonly sentAt: MonotonicTime; readonly answer: LeaseAnswer}): LeaseState {
	const {sentAt, answer} = event;
	return {
		...lease,
		holdUntil: Math.max(lease.holdUntil, sentAt + holderTerm(answer.holdMilliseconds, lease.terms)),
		controlUntil: Math.max(lease.controlUntil, sentAt + holderTerm(answer.controlMilliseconds, lease.terms)),
	};
}

/** Whether any lease is in force, so that the instance may report itself as ready. */
export function holdsLease(lease: LeaseState, now: MonotonicTime): boolean {
	return now < lease.holdUntil || now < lease.controlUntil;
}

/** Returns when the last of the leases ends. */
export function leaseEndsAt(lease: LeaseState): MonotonicTime {
	return Math.max(lease.holdUntil, lease.controlUntil);
}

/**
 * Whether an instance may continue to route to an owner's slots without contact
 * to control: the owner is in its own zone, and the service's policy in the
 * table is `hold`.
 */
export function isHeld(policy: ServicePolicy, ownerZone: ZoneName, ownZone: ZoneName): boolean {
	return ownerZone === ownZone && mayHold(policy);
}

/**
 * Whether a request for an assignment may be sent to its owner now. `held` is
 * the result of `isHeld`. Check again just before the first byte is sent: the
 * result is valid only at `now`.
 */
export function mayStart(lease: LeaseState, now: MonotonicTime, assignment: Assignment, held: boolean): boolean {
	return assignment.phase === AssignmentPhase.granted && now < (held ? lease.holdUntil : lease.controlUntil);
}
