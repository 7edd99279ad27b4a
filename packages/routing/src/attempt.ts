/**
 * State machine of one request: admission, attempts, retries after a backoff, and
 * the end by a complete response or a refusal. Reads no clock and no socket.
 */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {type RetryContract} from '@dogwooddeck/model/contract';
import {failure, FailureKind, type Failure} from '@dogwooddeck/model/failure';
import {type Milliseconds, type MonotonicTime} from '@dogwooddeck/model/identifiers';
import {Outcome} from '@dogwooddeck/model/outcome';
import {dispatch, type HandlerTable, type Transition} from '@dogwooddeck/model/transition';
import {
	mayRetry, AttemptObservation, observationRules, httpStatusOf,
} from './outcome.js';

export const RequestPhase = {
	/** Waits for the owner to be found and for a slot there. */
	admitting: 'admitting',
	/** An attempt is in flight. */
	sending: 'sending',
	/** Waits before the next admission. */
	pausing: 'pausing',
	/** The caller has its response, or is gone. */
	ended: 'ended',
} as const;

export type RequestPhase = (typeof RequestPhase)[keyof typeof RequestPhase];

/** The state of one request, from the time its head was read. */
export type RequestState = {
	readonly phase: RequestPhase;
	readonly idempotent: boolean;
	readonly deadline: MonotonicTime;
	readonly retry: RetryContract;
	/** Seed of the backoff jitter. */
	readonly seed: number;
	/** Attempts started, except those that were stopped by a lost lease before their first byte. */
	readonly attempts: number;
	/** Pauses started, including those for a missing owner or lease. */
	readonly pauses: number;
	/** Whether one of the attempts may have run. */
	readonly mayHaveRun: boolean;
};

/** An event of a request. `now` is monotonic. */
export type RequestEvent =
	| {readonly kind: 'admitted'; readonly now: MonotonicTime}
	/** There is no owner, no lease or no slot. Without an owner or a lease, the request waits for `retryAfterMilliseconds` at least and is admitted again. */
	| {readonly kind: 'refused'; readonly now: MonotonicTime; readonly failure: Failure}
	| {
		readonly kind: 'seen'; readonly now: MonotonicTime; readonly seen: AttemptObservation;
		/** Whether a byte of the response head was forwarded to the caller. */
		readonly headPassed: boolean;
		/** Whether the service's retry budget allows a retry. */
		readonly budgetAllows: boolean;
		/** The `Retry-After` of the upstream's response. */
		readonly retryAfterMilliseconds?: Milliseconds;
	}
	| {readonly kind: 'pause-over'; readonly now: MonotonicTime}
	| {readonly kind: 'deadline-passed'; readonly now: MonotonicTime}
	| {readonly kind: 'caller-gone'; readonly now: MonotonicTime};

/** An effect that the caller of `stepRequest` carries out. */
export type RequestEffect =
	/** Find the owner of the key and enter its queue. */
	| {readonly kind: 'admit'}
	/** Send the request. `retry`: charge the retry budget. */
	| {readonly kind: 'send'; readonly retry: boolean}
	/** Start a timer that raises `pause-over`. */
	| {readonly kind: 'pause'; readonly milliseconds: Milliseconds}
	/** Remove the request from the queue and cancel the attempt. */
	| {readonly kind: 'cancel'}
	/** The complete response was forwarded. */
	| {readonly kind: 'complete'}
	/** Close the caller's connection, since the response it received is truncated. */
	| {readonly kind: 'break'}
	/** Send the caller an error response. */
	| {readonly kind: 'refuse'; readonly status: number; readonly outcome: Outcome; readonly failure: Failure};

type Step = Transition<RequestState, RequestEffect>;

/** Creates the state of a request whose head was read, and starts its admission. */
export function beginRequest(options: Pick<RequestState, 'idempotent' | 'deadline' | 'retry' | 'seed'>): Step {
	const state: RequestState = {
		phase: RequestPhase.admitting,
		idempotent: options.idempotent,
		deadline: options.deadline,
		retry: options.retry,
		seed: options.seed,
		attempts: 0,
		pauses: 0,
		mayHaveRun: false,
	};
	return {state, effects: [{kind: 'admit'}]};
}

function endRequest(state: RequestState, effects: readonly RequestEffect[]): Step {
	return {state: {...state, phase: RequestPhase.ended}, effects};
}

function combinedOutcome(state: RequestState, outcome: Outcome): Outcome {
	return state.mayHaveRun && outcome === Outcome.notRun ? Outcome.unknown : outcome;
}

