/**
 * A seeded replay of requests without keys: entries in four zones of two regions send
 * to the upstreams of one service, under a rule that decides who sends what where.
 */
import {type Milliseconds, type MonotonicTime} from '@dogwooddeck/model/identifiers';
import {Signal} from '@dogwooddeck/gateway/upstream-load';
import {createRandom, noisyCount, type Random} from './random.js';

/** One kind of requests. */
export type RequestKind = {
	readonly name: string;
	readonly perSecond: number;
	readonly workMilliseconds: Milliseconds;
	readonly objectiveMilliseconds: Milliseconds;
	readonly timeoutMilliseconds: Milliseconds;
	/** 0 is the most urgent. */
	readonly priority: number;
	/** The bytes of a request and its answer. */
	readonly bytes: number;
};

/** A service, and its upstreams. */
export type ReplayService = {
	readonly name: string;
	readonly upstreams: number;
	readonly slots: number;
	readonly queue: number;
	readonly speeds: readonly number[];
	/** Whether an upstream answers nothing when its queue is full. */
	readonly isSilentWhenFull: boolean;
	/** Whether a neighbour makes an upstream three times slower for a fifth of the time. */
	readonly hasNeighbours: boolean;
	readonly kinds: readonly RequestKind[];
};

/** What differs from a calm time. All times are in milliseconds since the start. */
export type Scenario = {
	readonly name: string;
	readonly load: (zone: number, kind: RequestKind, now: MonotonicTime, least: number) => number;
	/** A factor on the time that an upstream takes. */
	readonly slowdown: (upstream: number, now: MonotonicTime) => number;
	readonly isKeeperLost: (zone: number, now: MonotonicTime) => boolean;
	readonly isCut: (zone: number, now: MonotonicTime) => boolean;
};

export type ReplayRequest = {
	readonly kind: RequestKind;
	readonly entry: ReplayEntry;
	readonly arrivedAt: MonotonicTime;
	attempts: number;
};

export type ReplayEntry = {readonly index: number; readonly zone: number; readonly weight: number};

export type ReplayUpstream = {
	readonly index: number;
	readonly zone: number;
	readonly speed: number;
	running: number;
	/** Each returns whether it started: a request whose sender has given up doesn't. */
	readonly waiting: Array<() => boolean>;
};

/** The counts of one replay. */
export type RoomCounts = {
	asked: number;
	inTime: number;
	late: number;
	refused: number;
	/** Sent to an upstream that could not queue them. */
	overRoom: number;
	/** Of these, never answered. */
	dropped: number;
	messages: number;
	bytes: number;
};

export type RoomRule = {
	readonly arrive: (request: ReplayRequest) => void;
};

export type RuleMaker = (replay: RoomReplay) => RoomRule;

export const zoneCount = 4;
const entryCount = 68;
const neighbourMilliseconds: Milliseconds = 400;
const drainSeconds = 4;
const brokenMilliseconds: Milliseconds = 300;
const tail = {share: 0.03, factor: 7, longest: 10};

/** The time one way between zones: 0 and 2 are in one region, 1 and 3 in the other. */
export function delayBetween(one: number, other: number): Milliseconds {
	return one === other ? 1 : ((one - other) % 2 === 0 ? 2 : 30);
}

/** The state of one replay. */
export class RoomReplay {
	now: MonotonicTime = 0;
	readonly random: Random;
	readonly entries: readonly ReplayEntry[];
	readonly upstreams: readonly ReplayUpstream[];
	readonly counts: RoomCounts = {
		asked: 0, inTime: 0, late: 0, refused: 0, overRoom: 0, dropped: 0, messages: 0, bytes: 0,
	};

	readonly countsOf = new Map<string, RoomCounts>();
	readonly #due = new Map<number, Array<() => void>>();
	readonly #neighbours: ReadonlyArray<readonly boolean[]>;

	constructor(readonly service: ReplayService, readonly scenario: Scenario, seconds: number, seed: number) {
		this.random = createRandom(seed, service.upstreams);
		this.entries = Array.from({length: entryCount}, (_, index) => ({index, zone: index % zoneCount, weight: 0.5 + this.random.fraction()}));
		this.upstreams = Array.from({length: service.upstreams}, (_, index) => ({
			index, zone: index % zoneCount, speed: service.speeds[Math.floor(index / zoneCount) % service.speeds.length]!, running: 0, waiting: [],
		}));
		this.#neighbours = this.upstreams.map(() => Array.from({length: Math.ceil(2 * seconds * 1000 / neighbourMilliseconds)}, () => this.random.fraction() < 0.2));
	}

	after(milliseconds: Milliseconds, run: () => void): void {
		const at = Math.round(this.now + Math.max(1, milliseconds));
		const runs = this.#due.get(at);
		if (runs === undefined) {
			this.#due.set(at, [run]);
		} else {
			runs.push(run);
		}
	}

