/**
 * What is decided after each attempt to send a request: whether another server
 * is tried, and what is known about the outcome at the end.
 */
import {failure, FailureKind, type Failure} from '@dogwooddeck/model/failure';
import {err, type Result} from 'true-myth/result';

/** What came of sending a request to one server. */
export const AttemptKind = {
	/** A whole answer. */
	answered: 'answered',
	/** The request never reached the server. */
	notSent: 'not-sent',
	/** The request may have reached the server, and no whole answer came. */
	lost: 'lost',
} as const;

/** One attempt. */
export type Attempt =
	| {readonly kind: typeof AttemptKind.answered; readonly answer: Result<unknown, Failure>}
	| {readonly kind: typeof AttemptKind.notSent | typeof AttemptKind.lost; readonly failure: Failure};

/** After these another server may do better. */
const worthAnotherServer: ReadonlySet<FailureKind> = new Set<FailureKind>([
	FailureKind.noQuorum,
	FailureKind.notLeader,
	FailureKind.notReady,
	FailureKind.outcomeUnknown,
	FailureKind.overloaded,
	FailureKind.superseded,
	FailureKind.deadlineExceeded,
	FailureKind.unreachable,
	FailureKind.internal,
]);

/** Whether an attempt settles the request, so that no other server is tried. */
export function settles(attempt: Attempt): boolean {
	return attempt.kind === AttemptKind.answered && (attempt.answer.isOk || !worthAnotherServer.has(attempt.answer.error.kind));
}

/** After these the server may have accepted the change. */
const maybeAccepted: ReadonlySet<FailureKind> = new Set<FailureKind>([
	FailureKind.outcomeUnknown, FailureKind.internal, FailureKind.deadlineExceeded,
]);

function leavesDoubt(attempt: Attempt): boolean {
	return attempt.kind === AttemptKind.lost
		|| (attempt.kind === AttemptKind.answered && attempt.answer.isErr && maybeAccepted.has(attempt.answer.error.kind));
}

function failureOf(attempt: Attempt): Failure {
	if (attempt.kind !== AttemptKind.answered) {
		return attempt.failure;
	}

	return attempt.answer.isErr ? attempt.answer.error : failure(FailureKind.internal, 'the attempt has no failure');
}

/**
 * The result after the last attempt. A write that any server may have accepted
 * has an unknown outcome, unless a later attempt settled it: the same operation
 * gets the same answer everywhere.
 */
export function conclude(attempts: readonly Attempt[], isWrite: boolean): Result<unknown, Failure> {
	const last = attempts.at(-1);
	if (last === undefined) {
		return err(failure(FailureKind.unreachable, 'no server was tried'));
	}

	if (last.kind === AttemptKind.answered && settles(last)) {
		return last.answer;
	}

	const reason = failureOf(last);
	return isWrite && attempts.some(attempt => leavesDoubt(attempt))
		? err(failure(FailureKind.outcomeUnknown, `whether the change was accepted isn't known: ${reason.detail}`))
		: err(reason);
}
