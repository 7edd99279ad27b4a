/**
 * What an upstream's answer is held against, and what an attempt says about its upstream.
 */
import {Signal} from '@dogwooddeck/gateway/upstream-load';
import {Seen} from '@dogwooddeck/routing/outcome';
import {type AnswerHead, fieldOf} from '@dogwooddeck/upstream-client/headers';
import {type FieldNames} from './settings.js';

const firstSuccess = 200;
const firstRedirect = 300;
const firstServerFailure = 500;
const misdirected = 421;

const signalOfSeen: Readonly<Record<Seen, Signal>> = {
	[Seen.refusedConnection]: Signal.broken,
	[Seen.closedBeforeFirstByte]: Signal.broken,
	[Seen.closedAfterFirstByte]: Signal.broken,
	[Seen.shed]: Signal.full,
	[Seen.deadlinePassedBeforeFirstByte]: Signal.none,
	[Seen.deadlinePassedAfterFirstByte]: Signal.failed,
	[Seen.wholeAnswer]: Signal.answered,
	[Seen.cutAnswer]: Signal.failed,
	[Seen.foreignAnswer]: Signal.failed,
	[Seen.unboundedAnswer]: Signal.failed,
	[Seen.leaseLost]: Signal.none,
	[Seen.unsendable]: Signal.none,
	[Seen.cancelledBeforeFirstByte]: Signal.none,
	[Seen.cancelledAfterFirstByte]: Signal.none,
};

/** Whether an upstream says that it did not run the request. */
export function isNotRun(fields: FieldNames, {headers}: AnswerHead): boolean {
	return fieldOf(headers, fields.notRun) !== undefined;
}

/**
 * Whether an answer is not the upstream's answer to this request. It has to name
 * the request, which a refusal may leave out on a connection that had no request
 * before (`isFirst`): on others it may be an earlier one that is written again.
 * A success bears the upstream's stamp; none comes in a coding that the caller
 * didn't ask for.
 */
export function isForeign(fields: FieldNames, identifier: string | undefined, {status, head, isFirst}: {readonly status: number; readonly head: AnswerHead; readonly isFirst: boolean}): boolean {
	const echoed = fieldOf(head.headers, fields.requestIdentifier);
	const isSuccess = status >= firstSuccess && status < firstRedirect;
	const isOther = echoed === undefined ? !(isFirst && isNotRun(fields, head)) : echoed !== identifier;
	return isOther || (isSuccess && fieldOf(head.headers, fields.stamp) === undefined) || fieldOf(head.headers, 'content-encoding') !== undefined;
}

/** Whether an upstream refused a request because it is another one, or does not hold the key. */
export function isMisdirected(seen: Seen, status: number): boolean {
	return seen === Seen.shed && status === misdirected;
}

/** What an attempt says about its upstream. `answered` is the status of a whole answer. */
export function signalOf(seen: Seen, refusedWith: number, answered: number | undefined): Signal {
	if (isMisdirected(seen, refusedWith)) {
		return Signal.none;
	}

	return answered !== undefined && answered >= firstServerFailure ? Signal.failed : signalOfSeen[seen];
}
