/**
 * The room of one upstream: which of its places are granted, and how fast it is by
 * the answers that all instances got.
 *
 * Load patterns: upstreams of one service differ by a factor of three in speed; one
 * becomes slow, or answers nothing any more, while others are idle.
 */
import {type Milliseconds, type MonotonicTime, type UpstreamName} from '@dogwooddeck/model/identifiers';
import {type Release} from './message.js';

/** The places of an upstream: how many requests it can process and queue, and who may use them. */
export type Places = {
	/** Requests that it processes concurrently. */
	readonly slots: number;
	/** Places that the keeper grants to instances of its own zone. */
	readonly own: number;
	/** Places that the keeper grants to instances of other zones. */
	readonly foreign: number;
	/** Places that instances use one each without a keeper. */
	readonly unkept: number;
};

/** Requests that a keeper sends beyond the slots, so that a slot isn't idle while a release and the next grant are on their way. */
const sentAhead = 1;

/** Divides what an upstream can process and queue. The three parts never exceed it together, so that it is never sent more, whoever decides. */
export function dividePlaces(slots: number, queue: number): Places {
	const all = slots + queue;
	const own = Math.min(all, slots + sentAhead);
	const foreign = Math.min(all - own, Math.ceil(slots / 2));
	return {
		slots, own, foreign, unkept: all - own - foreign,
	};
}

/** One request in flight, or a grant that its instance may not have yet. */
export type Grant = {
	readonly entry: string;
	readonly isForeign: boolean;
	readonly at: MonotonicTime;
	/** From then on nothing is in flight by it, even if its release was lost. */
	readonly endsAt: MonotonicTime;
};

const sampleWeight = 0.15;

/** The measured time returns to the mean of the others in this time, so that an upstream that has recovered is tried again. */
const decayMilliseconds: Milliseconds = 4000;

/** A failure share of 1 adds this many times the expected time. */
const failurePenalty = 8;

/** The pause after a failure; each further one without an answer in between doubles it. */
const minimumPauseMilliseconds: Milliseconds = 100;
const maximumPauseMilliseconds: Milliseconds = 2000;

/** Updated in place, as it is on the request path. */
export class UpstreamRoom {
	readonly grants = new Map<string, Grant>();
	#inFlightOwn = 0;
	#inFlightForeign = 0;
	#took: Milliseconds | undefined;
	#failureShare = 0;
	#consecutiveFailures = 0;
	#pausedUntil: MonotonicTime = -Infinity;
	#measuredAt: MonotonicTime = -Infinity;
	#oldestAt: MonotonicTime | undefined;

	constructor(readonly id: UpstreamName, readonly places: Places) {}

	get inFlight(): number {
		return this.grants.size;
	}

	/** The measured time; undefined before the first answer. */
	get measured(): Milliseconds | undefined {
		return this.#took;
	}

	/** Whether a place of its part is free. `withheld`: places that unknown grants of an earlier keeper may take. */
	hasPlace(isForeign: boolean, withheld: number, now: MonotonicTime): boolean {
		const free = isForeign ? this.places.foreign - this.#inFlightForeign : this.places.own - this.#inFlightOwn;
		return free > withheld && now >= this.#pausedUntil;
	}

	/** The number of requests in flight of one instance. */
	countOf(entry: string): number {
		let count = 0;
		for (const grant of this.grants.values()) {
			count += grant.entry === entry ? 1 : 0;
		}

		return count;
	}

	add(key: string, grant: Grant): void {
		if (this.grants.has(key)) {
			return;
		}

		this.grants.set(key, grant);
		this.#count(grant, 1);
		this.#oldestAt ??= grant.at;
	}

	/** Removes a grant whose request ended as its release says. */
	remove(key: string, {took, hasFailed}: Pick<Release, 'took' | 'hasFailed'>, now: MonotonicTime): void {
		const grant = this.grants.get(key);
		if (grant === undefined) {
			return;
		}

		this.grants.delete(key);
		this.#count(grant, -1);
		this.#oldestAt = this.grants.values().next().value?.at;
		if (hasFailed) {
			this.#failureShare += (1 - this.#failureShare) * sampleWeight;
			this.#consecutiveFailures += 1;
			this.#pausedUntil = now + Math.min(maximumPauseMilliseconds, minimumPauseMilliseconds * (2 ** (this.#consecutiveFailures - 1)));
		}

		if (took !== undefined) {
			this.#failureShare -= this.#failureShare * sampleWeight;
			this.#consecutiveFailures = 0;
			this.#took = this.#took === undefined ? took : this.#took + ((took - this.#took) * sampleWeight);
			this.#measuredAt = now;
		}
	}

	/** Removes the grants whose time is over, and returns their keys. */
	expire(now: MonotonicTime): readonly string[] {
		const over = [...this.grants].filter(([, {endsAt}]) => endsAt <= now).map(([key]) => key);
		for (const key of over) {
			this.remove(key, {hasFailed: false}, now);
		}

		return over;
	}

	/** The expected time of an answer without waiting: the measured one, drawn to `mean` with its age, and at least half the age of the oldest request in flight; more after failures. */
	serviceTime(mean: Milliseconds, now: MonotonicTime): Milliseconds {
		return this.#answerTime(mean, now) * (1 + (failurePenalty * this.#failureShare));
	}

	#answerTime(mean: Milliseconds, now: MonotonicTime): Milliseconds {
		const oldest = this.#oldestAt === undefined ? 0 : (now - this.#oldestAt) / 2;
		if (this.#took === undefined) {
			return Math.max(mean, oldest);
		}

		const weight = Math.max(0, 1 - ((now - this.#measuredAt) / decayMilliseconds));
		return Math.max((this.#took * weight) + (mean * (1 - weight)), oldest);
	}

	#count({isForeign}: Grant, change: number): void {
		if (isForeign) {
			this.#inFlightForeign += change;
		} else {
			this.#inFlightOwn += change;
		}
	}
}
