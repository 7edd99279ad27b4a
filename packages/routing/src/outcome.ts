/**
 * Lookup table from what was observed of an attempt to its outcome, to whether the
 * request may be retried, and to the response that the caller gets.
 */
import {FailureKind} from '@dogwooddeck/model/failure';
import {Outcome} from '@dogwooddeck/model/outcome';

/** How one attempt can end. The first byte is the first byte of the request that is written to the socket. */
export const AttemptObservation = {
	/** The upstream refused the connection. */
	refusedConnection: 'refused-connection',
	/** The connection closed before the first byte. */
	closedBeforeFirstByte: 'closed-before-first-byte',
	/** This instance lost the lease to route the key before the first byte. */
	leaseLost: 'lease-lost',
	/** The deadline passed before the first byte. */
	deadlinePassedBeforeFirstByte: 'deadline-passed-before-first-byte',
	/** The caller disconnected before the first byte. */
	cancelledBeforeFirstByte: 'cancelled-before-first-byte',
	/** The request can't be encoded as an HTTP message; nothing was sent. */
	unsendable: 'unsendable',
	/** The upstream responded with a status that the contract declares to mean that the request did not run. */
	shed: 'shed',
	/** The connection closed after the first byte and before a complete response head. */
	closedAfterFirstByte: 'closed-after-first-byte',
	/** The deadline passed after the first byte. */
	deadlinePassedAfterFirstByte: 'deadline-passed-after-first-byte',
	/** The caller disconnected after the first byte. */
	cancelledAfterFirstByte: 'cancelled-after-first-byte',
	/** The complete response was received. */
	wholeAnswer: 'whole-answer',
	/** The response head was received, but the body was truncated. */
	cutAnswer: 'cut-answer',
	/** The response belongs to another request, or is not from the expected upstream. */
	foreignAnswer: 'foreign-answer',
	/** The response has neither a content length nor chunked encoding, so truncation can't be detected. */
	unboundedAnswer: 'unbounded-answer',
} as const;

export type AttemptObservation = (typeof AttemptObservation)[keyof typeof AttemptObservation];

/** When a request may be retried. */
export const RetryRule = {
	never: 'never',
	/** Only where the route is declared idempotent. */
	idempotent: 'idempotent',
	/** Always: the request did not run. */
	always: 'always',
} as const;

export type RetryRule = (typeof RetryRule)[keyof typeof RetryRule];

/** What follows from an observation. */
export type ObservationRule = {
	readonly outcome: Outcome;
	readonly retryRule: RetryRule;
	/** The HTTP status of the response to the caller, if no upstream response was forwarded. */
	readonly status: number;
	readonly kind: FailureKind;
	readonly detail: string;
};

const badGateway = 502;
const serviceUnavailable = 503;
const gatewayTimeout = 504;
const badRequest = 400;

/** The rule for each observation. The outcome is `not-run` only if no byte was written to the socket or the upstream said so. */
export const observationRules: Readonly<Record<AttemptObservation, ObservationRule>> = {
	[AttemptObservation.refusedConnection]: {
		outcome: Outcome.notRun, retryRule: RetryRule.always, status: badGateway, kind: FailureKind.upstreamFailed, detail: 'the upstream takes no connection',
	},
	[AttemptObservation.closedBeforeFirstByte]: {
		outcome: Outcome.notRun, retryRule: RetryRule.always, status: badGateway, kind: FailureKind.upstreamFailed, detail: 'the connection closed before the request was sent',
	},
	[AttemptObservation.leaseLost]: {
		outcome: Outcome.notRun, retryRule: RetryRule.always, status: serviceUnavailable, kind: FailureKind.noLease, detail: 'the lease for the key was lost before the request was sent',
	},
	[AttemptObservation.deadlinePassedBeforeFirstByte]: {
		outcome: Outcome.notRun, retryRule: RetryRule.never, status: gatewayTimeout, kind: FailureKind.deadlineExceeded, detail: 'the deadline passed before the request was sent',
	},
	[AttemptObservation.cancelledBeforeFirstByte]: {
		outcome: Outcome.notRun, retryRule: RetryRule.never, status: gatewayTimeout, kind: FailureKind.deadlineExceeded, detail: 'the caller disconnected before the request was sent',
	},
	[AttemptObservation.unsendable]: {
		outcome: Outcome.notRun, retryRule: RetryRule.never, status: badRequest, kind: FailureKind.malformed, detail: 'the request can\'t be encoded as an HTTP message',
	},
	[AttemptObservation.shed]: {
		outcome: Outcome.notRun, retryRule: RetryRule.always, status: serviceUnavailable, kind: FailureKind.overloaded, detail: 'the upstream shed the request',
	},
	[AttemptObservation.closedAfterFirstByte]: {
		outcome: Outcome.unknown, retryRule: RetryRule.idempotent, status: badGateway, kind: FailureKind.upstreamFailed, detail: 'the connection ended before the answer',
	},
	[AttemptObservation.deadlinePassedAfterFirstByte]: {
		outcome: Outcome.unknown, retryRule: RetryRule.never, status: gatewayTimeout, kind: FailureKind.deadlineExceeded, detail: 'the deadline passed before the answer',
	},
	[AttemptObservation.cancelledAfterFirstByte]: {
		outcome: Outcome.unknown, retryRule: RetryRule.never, status: gatewayTimeout, kind: FailureKind.deadlineExceeded, detail: 'the caller disconnected before the answer',
	},
	[AttemptObservation.wholeAnswer]: {
		outcome: Outcome.ran, retryRule: RetryRule.never, status: badGateway, kind: FailureKind.internal, detail: 'the answer was received whole',
	},
	[AttemptObservation.cutAnswer]: {
		outcome: Outcome.unknown, retryRule: RetryRule.idempotent, status: badGateway, kind: FailureKind.upstreamFailed, detail: 'the answer was truncated',
	},
	[AttemptObservation.foreignAnswer]: {
		outcome: Outcome.unknown, retryRule: RetryRule.idempotent, status: badGateway, kind: FailureKind.upstreamFailed, detail: 'the answer belongs to another request',
	},
	[AttemptObservation.unboundedAnswer]: {
		outcome: Outcome.unknown, retryRule: RetryRule.never, status: badGateway, kind: FailureKind.upstreamFailed, detail: 'the answer has neither a length nor chunks',
	},
};

const retryChecks: Readonly<Record<RetryRule, (idempotent: boolean) => boolean>> = {
	[RetryRule.never]: () => false,
	[RetryRule.idempotent]: idempotent => idempotent,
	[RetryRule.always]: () => true,
};

/** Whether a request may be retried after an observation. */
export function mayRetry(observation: AttemptObservation, idempotent: boolean): boolean {
	return retryChecks[observationRules[observation].retryRule](idempotent);
}

const statusByFailure: Partial<Record<FailureKind, number>> = {
	[FailureKind.malformed]: badRequest,
	[FailureKind.tooLarge]: 413,
	[FailureKind.unauthenticated]: 401,
	[FailureKind.forbidden]: 403,
	[FailureKind.notFound]: 404,
	[FailureKind.conflict]: 422,
	[FailureKind.duplicate]: 409,
	[FailureKind.limitReached]: 429,
	[FailureKind.upstreamFailed]: badGateway,
	[FailureKind.outcomeUnknown]: badGateway,
	[FailureKind.deadlineExceeded]: gatewayTimeout,
	[FailureKind.internal]: 500,
};

/** Returns the HTTP status for a failure; 503 for the kinds that the table does not list. */
export function httpStatusOf(kind: FailureKind): number {
	return statusByFailure[kind] ?? serviceUnavailable;
}
