/**
 * One attempt at one upstream: sends the request and gathers the answer. An
 * answer that is not whole is never told as one.
 */
import {Buffer} from 'node:buffer';
import {monotonicNow} from '@dogwooddeck/clock/monotonic';
import {type Milliseconds} from '@dogwooddeck/model/identifiers';
import {AttemptObservation} from '@dogwooddeck/routing/outcome';
import {
	Abandoned, type AnswerRules, type AnswerSink, Exchange,
} from '@dogwooddeck/upstream-client/exchange';
import {type AnswerHead, type RawHeaders} from '@dogwooddeck/upstream-client/headers';
import {type Connection} from './connection.js';

/** A whole answer of an upstream. */
export type UpstreamAnswer = {readonly status: number; readonly headers: RawHeaders; readonly body: Buffer};

/** How an attempt ended. */
export type AttemptResult = {
	readonly seen: AttemptObservation;
	readonly milliseconds: Milliseconds;
	/** With `wholeAnswer`, unless its parts were passed on as they came. */
	readonly answer?: UpstreamAnswer;
	readonly retryAfterMilliseconds?: Milliseconds;
};

/** Takes an answer that is too long to be gathered. */
export type LongAnswer = {
	readonly begin: (status: number, headers: RawHeaders) => void;
	readonly write: (chunk: Uint8Array) => boolean;
};

/** What an answer is held against. */
export type RequestRules = Pick<AnswerRules, 'isNotRun'> & {
	/** Whether the answer belongs to another request, or isn't the upstream's own. `isFirst`: its connection has carried no other request. */
	readonly isForeign: (status: number, head: AnswerHead, isFirst: boolean) => boolean;
};

/** What is sent, and who hears of it. */
export type RequestSpecification = {
	readonly method: string;
	readonly path: string;
	readonly headers: RawHeaders;
	readonly body: Buffer | undefined;
	readonly timeoutMilliseconds: Milliseconds;
	/** The request is not sent on these again, and the connection is added where the upstream refuses it: the refusal may be written again there, and name the same request. */
	readonly refusedOn: Set<Connection>;
	readonly rules: RequestRules;
	/** Called right before the first byte is handed to a socket. `false`: nothing is sent. */
	readonly mayStart: () => boolean;
	readonly onLong: LongAnswer;
	/** Called once. */
	readonly onEnd: (result: AttemptResult) => void;
};

/** An attempt that is under way. */
export type SentAttempt = {
	/** The caller is gone: the upstream sees its connection end. */
	readonly cancel: () => void;
	/** Goes on after `LongAnswer.write` returned `false`. */
	readonly resume: () => void;
};

/** Answers up to this size are gathered before they are passed on, so that a cut one can be asked for again. */
export const gatheredBytes = 131_072;

/** What a request does to its connection. */
export type ConnectionHold = {
	/** The head of an answer has come. */
	readonly answering: () => void;
	/** The request is over; the rest of a refusal may still come. */
	readonly ended: (seen: AttemptObservation) => void;
	/** Nothing more comes of the request. */
	readonly release: () => void;
};

/** Gathers an answer; what is longer than `gatheredBytes` is passed on as it comes. */
class Gathering implements AnswerSink {
	readonly #specification: RequestSpecification;
	readonly #startedAt = monotonicNow();
	readonly #hold: ConnectionHold;
	#status = 0;
	#headers: RawHeaders = [];
	#chunks: Uint8Array[] = [];
	#bytes = 0;
	#isLong = false;
	#isDrained = false;

	constructor(specification: RequestSpecification, hold: ConnectionHold) {
		this.#specification = specification;
		this.#hold = hold;
	}

	beforeFirstByte(): boolean {
		return this.#specification.mayStart();
	}

	onHead(status: number, headers: RawHeaders): void {
		this.#hold.answering();
		this.#status = status;
		this.#headers = headers;
	}

	onChunk(chunk: Uint8Array): boolean {
		if (this.#isLong) {
			return this.#specification.onLong.write(chunk);
		}

		this.#chunks.push(chunk);
		this.#bytes += chunk.length;
		return this.#bytes <= gatheredBytes || this.#passOn();
	}

	onEnd(seen: AttemptObservation, retryAfterMilliseconds?: Milliseconds): void {
		this.#hold.ended(seen);
		if (seen !== AttemptObservation.shed || this.#isDrained) {
			this.#hold.release();
		}

		const answer = seen === AttemptObservation.wholeAnswer && !this.#isLong
			? {status: this.#status, headers: this.#headers, body: Buffer.concat(this.#chunks)}
			: undefined;
		this.#specification.onEnd({
			seen,
			milliseconds: monotonicNow() - this.#startedAt,
			...(answer === undefined ? {} : {answer}),
			...(retryAfterMilliseconds === undefined ? {} : {retryAfterMilliseconds}),
		});
	}

	onDrained(): void {
		this.#isDrained = true;
		this.#hold.release();
	}

	#passOn(): boolean {
		this.#isLong = true;
		const {onLong} = this.#specification;
		onLong.begin(this.#status, this.#headers);
		const gathered = this.#chunks;
		this.#chunks = [];
		return gathered.map(chunk => onLong.write(chunk)).every(Boolean);
	}
}

/** Sends a request on a connection. */
export function sendRequest(connection: Connection, specification: RequestSpecification, hold: ConnectionHold): SentAttempt {
	const {isNotRun, isForeign} = specification.rules;
	const isFirst = connection.requests === 1;
	const rules: AnswerRules = {isNotRun, isForeign: (status, head) => isForeign(status, head, isFirst), endedInOrder: () => connection.endedInOrder};
	const exchange = new Exchange(new Gathering(specification, hold), specification.method, rules, specification.timeoutMilliseconds);
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
