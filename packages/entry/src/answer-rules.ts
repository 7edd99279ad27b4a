/**
 * Classifies the answers of upstreams, and derives from each attempt the signal for its upstream's load control.
 */
import {type LoadFigures} from '@dogwooddeck/gateway/told-load';
import {Signal} from '@dogwooddeck/gateway/upstream-load';
import {type Notice} from '@dogwooddeck/gateway/upstream-notice';
import {AttemptObservation} from '@dogwooddeck/routing/outcome';
import {type AnswerHead, fieldOf, retryAfterMilliseconds} from '@dogwooddeck/upstream-client/headers';
import {type FieldNames} from './settings.js';

const firstSuccess = 200;
const firstRedirect = 300;
const firstServerFailure = 500;
const misdirected = 421;
const unavailable = 503;
const isLeaving = '1';

/** Requests running, waiting, slots, and optionally the time that work takes in percent of the usual. */
const loadPattern = /^(?<running>\d{1,6}),(?<waiting>\d{1,6}),(?<slots>[1-9]\d{0,5})(?:,(?<percent>[1-9]\d{0,4}))?$/v;
const wholePercent = 100;
const spaces = /[ \t]/gv;

const signalOfObservation: Readonly<Record<AttemptObservation, Signal>> = {
	[AttemptObservation.refusedConnection]: Signal.broken,
	[AttemptObservation.closedBeforeFirstByte]: Signal.broken,
	[AttemptObservation.closedAfterFirstByte]: Signal.broken,
	[AttemptObservation.shed]: Signal.full,
	[AttemptObservation.deadlinePassedBeforeFirstByte]: Signal.none,
	[AttemptObservation.deadlinePassedAfterFirstByte]: Signal.silent,
	[AttemptObservation.wholeAnswer]: Signal.answered,
	[AttemptObservation.cutAnswer]: Signal.failed,
	[AttemptObservation.foreignAnswer]: Signal.failed,
	[AttemptObservation.unboundedAnswer]: Signal.failed,
	[AttemptObservation.leaseLost]: Signal.none,
	[AttemptObservation.unsendable]: Signal.none,
	[AttemptObservation.cancelledBeforeFirstByte]: Signal.none,
	[AttemptObservation.cancelledAfterFirstByte]: Signal.none,
};

/** Whether an answer states that the upstream did not run the request. */
export function isNotRun(fields: FieldNames, {headers}: AnswerHead): boolean {
	return fieldOf(headers, fields.notRun) !== undefined;
}

/**
 * Whether an answer is not the upstream's answer to this request. An answer must echo
 * the request's identifier. Only a refusal to the first request on a connection
 * (`isFirst`) may omit it: on others it may be a repeated earlier refusal. A success
 * must have the upstream's stamp. An answer with a content coding counts as foreign,
 * as the caller did not ask for one.
 */
export function isForeign(fields: FieldNames, identifier: string | undefined, {status, head, isFirst}: {readonly status: number; readonly head: AnswerHead; readonly isFirst: boolean}): boolean {
	const echoed = fieldOf(head.headers, fields.requestIdentifier);
	const isSuccess = status >= firstSuccess && status < firstRedirect;
	const isOther = echoed === undefined ? !(isFirst && isNotRun(fields, head)) : echoed !== identifier;
	return isOther || (isSuccess && fieldOf(head.headers, fields.stamp) === undefined) || fieldOf(head.headers, 'content-encoding') !== undefined;
}

function leavingNotice(fields: FieldNames, {headers}: AnswerHead): Notice | undefined {
	const value = fieldOf(headers, fields.leaving)?.trim();
	if (value === undefined) {
		return undefined;
	}

	return value === isLeaving ? {kind: 'leaving'} : {kind: 'unreadable', field: fields.leaving, value};
}

function pauseNotice(status: number, {retryAfter}: AnswerHead, wallNow: number): Notice | undefined {
	if (status !== unavailable || retryAfter === undefined) {
		return undefined;
	}

	const milliseconds = retryAfterMilliseconds(retryAfter, wallNow);
	return milliseconds === undefined ? {kind: 'unreadable', field: 'retry-after', value: retryAfter} : {kind: 'pause', milliseconds};
}

function readLoad(value: string): LoadFigures | undefined {
	const groups = loadPattern.exec(value.replaceAll(spaces, ''))?.groups;
	return groups === undefined
		? undefined
		: {
			running: Number(groups.running), waiting: Number(groups.waiting), slots: Number(groups.slots), slowdown: Number(groups.percent ?? wholePercent) / wholePercent,
		};
}

function loadNotice(fields: FieldNames, {headers}: AnswerHead): Notice | undefined {
	const value = fields.load === undefined ? undefined : fieldOf(headers, fields.load);
	return fields.load === undefined || value === undefined || readLoad(value) !== undefined ? undefined : {kind: 'unreadable', field: fields.load, value};
}

/** Returns the load that an answer tells; undefined if it tells none, or may be the late copy of an earlier answer. */
export function toldLoadOf(fields: FieldNames, identifier: string | undefined, {headers}: AnswerHead): LoadFigures | undefined {
	const value = fields.load === undefined || fieldOf(headers, fields.requestIdentifier) !== identifier ? undefined : fieldOf(headers, fields.load);
	return value === undefined ? undefined : readLoad(value);
}

/**
 * Returns the notices in an answer. They count on any answer, also on one that belongs to another request:
 * whatever is received on a connection comes from the upstream that it was opened to.
 */
export function noticesOf(fields: FieldNames, status: number, head: AnswerHead, wallNow: number): readonly Notice[] {
	return [leavingNotice(fields, head), pauseNotice(status, head, wallNow), loadNotice(fields, head)].filter(notice => notice !== undefined);
}

/** Whether an upstream refused a request that is addressed to another upstream, or whose key it doesn't hold. */
export function isMisdirected(observation: AttemptObservation, status: number): boolean {
	return observation === AttemptObservation.shed && status === misdirected;
}

/** Returns the signal of an attempt for its upstream's load control. `refusedWith` is the status of a refusal, `answered` that of a whole answer. */
export function signalOf(observation: AttemptObservation, refusedWith: number, answered: number | undefined): Signal {
	if (isMisdirected(observation, refusedWith)) {
		return Signal.none;
	}

	return answered !== undefined && answered >= firstServerFailure ? Signal.failed : signalOfObservation[observation];
}
