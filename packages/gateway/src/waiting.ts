/**
 * Requests that wait for room at the upstreams of one service or of one key
 * range: the most urgent first, and only for as long as an answer is still
 * likely to come in time.
 *
 * Load pattern: for seconds there is more work than the upstreams can do. What
 * can't be done is refused early, so that its caller can come back, and what is
 * done is done within its objective.
 */
import {type Milliseconds, type MonotonicTime} from '@dogwooddeck/model/identifiers';

/** A request that waits. */
export type Waiter = {
	readonly priority: number;
	/** When it gives up. */
	readonly until: MonotonicTime;
	/** Tries to go on. `true`: it is under way and waits no more. */
	readonly tryToStart: (now: MonotonicTime) => boolean;
	/** It waited too long. */
	readonly giveUp: () => void;
};

/** What a request's longest wait is made of. */
export type WaitBounds = {
	readonly now: MonotonicTime;
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

/** The waiting requests of one service, or of one holder of keys. It is updated in place: it is on the request path. */
export class WaitingLine {
	#waiters: Waiter[] = [];

	/** The number of waiting requests. */
	get length(): number {
		return this.#waiters.length;
	}

	/** Adds a request behind those of its priority. */
	add(waiter: Waiter): void {
		const position = this.#waiters.findIndex(({priority}) => priority > waiter.priority);
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

	/** When the first request gives up; infinite where none waits. */
	dueAt(): MonotonicTime {
		return this.#waiters.reduce((due, {until}) => Math.min(due, until), Infinity);
	}

	#hasGivenUp(waiter: Waiter, now: MonotonicTime): boolean {
		if (now < waiter.until) {
			return false;
		}

		waiter.giveUp();
		return true;
	}
}
