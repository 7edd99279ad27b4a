/**
 * Requests that wait for room at the upstreams of one service: the most urgent
 * first, keys by turns, and only for as long as an answer is still likely to
 * come in time.
 *
 * Load patterns: for seconds there is more work than the upstreams can do; what
 * can't be done is refused at once, so that its caller can come back, and what is
 * done is done within its objective. One key gets most of the requests; requests
 * for the other keys of its holder don't wait behind them.
 */
import {type Milliseconds, type MonotonicTime} from '@dogwooddeck/model/identifiers';

/** A request that waits. */
export type Waiter = {
	readonly priority: number;
	/** The requests for the same key that were waiting when this one came: keys take turns. 0 where there are no keys. */
	readonly turn: number;
	/** The key that it is about. Undefined: the service has no keys. */
	readonly key: number | undefined;
	/** The upstream that it waits for; undefined where any will do, or none is known. */
	readonly upstream: string | undefined;
	/** When it gives up. */
	readonly until: MonotonicTime;
	/** Tries to go on. `true`: it is under way and waits no more. */
	readonly tryToStart: (now: MonotonicTime) => boolean;
	/** It waited too long. */
	readonly giveUp: () => void;
};

/** What a request's longest wait is made of. */
export type WaitBounds = {
	/** When the caller came. */
	readonly arrivedAt: MonotonicTime;
	readonly objectiveMilliseconds: Milliseconds;
	readonly deadline: MonotonicTime;
	/** How long an answer is expected to take once the request is sent. */
	readonly expectedMilliseconds: Milliseconds;
};

/** The shares of a request's objective that it may spend waiting, at least and at most. */
export const leastWaitingShare = 0.15;
export const mostWaitingShare = 0.6;

/** Answers that take so many times longer than expected should still come within the objective. */
const latencyAllowance = 1.2;

/**
 * Until when a request may wait: an answer should still come within its
 * objective, and surely before its deadline. Where upstreams alone take that long,
 * a short wait remains, as a late answer is better than none.
 */
export function waitingUntil({arrivedAt, objectiveMilliseconds, deadline, expectedMilliseconds}: WaitBounds): MonotonicTime {
	const spare = objectiveMilliseconds - (expectedMilliseconds * latencyAllowance);
	const wait = Math.min(objectiveMilliseconds * mostWaitingShare, Math.max(objectiveMilliseconds * leastWaitingShare, spare));
	return Math.min(arrivedAt + wait, deadline - expectedMilliseconds);
}

type Order = Pick<Waiter, 'priority' | 'turn'>;

function goesBefore(one: Order, other: Order): boolean {
	return one.priority === other.priority ? one.turn < other.turn : one.priority < other.priority;
}

/** The waiting requests of one service, or of one holder of keys. It is updated in place: it is on the request path. */
export class WaitingQueue {
	#waiters: Waiter[] = [];

	/** The number of waiting requests. */
	get length(): number {
		return this.#waiters.length;
	}

	/** The requests for a key that wait. */
	turnOf(key: number | undefined): number {
		return key === undefined ? 0 : this.#waiters.filter(waiter => waiter.key === key).length;
	}

	/** The requests that wait for the same upstream and go before one with a priority and a turn. */
	ahead(upstream: string | undefined, priority: number, turn: number): number {
		return this.#waiters.filter(waiter => waiter.upstream === upstream && !goesBefore({priority, turn}, waiter)).length;
	}

	/** Adds a request behind those that go before it. */
	add(waiter: Waiter): void {
		const position = this.#waiters.findIndex(other => goesBefore(waiter, other));
		this.#waiters.splice(position === -1 ? this.#waiters.length : position, 0, waiter);
	}

	/** Takes a request out, whose caller has gone. */
	remove(waiter: Waiter): void {
		this.#waiters = this.#waiters.filter(one => one !== waiter);
	}

	/** Starts what can start, in order, and ends what waited too long. */
	advance(now: MonotonicTime): void {
		const waiters = this.#waiters;
		this.#waiters = [];
		const kept = waiters.filter(waiter => !waiter.tryToStart(now) && !this.#hasGivenUp(waiter, now));
		const added = this.#waiters;
		this.#waiters = kept;
		for (const waiter of added) {
			this.add(waiter);
		}
	}

	#hasGivenUp(waiter: Waiter, now: MonotonicTime): boolean {
		if (now < waiter.until) {
			return false;
		}

		waiter.giveUp();
		return true;
	}
}
