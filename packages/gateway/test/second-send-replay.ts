/**
 * A replay of 60 instances in front of one service: each instance selects upstreams,
 * limits its requests and decides about second sends by the functions of the request
 * path. Upstreams have slots, a short queue, and refuse what doesn't fit.
 */
import {AnswerSize, type Route} from '@dogwooddeck/directory/item';
import {createRetryBudget, recordAttempt, type RetryBudget} from '@dogwooddeck/routing/budget';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {
	maySendTwice, SecondSends, type SecondSendSettings, SecondSendVerdict,
} from '@dogwooddeck/gateway/second-send';
import {Signal, UpstreamLoad} from '@dogwooddeck/gateway/upstream-load';
import {Distance, selectUpstream} from '@dogwooddeck/gateway/upstream-selection';

/** What an upstream does at a time, by its position. */
type Behaviour = (position: number, now: number) => number;

/** How the upstreams of a replay behave. */
export type Pattern = {
	/** Requests a second, of all instances together. */
	readonly perSecond: number;
	/** The factor of the work. */
	readonly slowness?: Behaviour;
	/** The share of requests that get no answer. */
	readonly silentShare?: Behaviour;
	/** The requests a second that others send. */
	readonly foreignPerSecond?: Behaviour;
};

/** What callers and upstreams saw. */
export type Replayed = {
	readonly requests: number;
	readonly answered: number;
	readonly extra: number;
	/** In milliseconds; a request without an answer counts with its deadline. */
	readonly p50: number;
	readonly p99: number;
	readonly p999: number;
};

export const instances = 60;
const upstreamCount = 20;
const slots = 3;
const queueLength = 6;
const workMilliseconds = 100;
const deadlineMilliseconds = 2000;
const maximumWaitMilliseconds = 300;
const networkMilliseconds = 2;
/** What instances use of the budget for retries, and the budget's slack. */
const retryRatio = 0.15;
const slack = 160;
const replayedMilliseconds = 40_000;
const countedFromMilliseconds = 10_000;

/** What the upstreams can answer a second. */
export const capacityPerSecond = upstreamCount * slots * 1000 / workMilliseconds;

const route: Route = {
	hostname: 'a.example', pathPrefix: '/', idempotent: true, answerSize: AnswerSize.ordinary, timeoutMilliseconds: deadlineMilliseconds, objectiveMilliseconds: 800, priority: 0, maxAttempts: 2, targets: [{service: 's', weight: 1}],
};

type Work = {isCancelled: boolean; readonly milliseconds: number; readonly onEnd: () => void};
type Candidate = {readonly id: string; readonly position: number; readonly distance: Distance; readonly load: UpstreamLoad; readonly cold: boolean; readonly isConnected: boolean};
type Send = {readonly work: Work; readonly candidate: Candidate; readonly sentAt: number};
type Request = {readonly arrivedAt: number; readonly tried: string[]; readonly sends: Set<Send>; extra: number; isDone: boolean};
type Instance = {readonly candidates: readonly Candidate[]; readonly seconds: SecondSends | undefined; waiting: Request[]; retries: RetryBudget};

class ReplayedUpstream {
	#queue: Work[] = [];
	#running = 0;
	readonly #at: (delay: number, event: () => void) => void;

	constructor(at: (delay: number, event: () => void) => void) {
		this.#at = at;
	}

	/** Returns whether there is room. */
	take(work: Work): boolean {
		this.#queue = this.#queue.filter(({isCancelled}) => !isCancelled);
		if (this.#running >= slots && this.#queue.length >= queueLength) {
			return false;
		}

		this.#queue.push(work);
		this.#advance();
		return true;
	}

	#advance(): void {
		while (this.#running < slots && this.#queue.length > 0) {
			const work = this.#queue.shift()!;
			if (!work.isCancelled) {
				this.#run(work);
			}
		}
	}

	#run(work: Work): void {
		this.#running += 1;
		this.#at(work.milliseconds, () => {
			this.#running -= 1;
			if (!work.isCancelled) {
				work.onEnd();
			}

			this.#advance();
		});
	}
}

function randomFrom(seed: number): () => number {
	const generator = xoroshiro128plus(seed);
	return () => uniformInt(generator, 0, 999_999) / 1_000_000;
}

