/**
 * Processes one request: finds its route and upstream, makes attempts and answers.
 * The tables of `routing` and `gateway` decide what to do next; this file carries
 * it out.
 */
import {type Buffer} from 'node:buffer';
import {monotonicNow} from '@dogwooddeck/clock/monotonic';
import {type CallerLimits} from '@dogwooddeck/directory/item';
import {type BodyBuffering} from '@dogwooddeck/gateway/body-buffering';
import {findRoute, type NamedRoute} from '@dogwooddeck/gateway/route-table';
import {type WaitingRequest} from '@dogwooddeck/gateway/waiting';
import {type UpstreamIncarnation} from '@dogwooddeck/key-lease/range';
import {type Milliseconds, type MonotonicTime} from '@dogwooddeck/model/identifiers';
import {mayRetry, AttemptObservation} from '@dogwooddeck/routing/outcome';
import {type AttemptResult} from './attempt.js';
import {AttemptGroup, type GroupDependencies, maximumAttempts} from './attempt-group.js';
import {BodyProblem, type CallerExchange} from './caller-exchange.js';
import {type KeyTarget} from './key-target.js';
import {PlaceRequest} from './place-request.js';
import {answerRefusal, type RefusalDependencies, type RefusalDetails} from './refusal-answer.js';
import {Refusal} from './refusals.js';
import {firstValue, keyOf, timeoutOf} from './request-fields.js';
import {
	recordFirstAttempt, tryRecordRetry, type CachedService, type CachedUpstream,
} from './service-table.js';
import {type SharedRoom} from './shared-room.js';
import {UpstreamChoice} from './upstream-choice.js';

