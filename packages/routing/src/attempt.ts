/**
 * The life of one request: it is admitted, sent, and either answered, sent
 * again after a pause, or refused. Nothing here reads a clock or a socket.
 */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {type RetryContract} from '@dogwooddeck/model/contract';
import {failure, FailureKind, type Failure} from '@dogwooddeck/model/failure';
import {type Milliseconds, type MonotonicTime} from '@dogwooddeck/model/identifiers';
import {Outcome} from '@dogwooddeck/model/outcome';
import {dispatch, type HandlerTable, type Transition} from '@dogwooddeck/model/transition';
import {
	maySendAgain, AttemptObservation, observationRules, statusOf,
} from './outcome.js';

/** Where a request is. */
export const RequestPhase = {
	/** It waits for a slot of the owner. */
	admitting: 'admitting',
	/** An attempt is under way. */
	sending: 'sending',
	/** It waits before it is tried again. */
	pausing: 'pausing',
	/** The caller has what it will get. */
	ended: 'ended',
} as const;

/** One of the phases of a request. */
export type RequestPhase = (typeof RequestPhase)[keyof typeof RequestPhase];

/** One request, from its head to its end. */
export type RequestState = {
	readonly phase: RequestPhase;
	readonly idempotent: boolean;
	readonly deadline: MonotonicTime;
	readonly retry: RetryContract;
	/** Seeds the jitter. */
	readonly seed: number;
	/** Attempts that were begun, but for those that the lease ended before their first byte. */
	readonly attempts: number;
	/** Pauses that were begun, for want of an owner too. */
	readonly pauses: number;
	/** Whether one of the attempts may have run. */
	readonly mayHaveRun: boolean;
};

/** What happens to a request. `now` is monotonic. */
export type RequestEvent =
	| {readonly kind: 'admitted'; readonly now: MonotonicTime}
	/** There is no owner, no lease or no slot. For want of an owner or a lease it waits for `retryAfterMilliseconds` and comes again. */
	| {readonly kind: 'refused'; readonly now: MonotonicTime; readonly failure: Failure}
	| {
		readonly kind: 'seen'; readonly now: MonotonicTime; readonly seen: AttemptObservation;
		/** Whether a byte of the answer's head was passed to the caller. */
		readonly headPassed: boolean;
		/** Whether the service's budget allows a retry. */
		readonly budgetAllows: boolean;
		/** What the upstream asked for. */
		readonly retryAfterMilliseconds?: Milliseconds;
	}
	| {readonly kind: 'pause-over'; readonly now: MonotonicTime}
	| {readonly kind: 'deadline-passed'; readonly now: MonotonicTime}
	| {readonly kind: 'caller-gone'; readonly now: MonotonicTime};

/** What the edge does. */
export type RequestEffect =
	/** Find the owner and enter its queue. */
	| {readonly kind: 'admit'}
	/** Send the request. `retry`: draw it from the budget. */
	| {readonly kind: 'send'; readonly retry: boolean}
	/** Come again after the pause. */
	| {readonly kind: 'pause'; readonly milliseconds: Milliseconds}
	/** Take the request out of the queue and cancel the attempt. */
	| {readonly kind: 'cancel'}
	/** The answer was passed on whole. */
	| {readonly kind: 'complete'}
	/** Break the caller's connection: what it has of the answer is not whole. */
	| {readonly kind: 'break'}
	/** Tell the caller why there is no answer. */
	| {readonly kind: 'refuse'; readonly status: number; readonly outcome: Outcome; readonly failure: Failure};

type Step = Transition<RequestState, RequestEffect>;

/** Begins a request whose head was read. */
export function beginRequest(input: Pick<RequestState, 'idempotent' | 'deadline' | 'retry' | 'seed'>): Step {
	const state: RequestState = {
		phase: RequestPhase.admitting,
		idempotent: input.idempotent,
		deadline: input.deadline,
		retry: input.retry,
		seed: input.seed,
		attempts: 0,
		pauses: 0,
		mayHaveRun: false,
	};
	return {state, effects: [{kind: 'admit'}]};
}

function ended(state: RequestState, effects: readonly RequestEffect[]): Step {
	return {state: {...state, phase: RequestPhase.ended}, effects};
}

function outcomeOf(state: RequestState, outcome: Outcome): Outcome {
	return state.mayHaveRun && outcome === Outcome.notRun ? Outcome.unknown : outcome;
}

function refused(state: RequestState, why: Failure, outcome: Outcome, status = statusOf(why.kind)): Step {
	return ended(state, [{
		kind: 'refuse', status, outcome: outcomeOf(state, outcome), failure: why,
	}]);
}