/** Replays a pattern from a seed, without second sends if `settings` is undefined. */
export function replay(seed: number, pattern: Pattern, settings: SecondSendSettings | undefined): Replayed {
	const arrivals = randomFrom(seed);
	const runs = randomFrom(seed + 1000);
	const {perSecond, slowness = () => 1, silentShare = () => 0, foreignPerSecond = () => 0} = pattern;
	const events = new Map<number, Array<() => void>>();
	let now = 0;
	const at = (delay: number, event: () => void) => {
		const time = Math.max(now + 1, Math.round(now + delay));
		events.set(time, [...(events.get(time) ?? []), event]);
	};

	const upstreams = Array.from({length: upstreamCount}, () => new ReplayedUpstream(at));
	const entries = Array.from({length: instances}, (): Instance => {
		const seconds = settings === undefined ? undefined : new SecondSends(settings);
		seconds?.divide(instances, slack / 2);
		return {
			seconds, waiting: [], retries: createRetryBudget(retryRatio, slack / 2 / instances), candidates: upstreams.map((_, position) => ({
				id: `u${position}`, position, distance: Distance.sameZone, load: new UpstreamLoad(slots), cold: false, isConnected: true,
			})),
		};
	});
	const latencies: number[] = [];
	let requests = 0;
	let answered = 0;
	let extra = 0;

	const finish = (request: Request, isAnswered: boolean) => {
		request.isDone = true;
		if (request.arrivedAt >= countedFromMilliseconds) {
			requests += 1;
			answered += isAnswered ? 1 : 0;
			extra += request.extra;
			latencies.push(isAnswered ? now - request.arrivedAt : deadlineMilliseconds);
		}
	};

	const end = (send: Send, request: Request, signal: Signal) => {
		if (request.sends.delete(send)) {
			send.candidate.load.inFlight -= 1;
			send.candidate.load.record(signal, now - send.sentAt, now);
		}
	};

	const conclude = (entry: Instance, request: Request, winner: Send) => {
		end(winner, request, Signal.answered);
		entry.seconds?.recordAnswer(now - winner.sentAt);
		for (const loser of request.sends) {
			end(loser, request, Signal.overtaken);
			entry.seconds?.recordSilence(now - loser.sentAt);
			at(networkMilliseconds, () => {
				loser.work.isCancelled = true;
			});
		}

		finish(request, true);
		advance(entry);
	};

	const send = (entry: Instance, request: Request, candidate: Candidate) => {
		request.tried.push(candidate.id);
		candidate.load.inFlight += 1;
		const isSilent = runs() < silentShare(candidate.position, now);
		const milliseconds = workMilliseconds * slowness(candidate.position, now) * (0.6 + (0.8 * runs()));
		const work: Work = {
			isCancelled: false, milliseconds, onEnd() {
				at(networkMilliseconds, () => {
					if (request.sends.has(sent) && !isSilent) {
						conclude(entry, request, sent);
					}
				});
			},
		};
		const sent: Send = {work, candidate, sentAt: now};
		request.sends.add(sent);
		at(networkMilliseconds, () => {
			if (!upstreams[candidate.position]!.take(work)) {
				end(sent, request, Signal.full);
				entry.seconds?.recordScarcity(now);
				if (request.sends.size === 0 && !request.isDone) {
					retry(entry, request);
				}
			}
		});
	};

	const retry = (entry: Instance, request: Request) => {
		if (entry.retries.balance >= 1 && request.tried.length < 4) {
			entry.retries = recordAttempt(entry.retries, {kind: 'retry'}).state;
			dispatch(entry, request);
		} else {
			finish(request, false);
		}
	};

	const sendAgain = (entry: Instance, request: Request) => {
		const {seconds, candidates, waiting, retries} = entry;
		if (seconds === undefined || request.isDone || request.sends.size !== 1 || request.extra > 0) {
			return;
		}

		const idle = candidates.filter(({load}) => load.isIdle);
		const alternative = selectUpstream(idle, request.tried, now);
		const verdict = seconds.judge({
			hasHead: false, attemptsLeft: route.maxAttempts - 1, waiting: waiting.length, loads: candidates.map(({load}) => load), alternative: alternative?.load, left: request.arrivedAt + deadlineMilliseconds - now, retries,
		}, now);
		if (verdict === SecondSendVerdict.send) {
			seconds.recordSend();
			request.extra += 1;
			send(entry, request, alternative!);
		}
	};

	const tryToSend = (entry: Instance, request: Request): boolean => {
		const candidate = selectUpstream(entry.candidates, request.tried, now);
		if (candidate === undefined) {
			return false;
		}

		send(entry, request, candidate);
		const delay = entry.seconds?.delay;
		if (delay !== undefined && maySendTwice(route, false, 0)) {
			at(delay, () => {
				sendAgain(entry, request);
			});
		}

		return true;
	};

	const advance = (entry: Instance) => {
		entry.waiting = entry.waiting.filter(request => !request.isDone && !tryToSend(entry, request));
	};

	const dispatch = (entry: Instance, request: Request) => {
		if (entry.waiting.length === 0 && tryToSend(entry, request)) {
			return;
		}

		entry.seconds?.recordScarcity(now);
		entry.waiting.push(request);
		at(maximumWaitMilliseconds, () => {
			if (!request.isDone && request.sends.size === 0 && entry.waiting.includes(request)) {
				entry.waiting = entry.waiting.filter(other => other !== request);
				finish(request, false);
			}
		});
	};

	const arrive = () => {
		const entry = entries[Math.floor(arrivals() * instances)]!;
		const request: Request = {
			arrivedAt: now, tried: [], sends: new Set(), extra: 0, isDone: false,
		};
		entry.seconds?.recordRequest(Math.max(0, entry.retries.balance + retryRatio - entry.retries.capacity));
		entry.retries = recordAttempt(entry.retries, {kind: 'first-attempt'}).state;
		at(deadlineMilliseconds, () => {
			if (!request.isDone) {
				for (const sent of request.sends) {
					end(sent, request, Signal.silent);
					entry.seconds?.recordSilence(now - sent.sentAt);
					sent.work.isCancelled = true;
				}

				finish(request, false);
				advance(entry);
			}
		});
		dispatch(entry, request);
	};

	for (; now < replayedMilliseconds + deadlineMilliseconds; now += 1) {
		for (const event of events.get(now) ?? []) {
			event();
		}

		events.delete(now);
		if (now >= replayedMilliseconds) {
			continue;
		}

		for (let left = perSecond / 1000; left > 0; left -= 1) {
			if (arrivals() < left) {
				arrive();
			}
		}

		for (const [position, upstream] of upstreams.entries()) {
			if (arrivals() < foreignPerSecond(position, now) / 1000) {
				upstream.take({isCancelled: false, milliseconds: workMilliseconds, onEnd: () => undefined});
			}
		}
	}

	latencies.sort((first, second) => first - second);
	const quantile = (share: number) => latencies[Math.floor(share * latencies.length)]!;
	return {
		requests, answered, extra, p50: quantile(0.5), p99: quantile(0.99), p999: quantile(0.999),
	};
}
