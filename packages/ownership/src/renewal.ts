/**
 * Renewal of support with the lease exchange. A steward's lease answer asks for
 * support and carries the time of the answer on the steward's own clock. The
 * next lease request to the same steward sends that time back, and with it the
 * instance's promise for one more term, made when the request is sent. The
 * steward counts the support from that time, which is before the promise.
 */
import {
	includesInstance, type InstanceIdentity, type MonotonicTime, sameInstance,
} from '@dogwooddeck/model/identifiers';
import {type LeaseRequest, type SupportRenewal} from '@dogwooddeck/model/lease';
import {type StewardEvent, type StewardState, type StewardTransition} from './steward-state.js';
import {
	support, supportedNow, type SupportRecord, withSupport,
} from './support.js';
import {isSteward} from './tenure.js';
import {holderTerm, type LeaseTerms} from './terms.js';

type EventOf<Kind extends StewardEvent['kind']> = Extract<StewardEvent, {readonly kind: Kind}>;

/** Whether a steward asks for support with its lease answers. One that resigned doesn't. */
export function asksWithLeases(state: StewardState, now: MonotonicTime): boolean {
	return isSteward(state, now) && now >= state.standsFrom;
}

function isAskedBy(state: StewardState, {steward, askedAt}: SupportRenewal, now: MonotonicTime): boolean {
	return sameInstance(steward, state.self) && askedAt >= (state.electedAt ?? Infinity) && askedAt <= now;
}

/** Whether an instance belongs to the roster, or asked for a lease before it got its seat. */
export function isKnown({members, newcomers}: StewardState, instance: InstanceIdentity): boolean {
	return includesInstance(members, instance) || includesInstance(newcomers, instance);
}

/**
 * Counts the support that a lease request renews. One that another life of the
 * steward asked for, or an earlier tenure of it, counts for nothing.
 */
export function withRenewal(state: StewardState, {instance, applied, supportRenewal}: LeaseRequest, now: MonotonicTime): StewardState {
	const counts = supportRenewal !== undefined
		&& asksWithLeases(state, now)
		&& isAskedBy(state, supportRenewal, now)
		&& isKnown(state, instance);
	if (!counts) {
		return state;
	}

	const until = supportRenewal.askedAt + holderTerm(state.terms.stewardTermMilliseconds, state.terms);
	return {...state, records: withSupport(state.records, instance, {until, acknowledged: applied})};
}

/** When a steward that had no renewal from a supporter since asks for it by a call of its own. */
export function renewalLateAt(record: SupportRecord | undefined, terms: LeaseTerms): MonotonicTime {
	if (record === undefined) {
		return -Infinity;
	}

	const askedAt = record.until - holderTerm(terms.stewardTermMilliseconds, terms);
	return askedAt + (2 * (terms.renewMilliseconds + terms.urgentMilliseconds));
}

/** Keeps the request for support in a lease answer. Answers may come late, twice or out of order. */
export function leaseAnswered({answer: {steward, supportAskedAt}}: EventOf<'leaseAnswered'>, state: StewardState): StewardTransition {
	const {askedSupport} = state;
	const isNews = supportAskedAt !== undefined
		&& (askedSupport === undefined || !sameInstance(askedSupport.steward, steward) || askedSupport.askedAt < supportAskedAt);
	return {
		state: isNews ? {...state, askedSupport: {steward, askedAt: supportAskedAt, isAnswered: false}} : state,
		effects: [],
	};
}

/**
 * Renews the promise to the steward that is asked for a lease. Each request for
 * support is answered once, so that nothing prolongs a promise to a lost steward.
 */
export function leaseSent({now, to}: EventOf<'leaseSent'>, state: StewardState): StewardTransition {
	const {askedSupport, supporter, applied, terms} = state;
	const current = supportedNow(supporter, now);
	const isAsked = askedSupport !== undefined && !askedSupport.isAnswered && sameInstance(askedSupport.steward, to);
	if (!isAsked || current === undefined || !sameInstance(current, to)) {
		return {state, effects: []};
	}

	const question = {
		now, candidate: to, candidateApplied: applied, ownApplied: applied,
	};
	const {steward, askedAt} = askedSupport;
	return {
		state: {...state, supporter: support(supporter, question, terms).supporter, askedSupport: {...askedSupport, isAnswered: true}},
		effects: [{kind: 'renewSupport', renewal: {steward, askedAt}}],
	};
}
