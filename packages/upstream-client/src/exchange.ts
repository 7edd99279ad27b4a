/**
 * Maps the events that `undici` reports for one request to the observations of
 * the outcome table. An exchange ends exactly once.
 *
 * `undici` calls `onConnect` right before it hands the first byte to a socket,
 * and again before it retries the request by itself; the retry is refused.
 */
import {failure, FailureError, FailureKind} from '@dogwooddeck/model/failure';
import {type Milliseconds} from '@dogwooddeck/model/identifiers';
import {AttemptObservation} from '@dogwooddeck/routing/outcome';
import {
	type AnswerHead, type RawHeaders, readAnswerHead, retryAfterMilliseconds,
} from './headers.js';
import {type AnswerSource} from './pausable-client.js';

/** Receives the answer and the result of one request. */
export type AnswerSink = {
	/** Called right before the first byte is handed to a socket. `false` refuses: nothing is sent, and the attempt ends with `leaseLost`. */
	beforeFirstByte(): boolean;
	/** Called with the head of an answer that can be relayed. */
	onHead(status: number, headers: RawHeaders): void;
	/** Called with a chunk of the body. Returning `false` pauses reading until `resume`. */
	onChunk(chunk: Uint8Array): boolean;
	/** Called once; only `onDrained` may follow. */
	onEnd(observation: AttemptObservation, retryAfterMilliseconds?: Milliseconds): void;
	/** Called when the rest of a shed answer was read and its connection can be reused. Precedes `onEnd` if the answer has no body. */
	onDrained?(): void;
};

/** Rules that classify an answer. */
export type AnswerRules = {
	/** Whether the upstream reports that it did not run the request. */
	readonly isNotRun: (status: number, head: AnswerHead) => boolean;
	/** Receives the head of every final answer that is read on the connection, before it is classified, and also if the request has ended. */
	readonly onAnswerHead?: (status: number, head: AnswerHead) => void;
	/** Whether the answer belongs to another request or isn't the upstream's own. If omitted, no answer is foreign. */
	readonly isForeign?: (status: number, head: AnswerHead) => boolean;
	/** Whether the connection that carried an answer without a length was closed cleanly. If omitted, this can't be determined, and such an answer is rejected. */
	readonly endedInOrder?: () => boolean;
};

/** Why a request is cancelled. */
export const Abandoned = {
	callerGone: 'caller-gone',
	deadlinePassed: 'deadline-passed',
} as const;

export type Abandoned = (typeof Abandoned)[keyof typeof Abandoned];

const observationsByAbandonReason: Readonly<Record<Abandoned, {readonly before: AttemptObservation; readonly after: AttemptObservation}>> = {
	[Abandoned.callerGone]: {before: AttemptObservation.cancelledBeforeFirstByte, after: AttemptObservation.cancelledAfterFirstByte},
	[Abandoned.deadlinePassed]: {before: AttemptObservation.deadlinePassedBeforeFirstByte, after: AttemptObservation.deadlinePassedAfterFirstByte},
};

/** The observation for an error code before the first byte was handed over. Any other code means that the connection closed. */
const observationByErrorCode: Readonly<Record<string, AttemptObservation>> = {
	ECONNREFUSED: AttemptObservation.refusedConnection,
	EHOSTUNREACH: AttemptObservation.refusedConnection,
	ENETUNREACH: AttemptObservation.refusedConnection,
	ETIMEDOUT: AttemptObservation.refusedConnection,
	UND_ERR_CONNECT_TIMEOUT: AttemptObservation.refusedConnection,
	UND_ERR_INVALID_ARG: AttemptObservation.unsendable,
	UND_ERR_NOT_SUPPORTED: AttemptObservation.unsendable,
	UND_ERR_REQ_CONTENT_LENGTH_MISMATCH: AttemptObservation.unsendable,
};

const firstStatus = 100;
const firstFinalStatus = 200;
const noContent = 204;
const notModified = 304;

/** The maximum number of bytes read from a shed answer's body to keep its connection reusable. */
const maximumDrainBytes = 65_536;

function noOperation(): void {
	// The request has no socket yet.
}

/** The handler that `undici` calls, which is also the handle that cancels or resumes the request. */
export class Exchange {
	readonly #sink: AnswerSink;
	readonly #method: string;
	readonly #rules: AnswerRules;
	readonly #timer: NodeJS.Timeout;
	#firstByteHandedOver = false;
	#headRelayed = false;
	#unbounded = false;
	#ended = false;
	#drainedBytes = 0;
	/** Set for a shed answer without a body, whose connection can be reused at once. */
	#emptyShed: {readonly retryAfter: Milliseconds | undefined} | undefined;
	#abort: (reason?: Error) => void = noOperation;
	#source: AnswerSource | undefined;

	constructor(sink: AnswerSink, method: string, rules: AnswerRules, timeoutMilliseconds: Milliseconds) {
		this.#sink = sink;
		this.#method = method;
		this.#rules = rules;
		this.#timer = setTimeout(whenTimedOut, timeoutMilliseconds, this);
	}

