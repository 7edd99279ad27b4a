/**
 * One request on its way to an upstream, as `undici` reports it, told in the
 * words of the outcome table. It ends exactly once.
 *
 * `undici` calls `onConnect` right before it hands the first byte to a socket,
 * and again when it would send the request anew by itself; that is refused.
 */
import {failure, FailureError, FailureKind} from '@dogwooddeck/model/failure';
import {type Milliseconds} from '@dogwooddeck/model/identifiers';
import {AttemptObservation} from '@dogwooddeck/routing/outcome';
import {
	type AnswerHead, type RawHeaders, readAnswerHead, retryAfterMilliseconds,
} from './headers.js';

/** Takes what comes of one request. */
export type AnswerSink = {
	/** Called right before the first byte is handed to a socket. `false` refuses: nothing is sent, and `leaseLost` is seen. */
	beforeFirstByte(): boolean;
	/** The head of an answer that can be passed on. */
	onHead(status: number, headers: RawHeaders): void;
	/** A part of the body. `false` asks to wait until `resume`. */
	onChunk(chunk: Uint8Array): boolean;
	/** Called once, and last but for `onDrained`. */
	onEnd(seen: AttemptObservation, retryAfterMilliseconds?: Milliseconds): void;
	/** The rest of a shed answer was read: its connection can be used again. Before `onEnd` where the answer has no body. */
	onDrained?(): void;
};

/** What an answer is held against. */
export type AnswerRules = {
	/** Whether the upstream says that it did not run the request. */
	readonly isNotRun: (status: number, head: AnswerHead) => boolean;
	/** Whether the answer belongs to another request, or isn't the upstream's own. Left out: none is. */
	readonly isForeign?: (status: number, head: AnswerHead) => boolean;
	/** Whether the connection that carried an answer without a length ended in order. Left out: that can't be told. */
	readonly endedInOrder?: () => boolean;
};

/** Why a request is given up. */
export const Abandoned = {
	callerGone: 'caller-gone',
	deadlinePassed: 'deadline-passed',
} as const;

/** One of the reasons. */
export type Abandoned = (typeof Abandoned)[keyof typeof Abandoned];

const seenWhenAbandoned: Readonly<Record<Abandoned, {readonly before: AttemptObservation; readonly after: AttemptObservation}>> = {
	[Abandoned.callerGone]: {before: AttemptObservation.cancelledBeforeFirstByte, after: AttemptObservation.cancelledAfterFirstByte},
	[Abandoned.deadlinePassed]: {before: AttemptObservation.deadlinePassedBeforeFirstByte, after: AttemptObservation.deadlinePassedAfterFirstByte},
};

/** What an error means while no byte was handed over. Others: the connection ended. */
const seenByCode: Readonly<Record<string, AttemptObservation>> = {
	ECONNREFUSED: AttemptObservation.refusedConnection,
	EHOSTUNREACH: AttemptObservation.refusedConnection,
	ENETUNREACH: AttemptObservation.refusedConnection,
	ETIMEDOUT: AttemptObservation.refusedConnection,
	UND_ERR_CONNECT_TIMEOUT: AttemptObservation.refusedConnection,
	UND_ERR_INVALID_ARG: AttemptObservation.unsendable,
	UND_ERR_NOT_SUPPORTED: AttemptObservation.unsendable,
	UND_ERR_REQ_CONTENT_LENGTH_MISMATCH: AttemptObservation.unsendable,
};

const firstFinalStatus = 200;
const noContent = 204;
const notModified = 304;

/** What of a shed answer's body is read, so that the connection can be used again. */
const longestDrain = 65_536;

function nothingToDo(): void {
	// Nothing was handed to a socket yet.
}

