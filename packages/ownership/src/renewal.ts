/**
 * Renewal of support, piggybacked on the lease exchange. A steward's lease answer
 * requests support and carries the time of the answer on the steward's own
 * clock. The next lease request to the same steward returns that time together
 * with the instance's promise for one more term, made when the request is sent.
 * The steward counts the support from the returned time, which is before the
 * promise.
 */
import {
	includesInstance, type InstanceIdentity, type MonotonicTime, sameInstance,
} from '@dogwooddeck/model/identifiers';
import {type LeaseRequest, type SupportRenewal} from '@dogwooddeck/model/lease';
import {type StewardEvent, type StewardState, type StewardTransition} from './steward-state.js';
import {
	decideSupport, supportedCandidate, type SupportRecord, withSupport,
} from './support.js';
import {isSteward} from './tenure.js';
import {holderTerm, type LeaseTerms} from './terms.js';

type EventOf<Kind extends StewardEvent['kind']> = Extract<StewardEvent, {readonly kind: Kind}>;

/** Whether a steward requests support with its lease answers. One that has resigned doesn't. */
export function requestsSupportWithLeases(state: StewardState, now: MonotonicTime): boolean {
	return isSteward(state, now) && now >= state.candidacyNotBefore;
}

function isRequestedBy(state: StewardState, {steward, askedAt: requestedAt}: SupportRenewal, now: MonotonicTime): boolean {
	return sameInstance(steward, state.self) && requestedAt >= (state.electedAt ?? Infinity) && requestedAt <= now;
}

/** Whether an instance is in the roster, or requested a lease before it was seated. */
export function isMemberOrNewcomer({members, newcomers}: StewardState, instance: InstanceIdentity): boolean {
	return includesInstance(members, instance) || includesInstance(newcomers, instance);
}

/**
 * Counts the support that a lease request renews. A renewal that was requested by
 * another incarnation of the steward or in an earlier tenure is ignored.
 */
export function withRenewal(state: StewardState, {instance, applied, supportRenewal}: LeaseRequest, now: MonotonicTime): StewardState {
	const isCounted = supportRenewal !== undefined
		&& requestsSupportWithLeases(state, now)
		&& isRequestedBy(state, supportRenewal, now)
		&& isMemberOrNewcomer(state, instance);
	if (!isCounted) {
		return state;
	}

	const until = supportRenewal.askedAt + holderTerm(state.terms.stewardTermMilliseconds, state.terms);
	return {...state, supportRecords: withSupport(state.supportRecords, instance, {until, acknowledged: applied})};
}

/** Returns when a supporter's renewal is overdue, so that the steward requests it in a separate call. */
export function renewalOverdueAt(record: SupportRecord | undefined, terms: LeaseTerms): MonotonicTime {
	if (record === undefined) {
		return -Infinity;
	}

	const askedAt = record.until - holderTerm(terms.stewardTermMilliseconds, terms);
	return askedAt + (2 * (terms.renewMilliseconds + terms.urgentMilliseconds));
}

/** Stores the request for support in a lease answer. Answers may arrive late, twice or out of order. */
export function leaseAnswered({answer: {steward, supportAskedAt}}: EventOf<'leaseAnswered'>, state: StewardState): StewardTransition {
	const {receivedSupportRequest: received} = state;
	const isNewer = supportAskedAt !== undefined
		&& (received === undefined || !sameInstance(received.steward, steward) || received.askedAt < supportAskedAt);
	return {
		state: isNewer ? {...state, receivedSupportRequest: {steward, askedAt: supportAskedAt, isAnswered: false}} : state,
		effects: [],
	};
}

/**
 * Renews the promise to the steward that the lease request goes to. Each request
 * for support is answered once, so that a promise to a lost steward isn't extended.
 */
export function leaseSent({now, to}: EventOf<'leaseSent'>, state: StewardState): StewardTransition {
	const {receivedSupportRequest: received, supporter, applied, terms} = state;
	const current = supportedCandidate(supporter, now);
	const isRequested = received !== undefined && !received.isAnswered && sameInstance(received.steward, to);
	if (!isRequested || current === undefined || !sameInstance(current, to)) {
		return {state, effects: []};
	}

	const query = {
		now, candidate: to, candidateApplied: applied, ownApplied: applied,
	};
	const {steward, askedAt} = received;
	return {
		state: {...state, supporter: decideSupport(supporter, query, terms).supporter, receivedSupportRequest: {...received, isAnswered: true}},
		effects: [{kind: 'renewSupport', renewal: {steward, askedAt}}],
	};
}