	/** Cancels the request: later events are ignored, and the upstream's connection is closed. */
	abandon(why: Abandoned): void {
		const observations = observationsByAbandonReason[why];
		this.#finishAndAbort(this.#firstByteHandedOver ? observations.after : observations.before);
	}

	/** Resumes reading after `onChunk` returned `false`. */
	resume(): void {
		if (!this.#ended) {
			this.#source?.resume();
		}
	}

	/** Called before the request is queued for a connection. */
	useSource(source: AnswerSource): void {
		this.#source = source;
	}

	/** Called by `undici`. Throwing here keeps the request off the socket and the connection usable. */
	onConnect(abort: (reason?: Error) => void): void {
		this.#abort = abort;
		if (this.#ended || this.#firstByteHandedOver || !this.#mayStart()) {
			throw new FailureError(failure(FailureKind.noLease, 'the request may not be sent'));
		}

		this.#firstByteHandedOver = true;
	}

	/** Called by `undici`. */
	onHeaders(status: number, raw: readonly Uint8Array[]): boolean {
		if (status < firstFinalStatus) {
			this.#source?.countPiece(0);
			if (status < firstStatus) {
				clearTimeout(this.#timer);
				this.#finish(AttemptObservation.closedAfterFirstByte);
			}

			return true;
		}

		const head = readAnswerHead(raw);
		this.#rules.onAnswerHead?.(status, head);
		if (this.#ended) {
			return true;
		}

		const bounded = head.bounded || this.#method === 'HEAD' || status === noContent || status === notModified;
		const {isNotRun, isForeign, endedInOrder} = this.#rules;
		this.#unbounded = !bounded;
		if (isForeign?.(status, head) === true) {
			this.#finishAndAbort(AttemptObservation.foreignAnswer);
		} else if (isNotRun(status, head)) {
			this.#shed(head, bounded);
		} else if (bounded || endedInOrder !== undefined) {
			this.#headRelayed = true;
			this.#sink.onHead(status, head.headers);
		} else {
			this.#finishAndAbort(AttemptObservation.unboundedAnswer);
		}

		return true;
	}

	/** Called by `undici`. */
	onData(chunk: Uint8Array): boolean {
		this.#source?.countPiece(chunk.length);
		if (!this.#ended) {
			if (!this.#sink.onChunk(chunk)) {
				this.#source?.pause();
			}

			return true;
		}

		this.#drainedBytes += chunk.length;
		if (this.#drainedBytes > maximumDrainBytes) {
			this.#abort();
		}

		return true;
	}

	/** Called by `undici`. */
	onComplete(): void {
		clearTimeout(this.#timer);
		if (this.#ended || this.#emptyShed !== undefined) {
			this.#sink.onDrained?.();
			this.#finish(AttemptObservation.shed, this.#emptyShed?.retryAfter);
			return;
		}

		const isWhole = !this.#unbounded || this.#rules.endedInOrder?.() === true;
		this.#finish(isWhole ? AttemptObservation.wholeAnswer : AttemptObservation.cutAnswer);
	}

	/** Called by `undici`. */
	onError(error: Error & {readonly code?: string}): void {
		clearTimeout(this.#timer);
		if (this.#emptyShed !== undefined) {
			this.#finish(AttemptObservation.shed, this.#emptyShed.retryAfter);
		} else if (this.#headRelayed) {
			this.#finish(AttemptObservation.cutAnswer);
		} else if (this.#firstByteHandedOver) {
			this.#finish(AttemptObservation.closedAfterFirstByte);
		} else {
			this.#finish(observationByErrorCode[error.code ?? ''] ?? AttemptObservation.closedBeforeFirstByte);
		}
	}

	/** Called when the time limit of the request, or of reading the rest of a shed answer, expires. */
	timeOut(): void {
		this.abandon(Abandoned.deadlinePassed);
		this.#abort();
	}

	#mayStart(): boolean {
		if (this.#sink.beforeFirstByte()) {
			return true;
		}

		this.#finish(AttemptObservation.leaseLost);
		return false;
	}

	/** Ends the attempt from the head alone, which says that the request did not run; the body is read only to keep the connection. */
	#shed(head: AnswerHead, bounded: boolean): void {
		const retryAfter = retryAfterMilliseconds(head.retryAfter, Date.now());
		if (head.isEmpty) {
			this.#emptyShed = {retryAfter};
			return;
		}

		this.#finish(AttemptObservation.shed, retryAfter);
		if (!bounded) {
			this.#abort();
		}
	}

	#finishAndAbort(observation: AttemptObservation): void {
		if (!this.#ended) {
			clearTimeout(this.#timer);
			this.#finish(observation);
			this.#abort();
		}
	}

	#finish(observation: AttemptObservation, retryAfter?: Milliseconds): void {
		if (!this.#ended) {
			this.#ended = true;
			this.#source?.release();
			this.#sink.onEnd(observation, retryAfter);
		}
	}
}

function whenTimedOut(exchange: Exchange): void {
	exchange.timeOut();
}