/** The handler that `undici` calls, and the handle by which a request is steered. */
export class Exchange {
	readonly #sink: AnswerSink;
	readonly #method: string;
	readonly #rules: AnswerRules;
	readonly #timer: NodeJS.Timeout;
	#handedOver = false;
	#headSeen = false;
	#unbounded = false;
	#ended = false;
	#drained = 0;
	/** A shed answer without a body: its connection can be used again at once. */
	#emptyShed: {readonly retryAfter: Milliseconds | undefined} | undefined;
	#abort: (reason?: Error) => void = nothingToDo;
	#resume: () => void = nothingToDo;

	constructor(sink: AnswerSink, method: string, rules: AnswerRules, timeoutMilliseconds: Milliseconds) {
		this.#sink = sink;
		this.#method = method;
		this.#rules = rules;
		this.#timer = setTimeout(whenTimedOut, timeoutMilliseconds, this);
	}

	/** Gives the request up: what comes later goes nowhere, and the upstream sees its connection end. */
	abandon(why: Abandoned): void {
		const seen = seenWhenAbandoned[why];
		this.#finishAndAbort(this.#handedOver ? seen.after : seen.before);
	}

	/** Goes on after `onChunk` returned `false`. */
	resume(): void {
		this.#resume();
	}

	/** For `undici`: a throw here keeps the request off the socket and the connection usable. */
	onConnect(abort: (reason?: Error) => void): void {
		this.#abort = abort;
		if (this.#ended || this.#handedOver || !this.#mayStart()) {
			throw new FailureError(failure(FailureKind.noLease, 'the request may not be sent'));
		}

		this.#handedOver = true;
	}

	/** For `undici`. */
	onHeaders(status: number, raw: readonly Uint8Array[], resume: () => void): boolean {
		if (status < firstFinalStatus || this.#ended) {
			return true;
		}

		this.#resume = resume;
		const head = readAnswerHead(raw);
		const bounded = head.bounded || this.#method === 'HEAD' || status === noContent || status === notModified;
		const {isNotRun, isForeign, endedInOrder} = this.#rules;
		this.#unbounded = !bounded;
		if (isForeign?.(status, head) === true) {
			this.#finishAndAbort(AttemptObservation.foreignAnswer);
		} else if (isNotRun(status, head)) {
			this.#shed(head, bounded);
		} else if (bounded || endedInOrder !== undefined) {
			this.#headSeen = true;
			this.#sink.onHead(status, head.headers);
		} else {
			this.#finishAndAbort(AttemptObservation.unboundedAnswer);
		}

		return true;
	}

	/** For `undici`. */
	onData(chunk: Uint8Array): boolean {
		if (!this.#ended) {
			return this.#sink.onChunk(chunk);
		}

		this.#drained += chunk.length;
		if (this.#drained > longestDrain) {
			this.#abort();
		}

		return true;
	}

	/** For `undici`. */
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

	/** For `undici`. */
	onError(error: Error & {readonly code?: string}): void {
		clearTimeout(this.#timer);
		if (this.#emptyShed !== undefined) {
			this.#finish(AttemptObservation.shed, this.#emptyShed.retryAfter);
		} else if (this.#headSeen) {
			this.#finish(AttemptObservation.cutAnswer);
		} else if (this.#handedOver) {
			this.#finish(AttemptObservation.closedAfterFirstByte);
		} else {
			this.#finish(seenByCode[error.code ?? ''] ?? AttemptObservation.closedBeforeFirstByte);
		}
	}

	/** Runs when the time for the request, or for the rest of a shed answer, is over. */
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

	/** The head alone says that the request did not run; the rest is read only to keep the connection. */
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

	#finishAndAbort(seen: AttemptObservation): void {
		if (!this.#ended) {
			clearTimeout(this.#timer);
			this.#finish(seen);
			this.#abort();
		}
	}

	#finish(seen: AttemptObservation, retryAfter?: Milliseconds): void {
		if (!this.#ended) {
			this.#ended = true;
			this.#sink.onEnd(seen, retryAfter);
		}
	}
}

function whenTimedOut(exchange: Exchange): void {
	exchange.timeOut();
}
