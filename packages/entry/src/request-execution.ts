/**
 * Processes one request: finds its route and upstream, makes attempts and answers.
 * The tables of `routing` and `gateway` decide what to do next; this file carries
 * it out.
 */
import {Buffer} from 'node:buffer';
import {monotonicNow, wallNow} from '@dogwooddeck/clock/monotonic';
import {AnswerSize, type CallerLimits} from '@dogwooddeck/directory/item';
import {type AnswerBuffering} from '@dogwooddeck/gateway/answer-buffering';
import {type BodyBuffering} from '@dogwooddeck/gateway/body-buffering';
import {retryDelay} from '@dogwooddeck/gateway/refusal';
import {findRoute, type NamedRoute} from '@dogwooddeck/gateway/route-table';
import {Signal} from '@dogwooddeck/gateway/upstream-load';
import {type WaitingRequest} from '@dogwooddeck/gateway/waiting';
import {keyCount, type UpstreamIncarnation} from '@dogwooddeck/key-lease/range';
import {type Milliseconds, type MonotonicTime} from '@dogwooddeck/model/identifiers';
import {Outcome} from '@dogwooddeck/model/outcome';
import {dispatch, type HandlerTable} from '@dogwooddeck/model/transition';
import {RefusalCause} from '@dogwooddeck/room/message';
import {mayRetry, AttemptObservation, observationRules} from '@dogwooddeck/routing/outcome';
import {type AnswerHead, requestHeaders} from '@dogwooddeck/upstream-client/headers';
import {
	isForeign, isMisdirected, isNotRun, noticesOf, signalOf,
} from './answer-rules.js';
import {type AttemptResult, type SentAttempt} from './attempt.js';
import {BodyProblem, type CallerExchange} from './caller-exchange.js';
import {type KeyTarget} from './key-target.js';
import {notRunStatus, Refusal, refusalStatus} from './refusals.js';
import {type RequestLog} from './request-log.js';
import {
	recordFirstAttempt, tryRecordRetry, type CachedService, type CachedUpstream, type ServiceTable,
} from './service-table.js';
import {type FieldNames} from './settings.js';
import {type PlaceHolder, type Placement, type SharedRoom} from './shared-room.js';
import {recordUpstreamNotice} from './upstream-notices.js';
import {UpstreamChoice, type WaitEstimate} from './upstream-choice.js';

/** The dependencies that all requests of an instance share. */
export type RequestDependencies = {
	readonly table: ServiceTable;
	readonly fields: FieldNames;
	readonly requestLog: RequestLog;
	/** Whether the directory has routes. Until then, every request is refused as `noDirectory`. */
	readonly isReady: () => boolean;
	readonly limits: () => CallerLimits | undefined;
	readonly entryCount: () => number;
	/** The buffered bytes of all answers. */
	readonly buffering: AnswerBuffering;
	/** The kept bytes of all bodies of requests. */
	readonly bodyBuffering: BodyBuffering;
	/** Counts a request for a key. */
	readonly countKey: (service: string, key: number) => void;
	/** Counts an answer of an upstream of a keyed service, and the time it took. */
	readonly countAnswer: (service: string, upstream: string, took: Milliseconds) => void;
	/** Starts waiting requests of a service for which there is room now. */
	readonly advance: (service: CachedService) => void;
	/** Calls back once closed connections of callers have been noticed. */
	readonly afterPendingReads: (callback: () => void) => void;
	/** When this instance ends requests in flight; infinite unless it is stopping. */
	readonly endsAt: () => MonotonicTime;
	/** The fraction of the requests for its keys that an upstream can process, as reported by control instances. */
	readonly shareOf: (upstream: UpstreamIncarnation) => number;
	/** Returns numbers between 0 and 1. */
	readonly random: () => number;
	/** Undefined if the settings don't call for it. */
	readonly sharedRoom?: SharedRoom | undefined;
};

/** The maximum number of attempts of a request, including those that upstreams refuse. */
const maximumAttempts = 4;

/** The largest body that is accepted before limits are declared, in bytes. */
const maximumBodyBytes = 67_108_864;

/** A request with less time than this left until its deadline is not sent. */
const minimumSendMilliseconds: Milliseconds = 5;

/** The maximum number of requests that wait for one service; more would only time out. */
const maximumQueueLength = 400;

