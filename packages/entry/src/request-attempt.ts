/**
 * One attempt of a request at one upstream: builds what is sent, and records what
 * the attempt says about the upstream (notices, load, log lines).
 */
import {type Buffer} from 'node:buffer';
import {monotonicNow, wallNow} from '@dogwooddeck/clock/monotonic';
import {AnswerSize} from '@dogwooddeck/directory/item';
import {type AnswerBuffering} from '@dogwooddeck/gateway/answer-buffering';
import {type SecondSends} from '@dogwooddeck/gateway/second-send';
import {type NamedRoute} from '@dogwooddeck/gateway/route-table';
import {Signal} from '@dogwooddeck/gateway/upstream-load';
import {type Milliseconds, type MonotonicTime} from '@dogwooddeck/model/identifiers';
import {AttemptObservation} from '@dogwooddeck/routing/outcome';
import {type AnswerHead, type RawHeaders, requestHeaders} from '@dogwooddeck/upstream-client/headers';
import {
	isForeign, isMisdirected, isNotRun, noticesOf, signalOf, toldLoadOf,
} from './answer-rules.js';
import {type AttemptResult, type SentAttempt} from './attempt.js';
import {type CallerExchange} from './caller-exchange.js';
import {type LoggedRequest, type RequestLog} from './request-log.js';
import {type CachedService, type CachedUpstream, type ServiceTable} from './service-table.js';
import {type FieldNames} from './settings.js';
import {type UpstreamChoice} from './upstream-choice.js';
import {recordUpstreamNotice} from './upstream-notices.js';

/** What an attempt depends on. */
export type AttemptDependencies = {
	readonly table: ServiceTable;
	readonly fields: FieldNames;
	readonly requestLog: RequestLog;
	readonly entryCount: () => number;
	/** The buffered bytes of all answers. */
	readonly buffering: AnswerBuffering;
	/** Counts an answer of an upstream of a keyed service, and the time it took. */
	readonly countAnswer: (service: string, upstream: string, took: Milliseconds) => void;
	/** Returns numbers between 0 and 1. */
	readonly random: () => number;
};

/** The request that is attempted. */
export type AttemptedRequest = LoggedRequest & {
	readonly exchange: CallerExchange;
	readonly path: string;
	readonly body: Buffer | undefined;
	readonly deadline: MonotonicTime;
	readonly route: NamedRoute;
	readonly service: CachedService;
	readonly choice: UpstreamChoice;
};

/** Receives the progress of an attempt. */
export type AttemptListener = {
	/** Called right before the answer begins to be streamed to the caller. */
	readonly onStream: (attempt: RequestAttempt) => void;
	/** Called once. */
	readonly onEnd: (attempt: RequestAttempt, result: AttemptResult, now: MonotonicTime) => void;
};

type SecondSendRecord = (secondSends: SecondSends, milliseconds: Milliseconds, now: MonotonicTime) => void;

/** What a signal says to the service's second sends. */
const secondSendRecords: Partial<Record<Signal, SecondSendRecord>> = {
	[Signal.answered](secondSends, milliseconds) {
		secondSends.recordAnswer(milliseconds);
	},
	[Signal.overtaken](secondSends, milliseconds) {
		secondSends.recordSilence(milliseconds);
	},
	[Signal.silent](secondSends, milliseconds) {
		secondSends.recordSilence(milliseconds);
	},
	[Signal.full](secondSends, _milliseconds, now) {
		secondSends.recordScarcity(now);
	},
};

/** One attempt. `send` is called once. */
export class RequestAttempt {
	readonly #dependencies: AttemptDependencies;
	readonly #request: AttemptedRequest;
	readonly #listener: AttemptListener;
	#sent: SentAttempt | undefined;
	/** The status of the upstream's refusal; 0 if it did not refuse. */
	#refusalStatus = 0;
	#hasHead = false;
	#isOvertaken = false;

	constructor(dependencies: AttemptDependencies, request: AttemptedRequest, readonly upstream: CachedUpstream, listener: AttemptListener) {
		this.#dependencies = dependencies;
		this.#request = request;
		this.#listener = listener;
	}

	/** Whether the head of an answer was received. */
	get hasHead(): boolean {
		return this.#hasHead;
	}

	/** Whether another attempt answered first. */
	get isOvertaken(): boolean {
		return this.#isOvertaken;
	}

