/**
 * Event handlers of a steward for the leases that it grants to the zone's
 * instances and for the zone's delegation, which it requests from control.
 */
import {
	incarnationKey, type LogIndex, type Milliseconds, type MonotonicTime,
} from '@dogwooddeck/model/identifiers';
import {emptyReport, type LeaseAnswer, type LeaseRequest} from '@dogwooddeck/model/lease';
import {countedHolders, withHolder} from './holders.js';
import {requestsSupportWithLeases, isMemberOrNewcomer, withRenewal} from './renewal.js';
import {type StewardEvent, type StewardState, type StewardTransition} from './steward-state.js';
import {withSupport} from './support.js';
import {
	isSteward, endExpiredTenure, supportEndsAt, zoneDrained,
} from './tenure.js';
import {holderTerm} from './terms.js';

type EventOf<Kind extends StewardEvent['kind']> = Extract<StewardEvent, {readonly kind: Kind}>;

function remaining(until: MonotonicTime, now: MonotonicTime, limit: Milliseconds): Milliseconds {
	return Math.max(0, Math.min(limit, until - now));
}

/** Whether an instance may have a lease. Its table must not be older than the index that the zone last reported as drained. */
function mayHaveLease(state: StewardState, request: LeaseRequest, now: MonotonicTime): boolean {
	return isSteward(state, now)
		&& request.instance.zone === state.self.zone
		&& request.applied >= Math.max(state.minimumApplied, state.reportedDrained);
}

function createLeaseAnswer(state: StewardState, now: MonotonicTime, milliseconds: {readonly hold: Milliseconds; readonly control: Milliseconds}): LeaseAnswer {
	return {
		steward: {name: state.self.name, incarnation: state.self.incarnation},
		holdMilliseconds: milliseconds.hold,
		controlMilliseconds: milliseconds.control,
		shares: [],
		...(requestsSupportWithLeases(state, now) && {supportAskedAt: now}),
	};
}

/** Records what a lease request carries about its sender: its renewed support, its acknowledgement and its presence. */
function withRequest(state: StewardState, request: LeaseRequest, now: MonotonicTime): StewardState {
	return withNewcomer(withAcknowledgement(withRenewal(state, request, now), request, now), request);
}

/** Records a supporter's applied index as an acknowledgement while it supports this steward. */
function withAcknowledgement(state: StewardState, request: LeaseRequest, now: MonotonicTime): StewardState {
	const record = state.supportRecords[incarnationKey(request.instance)];
	if (record === undefined || now >= record.until) {
		return state;
	}

	const acknowledged = request.applied;
	return {...state, supportRecords: withSupport(state.supportRecords, request.instance, {until: record.until, acknowledged})};
}

/** The largest number of newcomers that are recorded. */
const maximumNewcomers = 9;

function withNewcomer(state: StewardState, {instance}: LeaseRequest): StewardState {
	if (isMemberOrNewcomer(state, instance) || instance.zone !== state.self.zone) {
		return state;
	}

	const others = state.newcomers.filter(newcomer => newcomer.name !== instance.name);
	return {...state, newcomers: [...others, instance].slice(-maximumNewcomers)};
}

/** Answers a lease request, with a lease of 0 ms if it is refused. */
export function leaseRequested(event: EventOf<'leaseRequested'>, before: StewardState): StewardTransition {
	const {now, request} = event;
	const state = withRequest(endExpiredTenure(before, now), request, now);
	if (!mayHaveLease(state, request, now)) {
		return {state, effects: [{kind: 'answerLease', answer: createLeaseAnswer(state, now, {hold: 0, control: 0})}]};
	}

	const hold = remaining(supportEndsAt(state), now, state.terms.leaseMilliseconds);
	const control = remaining(state.delegatedUntil, now, hold);
	const granted = {
		now, instance: request.instance, drained: Math.min(request.drained, request.applied), milliseconds: hold,
	};
	const counted = countedHolders(state.holders, now, state.longestDeadlineMilliseconds, state.terms);
	const holders = withHolder(counted, granted, state.terms);
	return {state: {...state, holders}, effects: [{kind: 'answerLease', answer: createLeaseAnswer(state, now, {hold, control})}]};
}

function drainedNow(state: StewardState, now: MonotonicTime): LogIndex {
	return Math.max(state.reportedDrained, zoneDrained(state, now));
}

/** Returns when a steward next requests the delegation from control, if no event occurs before. */
export function delegationDueAt(state: StewardState, now: MonotonicTime): MonotonicTime {
	const {delegationRequestedAt, terms} = state;
	const [renewal, urgent] = [delegationRequestedAt + terms.renewMilliseconds, delegationRequestedAt + terms.urgentMilliseconds];
	if (drainedNow(state, now) > state.reportedDrained) {
		return urgent;
	}

	return state.applied > state.reportedApplied ? Math.min(renewal, Math.max(urgent, state.delegatedUntil)) : renewal;
}

/** Requests the delegation from control if that is due. */
export function requestDelegation(state: StewardState, now: MonotonicTime): StewardTransition {
	if (!isSteward(state, now) || now < delegationDueAt(state, now)) {
		return {state, effects: []};
	}

	const drained = drainedNow(state, now);
	const request = {
		zone: state.self.zone,
		steward: {name: state.self.name, incarnation: state.self.incarnation},
		applied: state.applied,
		drained,
		report: emptyReport,
	};
	const next = {
		...state, delegationRequestedAt: now, reportedDrained: drained, reportedApplied: state.applied,
	};
	return {state: next, effects: [{kind: 'askDelegation', sentAt: now, request}]};
}

/**
 * Applies a delegation. If the previous one has lapsed, control may have granted
 * slots to other owners in the meantime, so an instance gets a lease only once it
 * has applied what the steward had applied when it sent the request.
 */
export function delegationAnswered(event: EventOf<'delegationAnswered'>, before: StewardState): StewardTransition {
	const {now, sentAt, answer} = event;
	const state = endExpiredTenure(before, now);
	if (state.electedAt === undefined || sentAt < state.electedAt || answer.termMilliseconds <= 0) {
		return {state, effects: []};
	}

	const hasLapsed = now >= state.delegatedUntil;
	const minimumApplied = hasLapsed ? Math.max(state.minimumApplied, event.applied) : state.minimumApplied;
	const until = sentAt + holderTerm(answer.termMilliseconds, state.terms);
	return {state: {...state, minimumApplied, delegatedUntil: Math.max(state.delegatedUntil, until)}, effects: []};
}