function refuseRequest(state: RequestState, why: Failure, outcome: Outcome, status = httpStatusOf(why.kind)): Step {
	return endRequest(state, [{
		kind: 'refuse', status, outcome: combinedOutcome(state, outcome), failure: why,
	}]);
}

/** The refusals after which a request waits, since the key may get an owner and a lease again before the deadline. */
const waitableFailures: ReadonlySet<FailureKind> = new Set([FailureKind.noOwner, FailureKind.noLease]);

/** Exponential backoff with full jitter: uniform between 0 and a bound that doubles with each pause. */
function backoff(state: RequestState): Milliseconds {
	const bound = state.retry.backoffMilliseconds * (2 ** state.pauses);
	return uniformFloat64(xoroshiro128plus(state.seed + state.pauses)) * bound;
}

/** Pauses for the backoff, but at least for `atLeast`. Returns undefined if the pause would not end before the deadline. */
function pauseBeforeRetry(state: RequestState, now: MonotonicTime, atLeast: Milliseconds): Step | undefined {
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
	const pause = retryAfterMilliseconds === undefined || !waitableFailures.has(kind) ? undefined : pauseBeforeRetry(state, event.now, retryAfterMilliseconds);
	return pause ?? refuseRequest(state, event.failure, Outcome.notRun);
}

function refuseByRule(state: RequestState, event: Extract<RequestEvent, {kind: 'seen'}>): Step {
	const rule = observationRules[event.seen];
	const details = event.retryAfterMilliseconds === undefined ? {} : {retryAfterMilliseconds: event.retryAfterMilliseconds};
	return refuseRequest(state, failure(rule.kind, rule.detail, details), rule.outcome, rule.status);
}

function whenSeen(event: Extract<RequestEvent, {kind: 'seen'}>, before: RequestState): Step {
	if (before.phase !== RequestPhase.sending) {
		return {state: before, effects: []};
	}

	if (event.seen === AttemptObservation.wholeAnswer) {
		return endRequest(before, [{kind: 'complete'}]);
	}

	const state = {...before, mayHaveRun: before.mayHaveRun || observationRules[event.seen].outcome !== Outcome.notRun};
	if (event.headPassed) {
		return endRequest(state, [{kind: 'break'}]);
	}

	if (event.seen === AttemptObservation.leaseLost) {
		const uncounted = {...state, attempts: state.attempts - 1};
		return pauseBeforeRetry(uncounted, event.now, 0) ?? refuseByRule(uncounted, event);
	}

	const isRetryAllowed = event.budgetAllows && state.attempts < state.retry.attempts && mayRetry(event.seen, state.idempotent);
	const pause = isRetryAllowed ? pauseBeforeRetry(state, event.now, event.retryAfterMilliseconds ?? 0) : undefined;
	return pause ?? refuseByRule(state, event);
}

function whenPauseOver(_event: RequestEvent, state: RequestState): Step {
	if (state.phase !== RequestPhase.pausing) {
		return {state, effects: []};
	}

	return {state: {...state, phase: RequestPhase.admitting}, effects: [{kind: 'admit'}]};
}

/** An attempt in flight is ended by its own deadline, so that the outcome is taken from what was observed of it. */
function whenDeadlinePassed(_event: RequestEvent, state: RequestState): Step {
	if (state.phase === RequestPhase.sending || state.phase === RequestPhase.ended) {
		return {state, effects: []};
	}

	const step = refuseRequest(state, failure(FailureKind.deadlineExceeded, 'the deadline passed before the request was sent'), Outcome.notRun);
	return {state: step.state, effects: [{kind: 'cancel'}, ...step.effects]};
}

function whenCallerGone(_event: RequestEvent, state: RequestState): Step {
	return state.phase === RequestPhase.ended ? {state, effects: []} : endRequest(state, [{kind: 'cancel'}]);
}

const handlers: HandlerTable<RequestEvent, [RequestState], Step> = {
	admitted: (_event, state) => whenAdmitted(state),
	refused: whenRefused,
	seen: whenSeen,
	'pause-over': whenPauseOver,
	'deadline-passed': whenDeadlinePassed,
	'caller-gone': whenCallerGone,
};

/** Returns the next state of a request and the effects to carry out. Ignores events that arrive in a later phase. */
export function stepRequest(state: RequestState, event: RequestEvent): Step {
	return dispatch(handlers, event, state);
}