const refusalOfBody: Readonly<Record<BodyProblem, Refusal>> = {
	[BodyProblem.tooLarge]: Refusal.bodyTooLarge,
	[BodyProblem.truncated]: Refusal.unknownOutcome,
	[BodyProblem.noRoom]: Refusal.noBodyRoom,
};

const refusalOfKeeper: Readonly<Record<RefusalCause, Refusal>> = {
	[RefusalCause.noTimeToWait]: Refusal.noTimeToWait,
	[RefusalCause.waitedTooLong]: Refusal.waitedTooLong,
};

const millisecondsPattern = /^\d{1,9}$/v;
const keyPattern = /^\d{1,5}$/v;

function firstValue(value: string | readonly string[] | undefined): string | undefined {
	return typeof value === 'string' ? value : value?.[0];
}

/** Why a wait would have been too long. */
type RefusalDetails = Partial<Pick<WaitEstimate, 'lineWait' | 'paceWait'>> & {
	/** The rest of the pause that the upstreams asked for, or the wait that the keeper of the room expects. */
	readonly pauseMilliseconds?: Milliseconds;
};

/** Returns the key of a request; undefined if the field is missing or holds no key. */
function keyOf(text: string | undefined): number | undefined {
	return text !== undefined && keyPattern.test(text) && Number(text) < keyCount ? Number(text) : undefined;
}

/** One request, from its arrival to its answer. */
export class RequestExecution {
	readonly identifier: string | undefined;
	readonly arrivedAt: MonotonicTime = monotonicNow();
	readonly #dependencies: RequestDependencies;
	readonly #exchange: CallerExchange;
	readonly #path: string;
	#route: NamedRoute | undefined;
	#service: CachedService | undefined;
	/** Set with the service. */
	#choice: UpstreamChoice | undefined;
	#body: Buffer | undefined;
	#deadline: MonotonicTime = Infinity;
	#attempt: SentAttempt | undefined;
	#waiter: WaitingRequest | undefined;
	#place: PlaceHolder | undefined;
	/** The number of attempts that may have run the request. */
	#uncertainAttempts = 0;
	/** The status of the last upstream's refusal; 0 if it did not refuse. */
	#upstreamRefusalStatus = 0;

	constructor(dependencies: RequestDependencies, exchange: CallerExchange, path: string) {
		this.#dependencies = dependencies;
		this.#exchange = exchange;
		this.#path = path;
		this.identifier = firstValue(exchange.request.headers[dependencies.fields.requestIdentifier]);
	}

