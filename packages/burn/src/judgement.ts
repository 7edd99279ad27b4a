/**
 * Classifies completed requests: how each one ended for its caller, and whether
 * that is good or bad for a service-level objective.
 */
import {type Objective} from '@dogwooddeck/model/contract';
import {type Milliseconds} from '@dogwooddeck/model/identifiers';
import {Outcome} from '@dogwooddeck/model/outcome';

/** How a request ended for its caller. */
export const CompletionStatus = {
	/** A complete response that is not a server error. */
	answered: 'answered',
	/** A server error from the upstream, or a response that was not complete. */
	failed: 'failed',
	/** Rejected: it was not run, and never will be. */
	notRun: 'notRun',
	/** It may or may not have run. */
	unknown: 'unknown',
	/** Rejected for the caller's own fault: a malformed request, or an exhausted limit. */
	callerFault: 'callerFault',
} as const;

export type CompletionStatus = (typeof CompletionStatus)[keyof typeof CompletionStatus];

/** The result of a completed request. */
export type CompletedRequest = {
	readonly outcome: Outcome;
	/** The status that the caller received; absent without a complete response. */
	readonly status?: number;
	/** Whether it was rejected because its caller's limit is exhausted. */
	readonly limited: boolean;
};

const firstServerErrorStatus = 500;
const firstClientErrorStatus = 400;

const completionStatusRules: Readonly<Record<Outcome, (request: CompletedRequest) => CompletionStatus>> = {
	[Outcome.ran]: ({status}) => status === undefined || status >= firstServerErrorStatus ? CompletionStatus.failed : CompletionStatus.answered,
	[Outcome.notRun]: ({status, limited}) => limited || isClientErrorStatus(status) ? CompletionStatus.callerFault : CompletionStatus.notRun,
	[Outcome.unknown]: () => CompletionStatus.unknown,
};

function isClientErrorStatus(status: number | undefined): boolean {
	return status !== undefined && status >= firstClientErrorStatus && status < firstServerErrorStatus;
}

/** Derives how a request ended from its outcome and the status that its caller received. */
export function completionStatusOf(request: CompletedRequest): CompletionStatus {
	return completionStatusRules[request.outcome](request);
}

/** A completed request, as it is counted for objectives. */
export type RequestSample = {
	readonly end: CompletionStatus;
	readonly idempotent: boolean;
	/** From the first byte of the request to the last byte of the response. */
	readonly latencyMilliseconds: Milliseconds;
};

/** The class of a request for an objective. */
export const RequestClass = {
	good: 'good',
	/** Answered, but later than the objective's latency threshold. */
	slow: 'slow',
	failed: 'failed',
	notRun: 'notRun',
	unknown: 'unknown',
	/** Not counted for the objective. */
	uncounted: 'uncounted',
} as const;

export type RequestClass = (typeof RequestClass)[keyof typeof RequestClass];

type RequestClassifier = (sample: RequestSample, withinMilliseconds: Milliseconds | undefined) => RequestClass;

/**
 * A non-idempotent request that was not run can be retried safely and has no
 * response to be late: it counts for availability, not for latency.
 */
function classifyNotRun(sample: RequestSample, withinMilliseconds: Milliseconds | undefined): RequestClass {
	return !sample.idempotent && withinMilliseconds !== undefined ? RequestClass.uncounted : RequestClass.notRun;
}

const classifiers: Readonly<Record<CompletionStatus, RequestClassifier>> = {
	answered: (sample, within) => sample.latencyMilliseconds > (within ?? Number.POSITIVE_INFINITY) ? RequestClass.slow : RequestClass.good,
	failed: () => RequestClass.failed,
	notRun: classifyNotRun,
	unknown: () => RequestClass.unknown,
	callerFault: () => RequestClass.uncounted,
};

/** Classifies a request for an objective. */
export function classifyRequest(sample: RequestSample, objective: Pick<Objective, 'withinMilliseconds'>): RequestClass {
	return classifiers[sample.end](sample, objective.withinMilliseconds);
}
