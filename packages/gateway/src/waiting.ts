/**
 * The queue of requests that wait for room at the upstreams of one service:
 * ordered by priority, fair between keys (round robin), and limited to waits after
 * which an answer is still likely to meet its objective.
 *
 * Load patterns: for some seconds there is more work than the upstreams can
 * process; requests that can't be served in time are refused at once, so that their
 * callers can retry, and the others are answered within their objective. One key
 * gets most of the requests; requests for the other keys of its holder don't wait
 * behind them. Many requests wait for the same dozens of upstreams, and looking for
 * room for each of them whenever one is answered takes the processor time that the
 * instance needs for its other callers.
 */
import {type Milliseconds, type MonotonicTime} from '@dogwooddeck/model/identifiers';

/** A waiting request. */
export type WaitingRequest = {
	/** 0 is the most urgent. */
	readonly priority: number;
	/** The number of requests for the same key that were waiting when this one was queued: keys take turns. 0 if the service has no keys. */
	readonly turn: number;
	/** The key that it belongs to; undefined if the service has no keys. */
	readonly key: number | undefined;
	/** The upstream that it waits for; undefined if any will do, or if none is known. */
	readonly upstream: string | undefined;
	/** Requests with the same name wait for the same upstreams, so that none of them finds room where one of them doesn't; undefined if others may find some. */
	readonly candidates?: string | undefined;
	/** When its wait times out. */
	readonly timesOutAt: MonotonicTime;
	/** Tries to send the request. Returns `true` once it no longer waits: it was sent, or its caller has disconnected. */
	readonly tryToStart: (now: MonotonicTime) => boolean;
	/** Called when the wait times out. */
	readonly onTimeout: () => void;
};

/** The values that limit the wait of a request. */
export type WaitLimits = {
	/** When the request arrived. */
	readonly arrivedAt: MonotonicTime;
	readonly objectiveMilliseconds: Milliseconds;
	readonly deadline: MonotonicTime;
	/** The expected time from sending the request to its answer. */
	readonly expectedMilliseconds: Milliseconds;
};

/** The minimum and maximum share of its objective that a request may wait. */
export const minWaitingShare = 0.15;
export const maxWaitingShare = 0.6;

/** An answer that takes this many times the expected latency should still arrive within the objective. */
const latencyMargin = 1.2;

/**
 * Returns until when a request may wait, so that an answer is still likely to meet
 * its objective, and is expected before its deadline. Where the upstreams alone take
 * as long as the objective, a short wait remains: a delayed answer is better than
 * none.
 */
export function waitDeadline({arrivedAt, objectiveMilliseconds, deadline, expectedMilliseconds}: WaitLimits): MonotonicTime {
	const slack = objectiveMilliseconds - (expectedMilliseconds * latencyMargin);
	const wait = Math.min(objectiveMilliseconds * maxWaitingShare, Math.max(objectiveMilliseconds * minWaitingShare, slack));
	return Math.min(arrivedAt + wait, deadline - expectedMilliseconds);
}

type QueuePosition = Pick<WaitingRequest, 'priority' | 'turn'>;

function precedes(one: QueuePosition, other: QueuePosition): boolean {
	return one.priority === other.priority ? one.turn < other.turn : one.priority < other.priority;
}

/** The waiting requests of one service, or of one holder of keys. It is on the request path, so it is updated in place. */
export class WaitingQueue {
	#requests: WaitingRequest[] = [];

	/** The number of waiting requests. */
	get length(): number {
		return this.#requests.length;
	}

	/** Returns the number of waiting requests for a key, which is the turn of the next one; 0 without a key. */
	nextTurn(key: number | undefined): number {
		return key === undefined ? 0 : this.#requests.filter(request => request.key === key).length;
	}

	/** Returns the number of waiting requests for an upstream that precede a new one with the given priority and turn. */
	countAhead(upstream: string | undefined, priority: number, turn: number): number {
		return this.#requests.filter(request => request.upstream === upstream && !precedes({priority, turn}, request)).length;
	}

	/** Inserts a request by its priority and turn, after equal ones. */
	add(request: WaitingRequest): void {
		const position = this.#requests.findIndex(other => precedes(request, other));
		this.#requests.splice(position === -1 ? this.#requests.length : position, 0, request);
	}

	/** Removes a request whose caller has disconnected. */
	remove(request: WaitingRequest): void {
		this.#requests = this.#requests.filter(other => other !== request);
	}

	/** Sends the requests that can be sent, in order, and times out those that waited too long. */
	advance(now: MonotonicTime): void {
		const requests = this.#requests;
		this.#requests = [];
		const full = new Set<string>();
		const kept = requests.filter(request => !this.#tryToStart(request, full, now) && !this.#hasTimedOut(request, now));
		const added = this.#requests;
		this.#requests = kept;
		for (const request of added) {
			this.add(request);
		}
	}

	/** `full` names the candidates without room. */
	#tryToStart({candidates, tryToStart}: WaitingRequest, full: Set<string>, now: MonotonicTime): boolean {
		if (candidates !== undefined && full.has(candidates)) {
			return false;
		}

		const isStarted = tryToStart(now);
		if (!isStarted && candidates !== undefined) {
			full.add(candidates);
		}

		return isStarted;
	}

	#hasTimedOut(request: WaitingRequest, now: MonotonicTime): boolean {
		if (now < request.timesOutAt) {
			return false;
		}

		request.onTimeout();
		return true;
	}
}
