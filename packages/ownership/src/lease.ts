/**
 * The routing lease of one instance. It is asked for again and again, and its
 * end is counted from when the request for it was sent, on the instance's own
 * monotonic clock and with the drift bound taken off.
 */
import {type Assignment, AssignmentPhase} from '@dogwooddeck/model/assignment';
import {type LogIndex, type MonotonicTime, type ZoneName} from '@dogwooddeck/model/identifiers';
import {type LeaseAnswer} from '@dogwooddeck/model/lease';
import {mayHold, type ServicePolicy} from './policy.js';
import {holderTerm, type LeaseTerms} from './terms.js';

/** What an instance may route until when. */
export type LeaseState = {
	readonly terms: LeaseTerms;
	/** The zone's own slots of services that hold. */
	readonly holdUntil: MonotonicTime;
	/** All other slots. */
	readonly controlUntil: MonotonicTime;
	/** When the last request was sent. */
	readonly sentAt: MonotonicTime;
	/** The drained index in the last request. */
	readonly sentDrained: LogIndex;
	/** The applied index in the last request. */
	readonly sentApplied: LogIndex;
};

/** No lease yet. */
export function createLease(terms: LeaseTerms): LeaseState {
	return {
		terms, holdUntil: -Infinity, controlUntil: -Infinity, sentAt: -Infinity, sentDrained: 0, sentApplied: 0,
	};
}

/** When to ask: a renewal is due, or there is news that a revocation may wait for. */
export function requestDueAt(lease: LeaseState, applied: LogIndex, drained: LogIndex): MonotonicTime {
	const {renewMilliseconds, urgentMilliseconds} = lease.terms;
	const isNews = drained > lease.sentDrained || applied > lease.sentApplied;
	return lease.sentAt + (isNews ? Math.min(renewMilliseconds, urgentMilliseconds) : renewMilliseconds);
}

/** Whether to ask now. */
export function requestDue(lease: LeaseState, now: MonotonicTime, applied: LogIndex, drained: LogIndex): boolean {
	return now >= requestDueAt(lease, applied, drained);
}

/** Notes that a request was sent. */
export function requestSent(lease: LeaseState, event: {readonly now: MonotonicTime; readonly applied: LogIndex; readonly drained: LogIndex}): LeaseState {
	return {
		...lease, sentAt: event.now, sentDrained: event.drained, sentApplied: event.applied,
	};
}

/** Takes an answer to the request that was sent at `sentAt`. Answers may come late, twice or out of order. */
export function answered(lease: LeaseState, event: {readonly sentAt: MonotonicTime; readonly answer: LeaseAnswer}): LeaseState {
	const {sentAt, answer} = event;
	return {
		...lease,
		holdUntil: Math.max(lease.holdUntil, sentAt + holderTerm(answer.holdMilliseconds, lease.terms)),
		controlUntil: Math.max(lease.controlUntil, sentAt + holderTerm(answer.controlMilliseconds, lease.terms)),
	};
}

/** Whether any lease is in force, so that the instance may say that it is ready. */
export function holdsLease(lease: LeaseState, now: MonotonicTime): boolean {
	return now < lease.holdUntil || now < lease.controlUntil;
}

/** When the last of the leases ends. */
export function leaseEnd(lease: LeaseState): MonotonicTime {
	return Math.max(lease.holdUntil, lease.controlUntil);
}

/**
 * Whether an instance may go on with an owner's slots without control: they
 * belong to its own zone, and the service's policy in the table is to hold.
 */
export function isHeld(policy: ServicePolicy, ownerZone: ZoneName, ownZone: ZoneName): boolean {
	return ownerZone === ownZone && mayHold(policy);
}

/**
 * Whether a request for an assignment may be handed to its owner now. `held` is
 * the answer of `isHeld`. Ask again just before the first byte: the answer
 * holds for this moment only.
 */
export function mayStart(lease: LeaseState, now: MonotonicTime, assignment: Assignment, held: boolean): boolean {
	return assignment.phase === AssignmentPhase.granted && now < (held ? lease.holdUntil : lease.controlUntil);
}
