/**
 * The lookup table from what was seen of an attempt to what is known of it,
 * whether the request may be sent again, and what the caller is told.
 */
import {FailureKind} from '@dogwooddeck/model/failure';
import {Outcome} from '@dogwooddeck/model/outcome';

/** What can be seen of one attempt. The first byte is that of the request, as it is handed to the socket. */
export const AttemptObservation = {
	/** The upstream took no connection. */
	refusedConnection: 'refused-connection',
	/** The connection ended before the first byte. */
	closedBeforeFirstByte: 'closed-before-first-byte',
	/** The right to route ended before the first byte. */
	leaseLost: 'lease-lost',
	/** The deadline passed before the first byte. */
	deadlinePassedBeforeFirstByte: 'deadline-passed-before-first-byte',
	/** The caller went away before the first byte. */
	cancelledBeforeFirstByte: 'cancelled-before-first-byte',
	/** The request can't be put into an HTTP message; nothing was sent. */
	unsendable: 'unsendable',
	/** The upstream answered with a status that the contract declares as not run. */
	shed: 'shed',
	/** The connection ended after the first byte and before a whole head of an answer. */
	closedAfterFirstByte: 'closed-after-first-byte',
	/** The deadline passed after the first byte. */
	deadlinePassedAfterFirstByte: 'deadline-passed-after-first-byte',
	/** The caller went away after the first byte. */
	cancelledAfterFirstByte: 'cancelled-after-first-byte',
	/** The answer came whole. */
	wholeAnswer: 'whole-answer',
	/** The head of an answer came, and its body ended early. */
	cutAnswer: 'cut-answer',
	/** An answer came that belongs to another request, or that isn't the upstream's own. */
	foreignAnswer: 'foreign-answer',
	/** The answer has neither a length nor chunks, so nobody can tell whether it is whole. */
	unboundedAnswer: 'unbounded-answer',
} as const;

/** One of the things that can be seen. */
export type AttemptObservation = (typeof AttemptObservation)[keyof typeof AttemptObservation];

/** When a request may be sent again. */
export const Resend = {
	never: 'never',
	/** Only where the route is declared idempotent. */
	idempotent: 'idempotent',
	/** Always: it did not run. */
	always: 'always',
} as const;

/** One of the rules for sending again. */
export type Resend = (typeof Resend)[keyof typeof Resend];

/** What follows from a thing that was seen. */
export type ObservationRule = {
	readonly outcome: Outcome;
	readonly resend: Resend;
	/** The status that the caller is told, where no answer was passed on. */
	readonly status: number;
	readonly kind: FailureKind;
	readonly detail: string;
};

const badGateway = 502;
const serviceUnavailable = 503;
const gatewayTimeout = 504;
const badRequest = 400;

/** The rule for each thing that can be seen. `not-run` stands only where no byte was handed over or the upstream said so. */
export const observationRules: Readonly<Record<AttemptObservation, ObservationRule>> = {
	[AttemptObservation.refusedConnection]: {
		outcome: Outcome.notRun, resend: Resend.always, status: badGateway, kind: FailureKind.upstreamFailed, detail: 'the upstream takes no connection',
	},
	[AttemptObservation.closedBeforeFirstByte]: {
		outcome: Outcome.notRun, resend: Resend.always, status: badGateway, kind: FailureKind.upstreamFailed, detail: 'the connection ended before the request was sent',
	},
	[AttemptObservation.leaseLost]: {
		outcome: Outcome.notRun, resend: Resend.always, status: serviceUnavailable, kind: FailureKind.noLease, detail: 'the lease over the key ended before the request was sent',
	},
	[AttemptObservation.deadlinePassedBeforeFirstByte]: {
		outcome: Outcome.notRun, resend: Resend.never, status: gatewayTimeout, kind: FailureKind.deadlineExceeded, detail: 'the deadline passed before the request was sent',
	},
	[AttemptObservation.cancelledBeforeFirstByte]: {
		outcome: Outcome.notRun, resend: Resend.never, status: gatewayTimeout, kind: FailureKind.deadlineExceeded, detail: 'the caller went away before the request was sent',
	},
	[AttemptObservation.unsendable]: {
		outcome: Outcome.notRun, resend: Resend.never, status: badRequest, kind: FailureKind.malformed, detail: 'the request can\'t be sent on as it is',
	},
	[AttemptObservation.shed]: {
		outcome: Outcome.notRun, resend: Resend.always, status: serviceUnavailable, kind: FailureKind.overloaded, detail: 'the upstream shed the request',
	},
	[AttemptObservation.closedAfterFirstByte]: {
		outcome: Outcome.unknown, resend: Resend.idempotent, status: badGateway, kind: FailureKind.upstreamFailed, detail: 'the connection ended before the answer',
	},
	[AttemptObservation.deadlinePassedAfterFirstByte]: {
		outcome: Outcome.unknown, resend: Resend.never, status: gatewayTimeout, kind: FailureKind.deadlineExceeded, detail: 'the deadline passed before the answer',
	},
	[AttemptObservation.cancelledAfterFirstByte]: {
		outcome: Outcome.unknown, resend: Resend.never, status: gatewayTimeout, kind: FailureKind.deadlineExceeded, detail: 'the caller went away before the answer',
	},
	[AttemptObservation.wholeAnswer]: {
		outcome: Outcome.ran, resend: Resend.never, status: badGateway, kind: FailureKind.internal, detail: 'the answer came whole',
	},
	[AttemptObservation.cutAnswer]: {
		outcome: Outcome.unknown, resend: Resend.idempotent, status: badGateway, kind: FailureKind.upstreamFailed, detail: 'the answer ended early',
	},
	[AttemptObservation.foreignAnswer]: {
		outcome: Outcome.unknown, resend: Resend.idempotent, status: badGateway, kind: FailureKind.upstreamFailed, detail: 'the answer belongs to another request',
	},
	[AttemptObservation.unboundedAnswer]: {
		outcome: Outcome.unknown, resend: Resend.never, status: badGateway, kind: FailureKind.upstreamFailed, detail: 'the answer has neither a length nor chunks',
	},
};

const mayResend: Readonly<Record<Resend, (idempotent: boolean) => boolean>> = {
	[Resend.never]: () => false,
	[Resend.idempotent]: idempotent => idempotent,
	[Resend.always]: () => true,
};

/** Whether a request may be sent again after what was seen. */
export function maySendAgain(seen: AttemptObservation, idempotent: boolean): boolean {
	return mayResend[observationRules[seen].resend](idempotent);
}

const statuses: Partial<Record<FailureKind, number>> = {
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

/** The status by which a caller is told a failure. */
export function statusOf(kind: FailureKind): number {
	return statuses[kind] ?? serviceUnavailable;
}