/** What a request waits for: the owner of its key may come back within the deadline. */
const awaited: ReadonlySet<FailureKind> = new Set([FailureKind.noOwner, FailureKind.noLease]);

/** Full jitter: any pause up to a bound that doubles with each. */
function backoff(state: RequestState): Milliseconds {
	const bound = state.retry.backoffMilliseconds * (2 ** state.pauses);
	return uniformFloat64(xoroshiro128plus(state.seed + state.pauses)) * bound;
}

/** Pauses for the backoff, but at least as long as was asked for. Nothing where that ends past the deadline. */
function paused(state: RequestState, now: MonotonicTime, atLeast: Milliseconds): Step | undefined {
	const milliseconds = Math.max(atLeast, backoff(state));
	if (now + milliseconds >= state.deadline) {
		return undefined;
	}

	return {state: {...state, phase: RequestPhase.pausing, pauses: state.pauses + 1}, effects: [{kind: 'pause', milliseconds}]};
}

function whenAdmitted(state: RequestState): Step {
	if (state.phase !== RequestPhase.admitting) {
		return {state, effects: []};
	}

	return {
		state: {...state, phase: RequestPhase.sending, attempts: state.attempts + 1},
		effects: [{kind: 'send', retry: state.attempts > 0}],
	};
}

function whenRefused(event: Extract<RequestEvent, {kind: 'refused'}>, state: RequestState): Step {
	if (state.phase !== RequestPhase.admitting) {
		return {state, effects: []};
	}

	const {kind, retryAfterMilliseconds} = event.failure;
	const pause = retryAfterMilliseconds === undefined || !awaited.has(kind) ? undefined : paused(state, event.now, retryAfterMilliseconds);
	return pause ?? refused(state, event.failure, Outcome.notRun);
}

function tellsWhy(state: RequestState, event: Extract<RequestEvent, {kind: 'seen'}>): Step {
	const rule = observationRules[event.seen];
	const more = event.retryAfterMilliseconds === undefined ? {} : {retryAfterMilliseconds: event.retryAfterMilliseconds};
	return refused(state, failure(rule.kind, rule.detail, more), rule.outcome, rule.status);
}

function whenSeen(event: Extract<RequestEvent, {kind: 'seen'}>, before: RequestState): Step {
	if (before.phase !== RequestPhase.sending) {
		return {state: before, effects: []};
	}

	if (event.seen === AttemptObservation.wholeAnswer) {
		return ended(before, [{kind: 'complete'}]);
	}

	const state = {...before, mayHaveRun: before.mayHaveRun || observationRules[event.seen].outcome !== Outcome.notRun};
	if (event.headPassed) {
		return ended(state, [{kind: 'break'}]);
	}

	if (event.seen === AttemptObservation.leaseLost) {
		const located = {...state, attempts: state.attempts - 1};
		return paused(located, event.now, 0) ?? tellsWhy(located, event);
	}

	const again = event.budgetAllows && state.attempts < state.retry.attempts && maySendAgain(event.seen, state.idempotent);
	const pause = again ? paused(state, event.now, event.retryAfterMilliseconds ?? 0) : undefined;
	return pause ?? tellsWhy(state, event);
}

function whenPauseOver(_event: RequestEvent, state: RequestState): Step {
	if (state.phase !== RequestPhase.pausing) {
		return {state, effects: []};
	}

	return {state: {...state, phase: RequestPhase.admitting}, effects: [{kind: 'admit'}]};
}

/** While an attempt is under way its own deadline ends it, so that what was seen is told. */
function whenDeadlinePassed(_event: RequestEvent, state: RequestState): Step {
	if (state.phase === RequestPhase.sending || state.phase === RequestPhase.ended) {
		return {state, effects: []};
	}

	const step = refused(state, failure(FailureKind.deadlineExceeded, 'the deadline passed before the request was sent'), Outcome.notRun);
	return {state: step.state, effects: [{kind: 'cancel'}, ...step.effects]};
}

function whenCallerGone(_event: RequestEvent, state: RequestState): Step {
	return state.phase === RequestPhase.ended ? {state, effects: []} : ended(state, [{kind: 'cancel'}]);
}

const handlers: HandlerTable<RequestEvent, [RequestState], Step> = {
	admitted: (_event, state) => whenAdmitted(state),
	refused: whenRefused,
	seen: whenSeen,
	'pause-over': whenPauseOver,
	'deadline-passed': whenDeadlinePassed,
	'caller-gone': whenCallerGone,
};

/** The next state of a request and what the edge does. Events that come too late change nothing. */
export function stepRequest(state: RequestState, event: RequestEvent): Step {
	return dispatch(handlers, event, state);
}
