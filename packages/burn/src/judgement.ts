/**
 * What counts as bad: a request's end, judged for one objective.
 */
import {type Objective} from '@dogwooddeck/model/contract';
import {type Milliseconds} from '@dogwooddeck/model/identifiers';
import {Outcome} from '@dogwooddeck/model/outcome';

/** How a request ended, as its caller saw it. */
export const CompletionStatus = {
	/** A whole answer that is not an error of the upstream. */
	answered: 'answered',
	/** A whole answer that tells of an error of the upstream. */
	failed: 'failed',
	/** Refused: it was not run, and never will be. */
	notRun: 'notRun',
	/** Whether it ran isn't known. */
	unknown: 'unknown',
	/** Refused for the caller's own fault: a malformed request, or its limit spent. */
	callerFault: 'callerFault',
} as const;

/** One of the ends. */
export type CompletionStatus = (typeof CompletionStatus)[keyof typeof CompletionStatus];

/** What is known of a request when it has ended. */
export type CompletedRequest = {
	readonly outcome: Outcome;
	/** The status that the caller got; absent where no whole answer came. */
	readonly status?: number;
	/** Whether it was refused because its caller's limit is spent. */
	readonly limited: boolean;
};

const firstErrorStatus = 500;
const firstCallerStatus = 400;

const endsOfOutcome: Readonly<Record<Outcome, (ended: CompletedRequest) => CompletionStatus>> = {
	[Outcome.ran]: ({status}) => status === undefined || status >= firstErrorStatus ? CompletionStatus.failed : CompletionStatus.answered,
	[Outcome.notRun]: ({status, limited}) => limited || isCallerStatus(status) ? CompletionStatus.callerFault : CompletionStatus.notRun,
	[Outcome.unknown]: () => CompletionStatus.unknown,
};

function isCallerStatus(status: number | undefined): boolean {
	return status !== undefined && status >= firstCallerStatus && status < firstErrorStatus;
}

/** How a request ended, from its outcome and the status that its caller got. */
export function completionStatusOf(ended: CompletedRequest): CompletionStatus {
	return endsOfOutcome[ended.outcome](ended);
}

/** One request that has ended. */
export type RequestSample = {
	readonly end: CompletionStatus;
	readonly idempotent: boolean;
	/** From the first byte of the request to the last of the answer. */
	readonly latencyMilliseconds: Milliseconds;
};

/** What a request is for an objective. */
export const Judgement = {
	good: 'good',
	/** Answered, but later than the objective says. */
	slow: 'slow',
	failed: 'failed',
	notRun: 'notRun',
	unknown: 'unknown',
	/** It says nothing about the objective. */
	uncounted: 'uncounted',
} as const;

/** One of the judgements. */
export type Judgement = (typeof Judgement)[keyof typeof Judgement];

type Judge = (sample: RequestSample, withinMilliseconds: Milliseconds | undefined) => Judgement;

/**
 * A non-idempotent request that was not run can be sent again safely and has
 * no answer to be late: it counts for availability, not for latency.
 */
function judgeNotRun(sample: RequestSample, withinMilliseconds: Milliseconds | undefined): Judgement {
	return !sample.idempotent && withinMilliseconds !== undefined ? Judgement.uncounted : Judgement.notRun;
}

const judges: Readonly<Record<CompletionStatus, Judge>> = {
	answered: (sample, within) => sample.latencyMilliseconds > (within ?? Number.POSITIVE_INFINITY) ? Judgement.slow : Judgement.good,
	failed: () => Judgement.failed,
	notRun: judgeNotRun,
	unknown: () => Judgement.unknown,
	callerFault: () => Judgement.uncounted,
};

/** Judges a request for an objective. */
export function classifyRequest(sample: RequestSample, objective: Pick<Objective, 'withinMilliseconds'>): Judgement {
	return judges[sample.end](sample, objective.withinMilliseconds);
}