/** The dependencies that all requests of an instance share. */
export type RequestDependencies = GroupDependencies & RefusalDependencies & {
	/** Whether the directory has routes. Until then, every request is refused as `noDirectory`. */
	readonly isReady: () => boolean;
	readonly limits: () => CallerLimits | undefined;
	/** The kept bytes of all bodies of requests. */
	readonly bodyBuffering: BodyBuffering;
	/** Counts a request for a key. */
	readonly countKey: (service: string, key: number) => void;
	/** When this instance ends requests in flight; infinite unless it is stopping. */
	readonly endsAt: () => MonotonicTime;
	/** The fraction of the requests for its keys that an upstream can process, as reported by control instances. */
	readonly shareOf: (upstream: UpstreamIncarnation) => number;
	/** The fraction of the requests for one key that its holder can process; undefined if none is announced for the key. */
	readonly keyShareOf: (upstream: UpstreamIncarnation, key: number) => number | undefined;
	/** Undefined if the settings don't call for it. */
	readonly sharedRoom?: SharedRoom | undefined;
};

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
	[BodyProblem.late]: Refusal.bodyLate,
};

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
	/** Set with the first attempt. */
	#attemptGroup: AttemptGroup | undefined;
	#waiter: WaitingRequest | undefined;
	/** Set where room is shared. */
	#place: PlaceRequest | undefined;

	constructor(dependencies: RequestDependencies, exchange: CallerExchange, path: string) {
		this.#dependencies = dependencies;
		this.#exchange = exchange;
		this.#path = path;
		this.identifier = firstValue(exchange.request.headers[dependencies.fields.requestIdentifier]);
	}

	get #attempts(): number {
		return this.#choice?.attempted.length ?? 0;
	}

	/** The number of attempts that may have run the request. */
	get #uncertainAttempts(): number {
		return this.#attemptGroup?.uncertainAttempts ?? 0;
	}

	/** Until when it may be sent to be answered before this instance stops; infinite unless that is stopping. */
	get #latestStart(): MonotonicTime {
		return this.#choice!.latestStart(this.#dependencies.endsAt());
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

		this.#deadline = this.arrivedAt + timeoutOf(headers[this.#dependencies.fields.deadline], this.#route.timeoutMilliseconds);
		if (this.#deadline > this.#dependencies.endsAt()) {
			this.#refuse(Refusal.stopping);
			return;
		}

		this.#exchange.onDisconnect(() => {
			this.#cancel();
		});
		this.#exchange.readBody({maximumBytes: limits()?.bodyBytes ?? maximumBodyBytes, timeoutMilliseconds: this.#deadline - this.arrivedAt, buffering: bodyBuffering}, (body, problem) => {
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
		const key = this.#service.keyed ? keyOf(this.#exchange.request.headers[fields.key]) : undefined;
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

	/**
	 * Admits only a fraction of the requests for a key that exceeds its holder's capacity, and of the least urgent
	 * ones for an overloaded holder, unless the pace of keys limits them already.
	 */
	#isAdmitted(service: CachedService, target: KeyTarget): boolean {
		const {
			table, shareOf, keyShareOf, random,
		} = this.#dependencies;
		const {holder} = target;
		if (holder === undefined || target.isPaced(holder)) {
			return true;
		}

		const keyShare = keyShareOf(holder.record, target.key);
		return keyShare === undefined
			? this.#route!.priority < table.leastUrgentPriority(service.name) || random() < shareOf(holder.record)
			: random() < keyShare;
	}

	/** Sends the request if there is room, or queues it, or refuses it. */
	#dispatch(): void {
		this.#whenReady(() => {
			this.#dispatchNow();
		});
	}

	/** Calls back once closed connections of callers have been noticed, unless the caller has left. */
	#whenReady(callback: () => void): void {
		this.#dependencies.afterPendingReads(() => {
			if (!this.#exchange.hasDisconnected) {
				callback();
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
		const {until} = this.#choice!.estimateWait(this.arrivedAt, this.#deadline, now);
		if (this.#refuseIfStopping(now) || this.#refuseIfClosed(now, until)) {
			return;
		}

		this.#place ??= new PlaceRequest(sharedRoom, this.#service!, this.#choice!);
		this.#place.ask({
			priority: this.#route!.priority,
			startBy: Math.max(now, Math.min(until, this.#latestStart)),
			deadline: this.#deadline,
			minimumMilliseconds: minimumSendMilliseconds,
			random: this.#dependencies.random(),
		}, callback => {
			this.#whenReady(callback);
		}, {
			onPlace: (upstream, at) => {
				if (this.#refuseIfStopping(at)) {
					this.#place?.release();
				} else {
					this.#send(upstream, at);
				}
			},
			onRefused: (refusal, wait) => {
				this.#refuse(refusal, {lineWait: wait, pauseMilliseconds: wait});
			},
			onAlone: () => {
				this.#dispatchByGuess();
			},
		});
	}

	/** Sends the request if this instance expects room, or queues it, or refuses it. */
	#dispatchByGuess(): void {
		const now = monotonicNow();
		if (this.#refuseIfStopping(now) || this.#tryToSend(now) || this.#exchange.hasDisconnected) {
			return;
		}

		this.#service!.secondSends?.recordScarcity(now);

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
			candidates: this.#choice!.candidates,
			timesOutAt: estimate.until,
			tryToStart: at => this.#exchange.hasDisconnected || this.#refuseIfStopping(at) || this.#tryToSend(at) || this.#refuseIfClosed(at, estimate.until),
			onTimeout: () => {
				this.#refuse(Refusal.waitedTooLong);
			},
		};
		queue.add(this.#waiter);
	}

	/** Refuses the request if this instance is stopping, and no upstream is expected to answer it in time. */
	#refuseIfStopping(now: MonotonicTime): boolean {
		if (now < this.#latestStart) {
			return false;
		}

		this.#refuse(Refusal.stopping);
		return true;
	}

	/** Refuses the request if its upstreams are in evacuated zones, or their being cold or their notices keep it from being sent by `until`. */
	#refuseIfClosed(now: MonotonicTime, until: MonotonicTime): boolean {
		if (this.#choice!.isEvacuated(now)) {
			this.#refuse(Refusal.zoneEvacuated);
			return true;
		}

		const coldWait = this.#choice!.waitForCold(now);
		if (now + coldWait > until && coldWait > 0) {
			this.#refuse(Refusal.upstreamsCold, {pauseMilliseconds: coldWait});
			return true;
		}

		const wait = this.#choice!.waitForOpen(now);
		if (wait === 0 || now + wait <= until) {
			return false;
		}

		this.#refuse(wait === Infinity ? Refusal.upstreamsLeaving : Refusal.upstreamsPaused, {pauseMilliseconds: wait === Infinity ? 0 : wait});
		return true;
	}

	#tryToSend(now: MonotonicTime): boolean {
		const chosen = this.#deadline - now < minimumSendMilliseconds ? undefined : this.#choice!.choose(now);
		// The upstream with room may be slower than the one that would answer before this instance stops.
		if (chosen === undefined || now + chosen.load.cautiousLatency >= this.#dependencies.endsAt()) {
			return false;
		}

		this.#waiter = undefined;
		this.#send(chosen, now);
		return true;
	}

	#send(upstream: CachedUpstream, now: MonotonicTime): void {
		this.#attemptGroup ??= new AttemptGroup(this.#dependencies, {
			identifier: this.identifier,
			arrivedAt: this.arrivedAt,
			exchange: this.#exchange,
			path: this.#path,
			body: this.#body,
			deadline: this.#deadline,
			route: this.#route!,
			service: this.#service!,
			choice: this.#choice!,
		}, (answering, result, endedAt) => {
			this.#place?.finish(result);
			this.#conclude(answering, result, endedAt);
			this.#dependencies.advance(this.#service!);
		});
		this.#attemptGroup.send(upstream, now);
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
		this.#attemptGroup?.cancel();
		this.#place?.release();
		if (this.#waiter !== undefined) {
			this.#service?.queue.remove(this.#waiter);
			this.#waiter = undefined;
		}
	}

	#refuse(refusal: Refusal, details: RefusalDetails = {}): void {
		this.#waiter = undefined;
		answerRefusal(this.#dependencies, {
			identifier: this.identifier,
			arrivedAt: this.arrivedAt,
			exchange: this.#exchange,
			route: this.#route,
			service: this.#service,
			key: this.#choice?.target?.key,
			attempts: this.#attempts,
			mayHaveRun: this.#uncertainAttempts > 0,
		}, refusal, details);
	}
}