	/** Sends a message of the rule between zones; it is lost over a cut. */
	message(from: number, to: number, bytes: number, run: () => void): void {
		this.counts.messages += 1;
		this.counts.bytes += bytes;
		if (!this.isCut(from, to)) {
			this.after(delayBetween(from, to), run);
		}
	}

	isCut(from: number, to: number): boolean {
		return from !== to && (this.scenario.isCut(from, this.now) || this.scenario.isCut(to, this.now));
	}

	/** Sends a request from an instance in `zone` to an upstream; `onEnd` gets how that ended. */
	send(request: ReplayRequest, zone: number, upstream: ReplayUpstream, onEnd: (signal: Signal, took: Milliseconds) => void): void {
		const sentAt = this.now;
		const delay = delayBetween(zone, upstream.zone);
		request.attempts += 1;
		let hasEnded = false;
		const end = (signal: Signal) => {
			if (!hasEnded) {
				hasEnded = true;
				onEnd(signal, this.now - sentAt);
			}
		};

		if (this.isCut(zone, upstream.zone)) {
			this.after(brokenMilliseconds, () => {
				end(Signal.broken);
			});
			return;
		}

		this.after(Math.max(1, request.arrivedAt + request.kind.timeoutMilliseconds - this.now), () => {
			end(Signal.silent);
		});
		this.after(delay, () => {
			this.#receive(request, upstream, () => hasEnded, signal => {
				this.after(delay, () => {
					end(signal);
				});
			});
		});
	}

	/** Counts the answer of a request, or its refusal. */
	finish(request: ReplayRequest, isAnswered: boolean): void {
		const took = this.now - request.arrivedAt;
		const served = took <= request.kind.objectiveMilliseconds ? 'inTime' : 'late';
		this.#count(request.kind, isAnswered ? served : 'refused');
	}

	run(rule: RoomRule, seconds: number): void {
		for (this.now = 0; this.now < (seconds + drainSeconds) * 1000; this.now++) {
			if (this.now < seconds * 1000) {
				this.#arrivals(rule);
			}

			const runs = this.#due.get(this.now) ?? [];
			this.#due.delete(this.now);
			for (const run of runs) {
				run();
			}
		}
	}

	#count(kind: RequestKind, name: keyof RoomCounts): void {
		this.counts[name] += 1;
		const counts = this.countsOf.get(kind.name) ?? {
			asked: 0, inTime: 0, late: 0, refused: 0, overRoom: 0, dropped: 0, messages: 0, bytes: 0,
		};
		counts[name] += 1;
		this.countsOf.set(kind.name, counts);
	}

	#arrivals(rule: RoomRule): void {
		const {kinds} = this.service;
		const least = Math.max(...kinds.map(({priority}) => priority));
		const step = 10;
		if (this.now % step !== 0) {
			return;
		}

		const weights = this.entries.reduce((sum, {weight}) => sum + weight, 0);
		for (const entry of this.entries) {
			for (const kind of kinds) {
				const mean = kind.perSecond * step / 1000 * entry.weight / weights * this.scenario.load(entry.zone, kind, this.now, least);
				const count = mean > 5 ? noisyCount(this.random, mean) : poisson(this.random, mean);
				for (let one = 0; one < count; one++) {
					this.after(this.random.whole(1, step), () => {
						this.#count(kind, 'asked');
						rule.arrive({
							kind, entry, arrivedAt: this.now, attempts: 0,
						});
					});
				}
			}
		}
	}

	#receive(request: ReplayRequest, upstream: ReplayUpstream, hasEnded: () => boolean, answer: (signal: Signal) => void): void {
		const {slots, queue, isSilentWhenFull} = this.service;
		const start = () => {
			if (hasEnded()) {
				return false;
			}

			upstream.running += 1;
			this.after(this.#workOf(request.kind, upstream), () => {
				upstream.running -= 1;
				while (upstream.waiting.length > 0 && !upstream.waiting.shift()!()) {
					// The next one that is still waited for starts.
				}

				answer(Signal.answered);
			});
			return true;
		};

		if (upstream.running < slots) {
			start();
		} else if (upstream.waiting.length < queue) {
			upstream.waiting.push(start);
		} else {
			this.#count(request.kind, 'overRoom');
			if (isSilentWhenFull) {
				this.#count(request.kind, 'dropped');
			} else {
				answer(Signal.full);
			}
		}
	}

	#workOf(kind: RequestKind, {index, speed}: ReplayUpstream): Milliseconds {
		const spread = this.random.fraction() < tail.share ? tail.factor : 0.5 + (this.random.fraction() * 0.64);
		const neighbour = this.service.hasNeighbours && this.#neighbours[index]![Math.floor(this.now / neighbourMilliseconds)] ? 3 : 1;
		return Math.min(tail.longest, spread) * kind.workMilliseconds / speed * neighbour * this.scenario.slowdown(index, this.now);
	}
}

function poisson(random: Random, mean: number): number {
	let count = 0;
	for (let product = random.fraction(); product > Math.exp(-mean); product *= random.fraction()) {
		count += 1;
	}

	return count;
}
