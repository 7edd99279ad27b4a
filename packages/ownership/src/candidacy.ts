/**
 * Event handlers for steward elections: how an instance supports candidates, runs
 * as a candidate itself and renews the support that it has received.
 */
import {
	type InstanceIdentity, incarnationKey, type Milliseconds, type MonotonicTime, sameInstance,
} from '@dogwooddeck/model/identifiers';
import {type SupportAnswer} from '@dogwooddeck/model/lease';
import {type InstanceRecord} from '@dogwooddeck/model/registry';
import {requestDelegation} from './leasing.js';
import {renewalOverdueAt} from './renewal.js';
import {longestDeadlineOf} from './state.js';
import {
	type StewardEffect, type StewardEvent, type StewardState, type StewardTransition,
} from './steward-state.js';
import {
	freeToSupportFrom, decideSupport, supportedCandidate, withdrawSelfSupport, withSupport,
} from './support.js';
import {
	startTenureIfElected, isSeated, isSteward, endExpiredTenure,
} from './tenure.js';
import {holderTerm} from './terms.js';

type EventOf<Kind extends StewardEvent['kind']> = Extract<StewardEvent, {readonly kind: Kind}>;

/** The number of distinct candidacy delays. In a larger roster, members share a delay and may run at the same time. */
const distinctDelays = 16;

function identityOf(state: StewardState): InstanceIdentity {
	return {name: state.self.name, incarnation: state.self.incarnation};
}

/** Returns how long the instance delays its candidacy, by its rank among the members, so that members don't run at the same time. */
function candidacyDelay(state: StewardState): Milliseconds {
	const names = state.members.map(member => member.name).sort();
	return (names.indexOf(state.self.name) % distinctDelays) * 2 * state.terms.urgentMilliseconds;
}

function withOwnSupport(state: StewardState, now: MonotonicTime): StewardState {
	const query = {
		now, candidate: state.self, candidateApplied: state.applied, ownApplied: state.applied,
	};
	const {supporter, granted} = decideSupport(state.supporter, query, state.terms);
	if (!granted) {
		return state;
	}

	const until = now + holderTerm(state.terms.stewardTermMilliseconds, state.terms);
	return {...state, supporter, supportRecords: withSupport(state.supportRecords, state.self, {until, acknowledged: state.applied})};
}

/** Returns the other instances whose support a steward requests. */
function supportTargets(state: StewardState): readonly InstanceRecord[] {
	return [...state.members, ...state.newcomers].filter(member => member.name !== state.self.name);
}

function overdueAt(state: StewardState, other: InstanceRecord): MonotonicTime {
	return renewalOverdueAt(state.supportRecords[incarnationKey(other)], state.terms);
}

/** Returns when the next renewal becomes overdue that wasn't overdue in the last round of requests. */
function nextOverdueAt(state: StewardState): MonotonicTime {
	return Math.min(...supportTargets(state).map(other => overdueAt(state, other)).filter(time => time > state.supportRequestedAt));
}

function supportRequests(state: StewardState, now: MonotonicTime): readonly StewardEffect[] {
	const request = {zone: state.self.zone, candidate: identityOf(state), applied: state.applied};
	const targets = isSteward(state, now)
		? supportTargets(state).filter(other => overdueAt(state, other) <= now)
		: state.members.filter(member => member.name !== state.self.name);
	return targets.map(to => ({
		kind: 'askSupport', to, sentAt: now, request,
	}));
}

function requestSupport(state: StewardState, now: MonotonicTime): StewardTransition {
	const next = startTenureIfElected(withOwnSupport({...state, supportRequestedAt: now}, now), now);
	return {state: next, effects: supportRequests(next, now)};
}

/** Ends a candidacy that found no majority, and backs off so that others can run. */
function withdrawCandidacy(state: StewardState, now: MonotonicTime): StewardState {
	const {candidateSince: _candidateSince, ...rest} = state;
	return {
		...rest,
		supporter: withdrawSelfSupport(state.supporter),
		supportRecords: {},
		candidacyNotBefore: now + state.terms.renewMilliseconds,
	};
}

