/**
 * One attempt to send a request to an upstream: sends it and buffers the answer.
 * An incomplete answer is never reported as a whole one.
 */
import {type Buffer} from 'node:buffer';
import {monotonicNow} from '@dogwooddeck/clock/monotonic';
import {type AnswerSize} from '@dogwooddeck/directory/item';
import {type AnswerBuffering} from '@dogwooddeck/gateway/answer-buffering';
import {type Milliseconds, type MonotonicTime} from '@dogwooddeck/model/identifiers';
import {AttemptObservation} from '@dogwooddeck/routing/outcome';
import {ByteCollector} from '@dogwooddeck/upstream-client/byte-collector';
import {
	Abandoned, type AnswerRules, type AnswerSink, Exchange,
} from '@dogwooddeck/upstream-client/exchange';
import {type AnswerHead, type RawHeaders} from '@dogwooddeck/upstream-client/headers';
import {type Connection} from './connection.js';

/** The whole answer of an upstream. */
export type UpstreamAnswer = {readonly status: number; readonly headers: RawHeaders; readonly body: Buffer};

/** How an attempt ended. */
export type AttemptResult = {
	readonly observation: AttemptObservation;
	/** The time until the answer was received; of a streamed one, until streaming began. */
	readonly milliseconds: Milliseconds;
	/** Set with `wholeAnswer`, unless the answer was streamed. */
	readonly answer?: UpstreamAnswer;
	readonly retryAfterMilliseconds?: Milliseconds;
};

/** Receives an answer that is too long to buffer. `write` returns false to pause it until `SentAttempt.resume`. */
export type StreamedAnswerSink = {
	readonly begin: (status: number, headers: RawHeaders) => void;
	readonly write: (chunk: Uint8Array) => boolean;
};

/** The rules by which an answer is classified. */
export type RequestRules = Pick<AnswerRules, 'isNotRun' | 'onAnswerHead'> & {
	/** Whether the answer belongs to another request, or isn't the upstream's own. `isFirst`: this is the first request on its connection. */
	readonly isForeign: (status: number, head: AnswerHead, isFirst: boolean) => boolean;
};

/** The request to send, and the callbacks for its answer. */
export type RequestSpecification = {
	readonly method: string;
	readonly path: string;
	readonly headers: RawHeaders;
	readonly body: Buffer | undefined;
	readonly timeoutMilliseconds: Milliseconds;
	/**
	 * Connections on which an upstream refused the request; each refusal adds its connection. The request is
	 * not sent on them again: the upstream may repeat the refusal there, with the same request's identifier.
	 */
	readonly refusedOn: Set<Connection>;
	readonly rules: RequestRules;
	/** Called right before the first byte is written to a socket. If it returns false, nothing is sent. */
	readonly mayStart: () => boolean;
	readonly streamedAnswer: StreamedAnswerSink;
	/** The buffered bytes of all answers of this instance. */
	readonly buffering: AnswerBuffering;
	readonly answerSize: AnswerSize;
	/** Called once. */
	readonly onEnd: (result: AttemptResult) => void;
};

/** An attempt in flight. */
export type SentAttempt = {
	/** Closes the connection to the upstream, as the caller has disconnected. */
	readonly cancel: () => void;
	/** Resumes reading after `StreamedAnswerSink.write` returned false. */
	readonly resume: () => void;
};

/** Reports the progress of a request to the owner of its connection. */
export type ConnectionObserver = {
	/** The head of the answer was received. */
	readonly onHead: () => void;
	/** The request has ended; the rest of a refusal may still arrive. */
	readonly onEnd: (observation: AttemptObservation) => void;
	/** No more data of the request's answer will arrive. */
	readonly onRelease: () => void;
};

/** Parts of a streamed answer that are shorter are forwarded together once the data that was received with them has been read. */
const shortPartBytes = 16_384;

/** Buffers an answer, and streams it once no more of it may be buffered. */
class AnswerBuffer implements AnswerSink {
	readonly #specification: RequestSpecification;
	readonly #startedAt = monotonicNow();
	readonly #observer: ConnectionObserver;
	#status = 0;
	#headers: RawHeaders = [];
	/** What was received and not forwarded yet. */
	readonly #collected = new ByteCollector();
	/** The bytes that count for `buffering`. */
	#bytes = 0;
	#isFlushScheduled = false;
	/** When the answer began to be streamed; from then on it takes as long as its caller reads. */
	#streamedAt: MonotonicTime | undefined;
	#isDrained = false;