	get #attempts(): number {
		return this.#choice?.attempted.length ?? 0;
	}

	/** Finds the route and reads the body. */
	start(): void {
		const {
			table, isReady, limits, bodyBuffering,
		} = this.#dependencies;
		const {headers} = this.#exchange.request;
		if (!isReady()) {
			this.#refuse(Refusal.noDirectory);
			return;
		}

		this.#route = findRoute(table.routes, headers.host ?? '', this.#path);
		if (this.#route === undefined) {
			this.#refuse(Refusal.noRoute);
			return;
		}

		const requestedTimeout = firstValue(headers[this.#dependencies.fields.deadline]);
		const timeout = this.#route.timeoutMilliseconds;
		this.#deadline = this.arrivedAt + (requestedTimeout !== undefined && millisecondsPattern.test(requestedTimeout) ? Math.min(Number(requestedTimeout), timeout) : timeout);
		if (this.#deadline > this.#dependencies.endsAt()) {
			this.#refuse(Refusal.stopping);
			return;
		}

		this.#exchange.onDisconnect(() => {
			this.#cancel();
		});
		this.#exchange.readBody(limits()?.bodyBytes ?? maximumBodyBytes, bodyBuffering, (body, problem) => {
			this.#handleBody(body, problem);
		});
	}

	#handleBody(body: Buffer | undefined, problem: BodyProblem | undefined): void {
		if (problem !== undefined) {
			this.#refuse(refusalOfBody[problem]);
			return;
		}

		const {table, fields, countKey} = this.#dependencies;
		const route = this.#route!;
		this.#body = body;
		this.#service = table.service(table.split(route.name, route.targets).next());
		recordFirstAttempt(this.#service);
		const key = this.#service.keyed ? keyOf(firstValue(this.#exchange.request.headers[fields.key])) : undefined;
		if (this.#service.keyed && key === undefined) {
			this.#refuse(Refusal.badKey);
			return;
		}

		this.#choice = new UpstreamChoice(this.#dependencies, this.#service, route, key);
		const {target} = this.#choice;
		if (target !== undefined) {
			countKey(this.#service.name, target.key);
			if (!this.#isAdmitted(this.#service, target)) {
				this.#refuse(Refusal.holderOverloaded);
				return;
			}
		}

		this.#dispatch();
	}

	/** Admits only a fraction of the least urgent requests for an overloaded holder, unless the pace of keys limits them already. */
	#isAdmitted(service: CachedService, target: KeyTarget): boolean {
		const {table, shareOf, random} = this.#dependencies;
		const {holder} = target;
		return holder === undefined || target.isPaced(holder) || this.#route!.priority < table.leastUrgentPriority(service.name) || random() < shareOf(holder.record);
	}

	/** Sends the request if there is room, or queues it, or refuses it. */
	#dispatch(): void {
		this.#dependencies.afterPendingReads(() => {
			if (!this.#exchange.hasDisconnected) {
				this.#dispatchNow();
			}
		});
	}

	#dispatchNow(): void {
		const {sharedRoom} = this.#dependencies;
		if (sharedRoom?.covers(this.#service!) !== true || this.#choice!.isOutsideAllowedRegions) {
			this.#dispatchByGuess();
		} else {
			this.#requestPlace(sharedRoom, monotonicNow());
		}
	}

	/** Asks for a place at an upstream; without a keeper, the request uses what no keeper grants. */
	#requestPlace(sharedRoom: SharedRoom, now: MonotonicTime): void {
		const choice = this.#choice!;
		const service = this.#service!;
		const {until} = choice.estimateWait(this.arrivedAt, this.#deadline, now);
		if (this.#refuseIfClosed(now, until)) {
			return;
		}

		const dispatchAlone = () => {
			choice.restrictTo(upstream => sharedRoom.mayUseAlone(service, upstream));
			this.#dispatchByGuess();
		};

		const handlers: HandlerTable<Placement, [], void> = {
			send: ({upstream}) => {
				const at = monotonicNow();
				const chosen = this.#deadline - at < minimumSendMilliseconds ? undefined : choice.findAvailable(upstream, at);
				if (chosen === undefined) {
					this.#place?.release({hasFailed: true});
					dispatchAlone();
				} else {
					this.#send(chosen, at);
				}
			},
			refuse: ({cause, retryWithin}) => {
				this.#refuse(refusalOfKeeper[cause], {lineWait: retryWithin, pauseMilliseconds: retryWithin});
			},
			alone: dispatchAlone,
		};
		choice.restrictTo(undefined);
		this.#place = sharedRoom.request(service.name, {
			priority: this.#route!.priority, startBy: Math.max(now, until), deadline: this.#deadline, otherZones: choice.otherZones,
		}, placement => {
			// As before a first attempt: a caller that has left is noticed before anything is sent for it.
			this.#dependencies.afterPendingReads(() => {
				if (this.#exchange.hasDisconnected) {
					this.#place?.release();
				} else {
					dispatch(handlers, placement);
				}
			});
		});
	}

	/** Sends the request if this instance expects room, or queues it, or refuses it. */
	#dispatchByGuess(): void {
		const now = monotonicNow();
		if (this.#tryToSend(now) || this.#exchange.hasDisconnected) {
			return;
		}

		if (this.#choice!.isOutsideAllowedRegions) {
			this.#refuse(Refusal.noAllowedRegion);
			return;
		}

		const {queue} = this.#service!;
		const estimate = this.#choice!.estimateWait(this.arrivedAt, this.#deadline, now);
		if (this.#refuseIfClosed(now, estimate.until)) {
			return;
		}

		if (estimate.until <= now || queue.length >= maximumQueueLength) {
			this.#refuse(queue.length >= maximumQueueLength ? Refusal.queueFull : Refusal.waitedTooLong);
			return;
		}

		if (now + Math.max(estimate.lineWait, estimate.paceWait) > estimate.until) {
			this.#refuse(Refusal.noTimeToWait, estimate);
			return;
		}

		this.#waiter = {
			priority: this.#route!.priority,
			turn: estimate.turn,
			key: estimate.key,
			upstream: estimate.holder?.id,
			timesOutAt: estimate.until,
			tryToStart: at => this.#exchange.hasDisconnected || this.#tryToSend(at) || this.#refuseIfClosed(at, estimate.until),
			onTimeout: () => {
				this.#refuse(Refusal.waitedTooLong);
			},
		};
		queue.add(this.#waiter);
	}

	/** Refuses the request if the notices of its upstreams keep it from being sent by `until`. */
	#refuseIfClosed(now: MonotonicTime, until: MonotonicTime): boolean {
		const wait = this.#choice!.waitForOpen(now);
		if (wait === 0 || now + wait <= until) {
			return false;
		}

		this.#refuse(wait === Infinity ? Refusal.upstreamsLeaving : Refusal.upstreamsPaused, {pauseMilliseconds: wait === Infinity ? 0 : wait});
		return true;
	}

	#tryToSend(now: MonotonicTime): boolean {
		const chosen = this.#deadline - now < minimumSendMilliseconds ? undefined : this.#choice!.choose(now);
		if (chosen === undefined) {
			return false;
		}

		this.#waiter = undefined;
		this.#send(chosen, now);
		return true;
	}

	#send(upstream: CachedUpstream, now: MonotonicTime): void {
		const {fields, table} = this.#dependencies;
		const {request} = this.#exchange;
		const timeoutMilliseconds = this.#deadline - now;
		upstream.load.inFlight += 1;
		const {target, refusedOn, attempted} = this.#choice!;
		target?.recordSend(upstream, now);
		this.#upstreamRefusalStatus = 0;
		attempted.push(upstream.id);
		const headers = requestHeaders(request.rawHeaders, request.headers.connection, new Set([fields.deadline, fields.expectedUpstream]));
		headers.push(fields.deadline, String(Math.floor(timeoutMilliseconds)), fields.expectedUpstream, upstream.id);
		this.#attempt = upstream.pool.send({
			method: request.method ?? 'GET',
			path: this.#path,
			headers,
			body: this.#body,
			timeoutMilliseconds,
			refusedOn,
			rules: {
				onAnswerHead: (status, head) => {
					this.#recordNotices(upstream, status, head);
				},
				isNotRun: (status, head) => {
					this.#upstreamRefusalStatus = status;
					return isNotRun(fields, head);
				},
				isForeign: (status, head, isFirst) => isForeign(fields, this.identifier, {status, head, isFirst}),
			},
			buffering: this.#dependencies.buffering,
			answerSize: this.#route!.answerSize ?? AnswerSize.ordinary,
			mayStart: () => !this.#exchange.hasDisconnected && table.isCurrent(upstream) && table.isOpen(upstream, this.#service!, monotonicNow()),
			streamedAnswer: {
				begin: (status, answerHeaders) => {
					this.#exchange.startStream(status, answerHeaders);
				},
				write: chunk => this.#forwardChunk(chunk),
			},
			onEnd: result => {
				this.#finishAttempt(upstream, result);
			},
		});
	}

	#recordNotices(upstream: CachedUpstream, status: number, head: AnswerHead): void {
		const {fields, entryCount, random, requestLog} = this.#dependencies;
		for (const notice of noticesOf(fields, status, head, wallNow())) {
			const changes = recordUpstreamNotice(upstream, notice, entryCount(), random());
			requestLog.noticed({
				request: this, upstream, notice, changes,
			});
		}
	}

	#forwardChunk(chunk: Uint8Array): boolean {
		const hasRoom = this.#exchange.write(chunk);
		if (!hasRoom) {
			this.#exchange.onDrain(() => this.#attempt?.resume());
		}

		return hasRoom;
	}

	#finishAttempt(upstream: CachedUpstream, result: AttemptResult): void {
		const {requestLog, advance, countAnswer} = this.#dependencies;
		const now = monotonicNow();
		this.#attempt = undefined;
		upstream.load.inFlight -= 1;
		const signal = signalOf(result.observation, this.#upstreamRefusalStatus, result.answer?.status);
		upstream.load.record(signal, result.milliseconds, now);
		this.#place?.release(signal === Signal.answered ? {took: Math.round(result.milliseconds), hasFailed: false} : {hasFailed: signal !== Signal.none});
		this.#place = undefined;
		if (result.observation !== AttemptObservation.wholeAnswer) {
			requestLog.attemptFailed({
				request: this, upstream, observation: result.observation, status: this.#upstreamRefusalStatus, milliseconds: result.milliseconds, left: this.#deadline - now,
			});
		}

		if (result.observation === AttemptObservation.wholeAnswer && this.#choice?.target !== undefined) {
			countAnswer(this.#service!.name, upstream.id, result.milliseconds);
		}

		if (isMisdirected(result.observation, this.#upstreamRefusalStatus)) {
			this.#choice?.target?.recordMisdirected(now);
		}

		this.#uncertainAttempts += observationRules[result.observation].outcome === Outcome.notRun ? 0 : 1;
		this.#conclude(upstream, result, now);
		advance(this.#service!);
	}

	#conclude(upstream: CachedUpstream, result: AttemptResult, now: MonotonicTime): void {
		if (this.#exchange.hasDisconnected) {
			return;
		}

		if (this.#exchange.isAnswered) {
			this.#concludeStreamed(upstream, result);
		} else if (result.answer === undefined) {
			this.#retryOrRefuse(result, now);
		} else {
			this.#exchange.answer(result.answer.status, result.answer.headers, result.answer.body);
			this.#dependencies.requestLog.answered({
				request: this, upstream, service: this.#service!.name, route: this.#route!.name, status: result.answer.status, attempts: this.#attempts,
			});
		}
	}

	#concludeStreamed(upstream: CachedUpstream, result: AttemptResult): void {
		if (result.observation === AttemptObservation.wholeAnswer) {
			this.#exchange.end();
		} else {
			this.#exchange.abort();
		}

		this.#dependencies.requestLog.answered({
			request: this, upstream, service: this.#service!.name, route: this.#route!.name, status: 0, attempts: this.#attempts,
		});
	}

	#retryOrRefuse({observation}: AttemptResult, now: MonotonicTime): void {
		const route = this.#route!;
		if (observation === AttemptObservation.deadlinePassedAfterFirstByte || now >= this.#deadline - minimumSendMilliseconds) {
			this.#refuse(Refusal.timeout);
			return;
		}

		if (!mayRetry(observation, route.idempotent)) {
			this.#refuse(Refusal.unknownOutcome);
		} else if (this.#uncertainAttempts >= route.maxAttempts || this.#attempts >= maximumAttempts) {
			this.#refuse(Refusal.attemptsSpent);
		} else if (tryRecordRetry(this.#service!)) {
			this.#dispatch();
		} else {
			this.#refuse(Refusal.budgetSpent);
		}
	}

	/** Cancels the request, as the caller has disconnected. */
	#cancel(): void {
		this.#attempt?.cancel();
		this.#attempt = undefined;
		this.#place?.release();
		if (this.#waiter !== undefined) {
			this.#service?.queue.remove(this.#waiter);
			this.#waiter = undefined;
		}
	}

	/** Answers without an upstream. A status that means "not run" is sent only if that is certain. */
	#refuse(refusal: Refusal, {lineWait, paceWait, pauseMilliseconds = 0}: RefusalDetails = {}): void {
		this.#waiter = undefined;
		const status = refusalStatus(refusal, this.#uncertainAttempts > 0);
		const pause = pauseMilliseconds + retryDelay(this.#route?.objectiveMilliseconds ?? 1000, this.#dependencies.random());
		const body = Buffer.from(`${refusal}\n`);
		const identified = this.identifier === undefined ? [] : [this.#dependencies.fields.requestIdentifier, this.identifier];
		const retry = status === notRunStatus ? ['Retry-After', (pause / 1000).toFixed(3)] : [];
		this.#exchange.answer(status, ['Content-Type', 'text/plain', ...identified, ...retry], body);
		this.#dependencies.requestLog.refused({
			request: this,
			refusal,
			status,
			service: this.#service?.name,
			route: this.#route?.name,
			key: this.#choice?.target?.key,
			attempts: this.#attempts,
			waiting: this.#service?.queue.length ?? 0,
			lineWait,
			paceWait,
			pauseWait: pauseMilliseconds === 0 ? undefined : pauseMilliseconds,
		});
	}
}