/** Returns when the instance next starts, renews or ends a candidacy, if no event occurs before. Infinity while it has no seat. */
export function candidacyDueAt(state: StewardState): MonotonicTime {
	if (state.candidateSince === undefined) {
		return isSeated(state) ? Math.max(freeToSupportFrom(state.supporter), state.candidacyNotBefore) + candidacyDelay(state) : Infinity;
	}

	const renewal = state.supportRequestedAt + state.terms.renewMilliseconds;
	return state.electedAt === undefined
		? Math.min(Math.max(renewal, state.candidacyNotBefore), withdrawalAt(state))
		: Math.max(Math.min(renewal, nextOverdueAt(state)), state.candidacyNotBefore);
}

function withdrawalAt({candidateSince = Infinity, terms}: StewardState): MonotonicTime {
	return candidateSince + (2 * terms.renewMilliseconds);
}

function advanceCandidacy(state: StewardState, now: MonotonicTime): StewardTransition {
	if (now < candidacyDueAt(state)) {
		return {state, effects: []};
	}

	if (state.candidateSince === undefined) {
		return requestSupport({...state, candidateSince: now}, now);
	}

	return state.electedAt === undefined && now >= withdrawalAt(state)
		? {state: withdrawCandidacy(state, now), effects: []}
		: requestSupport(state, now);
}

/** Starts, renews or ends a candidacy and requests the delegation, each when it is due. */
export function ticked(event: EventOf<'ticked'>, before: StewardState): StewardTransition {
	const candidacy = advanceCandidacy(endExpiredTenure(before, event.now), event.now);
	const delegation = requestDelegation(candidacy.state, event.now);
	return {state: delegation.state, effects: [...candidacy.effects, ...delegation.effects]};
}

/** Adopts the roster and the deadlines of a newer table. */
export function tableChanged(event: EventOf<'tableChanged'>, before: StewardState): StewardTransition {
	const state = endExpiredTenure(before, event.now);
	if (event.applied <= state.applied) {
		return {state, effects: []};
	}

	const members = event.table.rosters[state.self.zone]?.members ?? [];
	const changed = {
		...state,
		applied: event.applied,
		members,
		newcomers: state.newcomers.filter(newcomer => !members.some(member => member.name === newcomer.name)),
		longestDeadlineMilliseconds: longestDeadlineOf(event.table),
	};
	return {state: endExpiredTenure(changed, event.now), effects: []};
}

/** Answers a candidate's request for support. */
export function supportRequested(event: EventOf<'supportRequested'>, before: StewardState): StewardTransition {
	const state = endExpiredTenure(before, event.now);
	const {now, request} = event;
	const query = {
		now, candidate: request.candidate, candidateApplied: request.applied, ownApplied: state.applied,
	};
	const isOwnZone = request.zone === state.self.zone;
	const {supporter, granted} = isOwnZone ? decideSupport(state.supporter, query, state.terms) : {supporter: state.supporter, granted: false};
	const supported = supportedCandidate(supporter, now);
	const answer: SupportAnswer = {
		granted, supporter: identityOf(state), applied: state.applied, ...(supported !== undefined && {supported}),
	};
	return {state: {...state, supporter}, effects: [{kind: 'answerSupport', answer}]};
}

function afterRefusal(state: StewardState, answer: SupportAnswer, now: MonotonicTime): StewardState {
	const supportsOther = answer.supported !== undefined && !sameInstance(answer.supported, state.self);
	const isBehind = answer.applied > state.applied;
	return state.electedAt === undefined && (supportsOther || isBehind) ? withdrawCandidacy(state, now) : state;
}

/** Counts an answer to a request for support, unless it belongs to an earlier candidacy. */
export function supportAnswered(event: EventOf<'supportAnswered'>, before: StewardState): StewardTransition {
	const state = endExpiredTenure(before, event.now);
	const {now, sentAt, answer} = event;
	if (state.candidateSince === undefined || sentAt < state.candidateSince) {
		return {state, effects: []};
	}

	if (!answer.granted) {
		return {state: afterRefusal(state, answer, now), effects: []};
	}

	const until = sentAt + holderTerm(state.terms.stewardTermMilliseconds, state.terms);
	const records = withSupport(state.supportRecords, answer.supporter, {until, acknowledged: answer.applied});
	return {state: startTenureIfElected({...state, supportRecords: records}, now), effects: []};
}

/** Stops starting candidacies and renewing support. A current tenure ends when its support expires. */
export function resigned(event: EventOf<'resigned'>, before: StewardState): StewardTransition {
	const state = endExpiredTenure(before, event.now);
	return {state: {...state, candidacyNotBefore: Infinity}, effects: []};
}