	constructor(specification: RequestSpecification, observer: ConnectionObserver) {
		this.#specification = specification;
		this.#observer = observer;
	}

	beforeFirstByte(): boolean {
		return this.#specification.mayStart();
	}

	onHead(status: number, headers: RawHeaders): void {
		this.#observer.onHead();
		this.#status = status;
		this.#headers = headers;
	}

	onChunk(chunk: Uint8Array): boolean {
		if (this.#streamedAt !== undefined) {
			return this.#forward(chunk);
		}

		const {buffering, answerSize} = this.#specification;
		this.#collected.add(chunk);
		if (buffering.tryBuffer(chunk.length, this.#bytes, answerSize)) {
			this.#bytes += chunk.length;
			return true;
		}

		return this.#startStreaming();
	}

	onEnd(observation: AttemptObservation, retryAfterMilliseconds?: Milliseconds): void {
		this.#observer.onEnd(observation);
		if (observation !== AttemptObservation.shed || this.#isDrained) {
			this.#observer.onRelease();
		}

		const isWhole = observation === AttemptObservation.wholeAnswer;
		const answer = isWhole && this.#streamedAt === undefined
			? {status: this.#status, headers: this.#headers, body: this.#collected.take()}
			: undefined;
		this.#flush();
		this.#release();
		this.#specification.onEnd({
			observation,
			milliseconds: ((isWhole ? this.#streamedAt : undefined) ?? monotonicNow()) - this.#startedAt,
			...(answer === undefined ? {} : {answer}),
			...(retryAfterMilliseconds === undefined ? {} : {retryAfterMilliseconds}),
		});
	}

	onDrained(): void {
		this.#isDrained = true;
		this.#observer.onRelease();
	}

	#release(): void {
		this.#collected.clear();
		this.#specification.buffering.release(this.#bytes);
		this.#bytes = 0;
	}

	#startStreaming(): boolean {
		this.#streamedAt = monotonicNow();
		const {streamedAnswer} = this.#specification;
		streamedAnswer.begin(this.#status, this.#headers);
		const buffered = this.#collected.take();
		this.#release();
		return streamedAnswer.write(buffered);
	}

	#forward(chunk: Uint8Array): boolean {
		if (this.#collected.length === 0 && chunk.length >= shortPartBytes) {
			return this.#specification.streamedAnswer.write(chunk);
		}

		this.#collected.add(chunk);
		if (this.#collected.length >= shortPartBytes) {
			return this.#flush();
		}

		if (!this.#isFlushScheduled) {
			this.#isFlushScheduled = true;
			queueMicrotask(() => {
				this.#isFlushScheduled = false;
				this.#flush();
			});
		}

		return true;
	}

	/** Forwards the collected part of a streamed answer. Returns false if reading should pause. */
	#flush(): boolean {
		return this.#streamedAt === undefined || this.#collected.length === 0 || this.#specification.streamedAnswer.write(this.#collected.take());
	}
}

/** Sends a request on a connection. */
export function sendRequest(connection: Connection, specification: RequestSpecification, observer: ConnectionObserver): SentAttempt {
	const {isForeign, ...shared} = specification.rules;
	const isFirst = connection.requests === 1;
	const rules: AnswerRules = {...shared, isForeign: (status, head) => isForeign(status, head, isFirst), endedInOrder: () => connection.endedInOrder};
	const exchange = new Exchange(new AnswerBuffer(specification, observer), specification.method, rules, specification.timeoutMilliseconds);
	connection.client.dispatch({
		path: specification.path,
		method: specification.method,
		headers: [...specification.headers],
		body: specification.body ?? null,
		idempotent: false,
		headersTimeout: 0,
		bodyTimeout: 0,
	}, exchange);
	return {
		cancel() {
			exchange.abandon(Abandoned.callerGone);
		},
		resume() {
			exchange.resume();
		},
	};
}