	/** Sends the request to the upstream. */
	send(now: MonotonicTime): void {
		const {table, buffering} = this.#dependencies;
		const {
			exchange, path, body, deadline, route, service, choice,
		} = this.#request;
		const {upstream} = this;
		const timeoutMilliseconds = deadline - now;
		upstream.load.inFlight += 1;
		choice.recordSend(upstream, now);
		choice.attempted.push(upstream.id);
		this.#sent = upstream.pool.send({
			method: exchange.request.method ?? 'GET',
			path,
			headers: this.#headers(timeoutMilliseconds),
			body,
			timeoutMilliseconds,
			refusedOn: choice.refusedOn,
			rules: this.#rules(),
			buffering,
			answerSize: route.answerSize ?? AnswerSize.ordinary,
			mayStart: () => !exchange.hasDisconnected && table.isCurrent(upstream) && table.isOpen(upstream, service, monotonicNow()) && choice.mayStart(upstream, monotonicNow()),
			streamedAnswer: {
				begin: (status, answerHeaders) => {
					this.#listener.onStream(this);
					exchange.startStream(status, answerHeaders);
				},
				write: chunk => this.#forwardChunk(chunk),
			},
			onEnd: result => {
				this.#finish(result);
			},
		});
	}

	/** Closes the connection to the upstream. */
	cancel(): void {
		this.#sent?.cancel();
	}

	/** Closes the connection to the upstream, as another attempt answered first. */
	overtake(): void {
		this.#isOvertaken = true;
		this.cancel();
	}

	#headers(timeoutMilliseconds: Milliseconds): RawHeaders {
		const {fields} = this.#dependencies;
		const {request} = this.#request.exchange;
		const headers = requestHeaders(request.rawHeaders, request.headers.connection, new Set([fields.deadline, fields.expectedUpstream]));
		headers.push(fields.deadline, String(Math.floor(timeoutMilliseconds)), fields.expectedUpstream, this.upstream.id);
		return headers;
	}

	#rules(): Parameters<CachedUpstream['pool']['send']>[0]['rules'] {
		const {fields} = this.#dependencies;
		return {
			onAnswerHead: (status, head) => {
				this.#hasHead = true;
				this.#recordNotices(status, head);
			},
			isNotRun: (status, head) => {
				this.#refusalStatus = status;
				return isNotRun(fields, head);
			},
			isForeign: (status, head, isFirst) => isForeign(fields, this.#request.identifier, {status, head, isFirst}),
		};
	}

	#recordNotices(status: number, head: AnswerHead): void {
		const {fields, entryCount, random, requestLog} = this.#dependencies;
		const {upstream} = this;
		const figures = toldLoadOf(fields, this.#request.identifier, head);
		if (figures !== undefined) {
			upstream.load.told.record(figures, upstream.load.inFlight - 1, monotonicNow());
		}

		for (const notice of noticesOf(fields, status, head, wallNow())) {
			const changes = recordUpstreamNotice(upstream, notice, entryCount(), random());
			requestLog.noticed({
				request: this.#request, upstream, notice, changes,
			});
		}
	}

	#forwardChunk(chunk: Uint8Array): boolean {
		const {exchange} = this.#request;
		const hasRoom = exchange.write(chunk);
		if (!hasRoom) {
			exchange.onDrain(() => this.#sent?.resume());
		}

		return hasRoom;
	}

	#finish(result: AttemptResult): void {
		const now = monotonicNow();
		const {upstream} = this;
		const {observation, milliseconds} = result;
		const signal = this.#signalOf(result);
		upstream.load.inFlight -= 1;
		upstream.load.record(signal, milliseconds, now);
		const {choice, service} = this.#request;
		if (service.secondSends !== undefined) {
			secondSendRecords[signal]?.(service.secondSends, milliseconds, now);
		}

		this.#recordResult(result, now);
		if (isMisdirected(observation, this.#refusalStatus)) {
			choice.target?.recordMisdirected(now);
		}

		this.#listener.onEnd(this, result, now);
	}

	#signalOf({observation, answer}: AttemptResult): Signal {
		return this.#isOvertaken && observation === AttemptObservation.cancelledAfterFirstByte ? Signal.overtaken : signalOf(observation, this.#refusalStatus, answer?.status);
	}

	#recordResult({observation, milliseconds}: AttemptResult, now: MonotonicTime): void {
		const {requestLog, countAnswer} = this.#dependencies;
		const {choice, service, deadline} = this.#request;
		if (this.#isOvertaken) {
			return;
		}

		if (observation !== AttemptObservation.wholeAnswer) {
			requestLog.attemptFailed({
				request: this.#request, upstream: this.upstream, observation, status: this.#refusalStatus, milliseconds, left: deadline - now,
			});
		} else if (choice.target !== undefined) {
			countAnswer(service.name, this.upstream.id, milliseconds);
		}
	}
}
