/**
 * The attempts of one request that are in flight: one, and if its answer is late, a
 * second one at another upstream (`gateway/second-send` decides). The first whole
 * answer, or the first one that is streamed, is the request's; the other attempt is
 * cancelled. The failure of one counts only once the other has failed too.
 */
import {monotonicNow} from '@dogwooddeck/clock/monotonic';
import {maySendTwice, type SecondSends, SecondSendVerdict} from '@dogwooddeck/gateway/second-send';
import {type MonotonicTime} from '@dogwooddeck/model/identifiers';
import {Outcome} from '@dogwooddeck/model/outcome';
import {AttemptObservation, observationRules} from '@dogwooddeck/routing/outcome';
import {type AttemptResult} from './attempt.js';
import {type AttemptDependencies, type AttemptedRequest, RequestAttempt} from './request-attempt.js';
import {type SecondSendLog} from './second-send-log.js';
import {type CachedService, type CachedUpstream} from './service-table.js';

/** What the attempts of a request depend on. */
export type GroupDependencies = AttemptDependencies & {
	/** Starts waiting requests of a service for which there is room now. */
	readonly advance: (service: CachedService) => void;
	/** Calls back once closed connections of callers have been noticed. */
	readonly afterPendingReads: (callback: () => void) => void;
	/** Undefined where second sends are off. */
	readonly secondSendLog?: SecondSendLog;
};

/** Receives the result that counts for the request, when no attempt is in flight any more. */
export type GroupListener = (upstream: CachedUpstream, result: AttemptResult, now: MonotonicTime) => void;

/** The maximum number of attempts of a request, including those that upstreams refuse. */
export const maximumAttempts = 4;

/** The attempts of one request. */
export class AttemptGroup {
	readonly #dependencies: GroupDependencies;
	readonly #request: AttemptedRequest;
	readonly #onEnd: GroupListener;
	#running: readonly RequestAttempt[] = [];
	/** The number of attempts that may have run the request. */
	#uncertainAttempts = 0;
	#second: RequestAttempt | undefined;
	#secondTimer: NodeJS.Timeout | undefined;

	constructor(dependencies: GroupDependencies, request: AttemptedRequest, onEnd: GroupListener) {
		this.#dependencies = dependencies;
		this.#request = request;
		this.#onEnd = onEnd;
	}

	/** The number of ended attempts that may have run the request. */
	get uncertainAttempts(): number {
		return this.#uncertainAttempts;
	}

	/** Sends the request; no attempt is in flight. */
	send(upstream: CachedUpstream, now: MonotonicTime): void {
		this.#start(upstream, now);
		const {service, route, body} = this.#request;
		const {secondSends} = service;
		if (secondSends !== undefined && this.#second === undefined && maySendTwice(route, service.keyed, body?.length ?? 0)) {
			this.#scheduleSecond(secondSends);
		}
	}

	/** Cancels all attempts, as the caller has disconnected. */
	cancel(): void {
		clearTimeout(this.#secondTimer);
		for (const attempt of this.#running) {
			attempt.cancel();
		}
	}

	#start(upstream: CachedUpstream, now: MonotonicTime): RequestAttempt {
		const attempt = new RequestAttempt(this.#dependencies, this.#request, upstream, {
			onStream: streamed => {
				this.#settleOn(streamed);
			},
			onEnd: (ended, result, endedAt) => {
				this.#finish(ended, result, endedAt);
			},
		});
		this.#running = [...this.#running, attempt];
		attempt.send(now);
		return attempt;
	}

	#scheduleSecond(secondSends: SecondSends): void {
		const {delay} = secondSends;
		if (delay !== undefined && this.#running.length > 0) {
			clearTimeout(this.#secondTimer);
			this.#secondTimer = setTimeout(() => {
				// The answer may have arrived while the event loop was busy.
				this.#dependencies.afterPendingReads(() => {
					this.#decideSecond(secondSends);
				});
			}, delay);
		}
	}

	#decideSecond(secondSends: SecondSends): void {
		const [first] = this.#running;
		const {exchange, choice, service, route, deadline} = this.#request;
		if (first === undefined || this.#second !== undefined || exchange.hasDisconnected || exchange.isAnswered) {
			return;
		}

		const now = monotonicNow();
		const {loads, upstream} = choice.chooseAlternative(secondSends.settings.otherRegions, now);
		const verdict = secondSends.judge({
			hasHead: first.hasHead,
			attemptsLeft: Math.min(route.maxAttempts - this.#uncertainAttempts - this.#running.length, maximumAttempts - choice.attempted.length),
			waiting: service.queue.length,
			loads,
			alternative: upstream?.load,
			left: deadline - now,
			retries: service.budget,
		}, now);
		this.#dependencies.secondSendLog?.decided({
			request: this.#request, service: service.name, route: route.name, first: first.upstream, second: upstream, verdict,
		});
		if (verdict === SecondSendVerdict.send) {
			secondSends.recordSend();
			this.#second = this.#start(upstream!, now);
		}
	}

	#finish(attempt: RequestAttempt, result: AttemptResult, now: MonotonicTime): void {
		const {observation} = result;
		this.#running = this.#running.filter(other => other !== attempt);
		this.#uncertainAttempts += observationRules[observation].outcome === Outcome.notRun ? 0 : 1;
		if (attempt.isOvertaken) {
			return;
		}

		if (observation === AttemptObservation.wholeAnswer) {
			this.#settleOn(attempt);
		} else if (this.#running.length > 0) {
			this.#dependencies.advance(this.#request.service);
			return;
		}

		clearTimeout(this.#secondTimer);
		this.#onEnd(attempt.upstream, result, now);
	}

	/** Uses the answer of an attempt, and cancels the other one. */
	#settleOn(attempt: RequestAttempt): void {
		const others = this.#running.filter(other => other !== attempt);
		for (const other of others) {
			other.overtake();
		}

		if (attempt === this.#second && others.length > 0) {
			this.#dependencies.secondSendLog?.answered(this.#request.service.name);
		}
	}
}
