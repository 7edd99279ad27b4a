/**
 * When one entry instance may send a request to a cold upstream.
 *
 * Load pattern: upstreams come back cold, one or a whole zone of them, and bear few
 * requests a second from all instances together; with more they crash. Requests
 * without a key go through the instance that holds the upstream's lease (see
 * `cold-lease`). Requests for the keys of a cold upstream arrive at all instances, so
 * that each has a turn now and then, at its own random phase. A turn that isn't used
 * lapses: saved turns of all instances could be used at the same moment.
 */
import {type Milliseconds, type MonotonicTime} from '@dogwooddeck/model/identifiers';

/** Paces the requests to cold upstreams. Updated in place, as it is on the request path. */
export type ColdPace = {
	/** Returns how long until a request may be sent to an upstream at `rate` requests a second; `Infinity` at rate 0. */
	readonly waitFor: (upstream: string, rate: number, now: MonotonicTime) => Milliseconds;
	/** Records that a request is being sent. */
	readonly recordSend: (upstream: string, rate: number, now: MonotonicTime) => void;
	/** Forgets upstreams that are no longer cold. */
	readonly keepOnly: (isCold: (upstream: string) => boolean) => void;
};

const millisecondsPerSecond = 1000;

/** Requests that the holder of a lease may send at once. */
const leaseBurst = 1;

/** The share of the capacity that is divided among instances that don't coordinate: by chance, many of them may have their turns together. */
const dividedShare = 0.5;

/** How long a turn may be used. */
const turnMilliseconds: Milliseconds = 1000;

/** For this long the highest number of instances counts: after a change of the leader, fewer are known for a moment. */
const countMemoryMilliseconds: Milliseconds = 10_000;

/** Returns the rate of an instance's equal part of a cold upstream's capacity. */
export function equalPart(requestsPerSecond: number, instances: number): number {
	return requestsPerSecond * dividedShare / Math.max(1, instances);
}

function deleteOthers(map: Map<string, unknown>, isCold: (upstream: string) => boolean): void {
	for (const id of map.keys()) {
		if (!isCold(id)) {
			map.delete(id);
		}
	}
}

/** A token bucket for each upstream whose lease this instance holds. `random` returns numbers between 0 and 1. */
export function createLeasePace(random: () => number): ColdPace {
	const buckets = new Map<string, {readonly tokens: number; readonly at: MonotonicTime}>();

	function tokensOf(upstream: string, rate: number, now: MonotonicTime): number {
		const bucket = buckets.get(upstream);
		if (bucket === undefined) {
			const tokens = random() * leaseBurst;
			buckets.set(upstream, {tokens, at: now});
			return tokens;
		}

		return Math.min(leaseBurst, bucket.tokens + ((now - bucket.at) * rate / millisecondsPerSecond));
	}

	return {
		waitFor: (upstream, rate, now) => rate === 0 ? Infinity : Math.max(0, (1 - tokensOf(upstream, rate, now)) * millisecondsPerSecond / rate),
		recordSend(upstream, rate, now) {
			buckets.set(upstream, {tokens: tokensOf(upstream, rate, now) - 1, at: now});
		},
		keepOnly(isCold) {
			deleteOthers(buckets, isCold);
		},
	};
}

/** Turns at each upstream that holds keys, one in each period of `1 / rate`, each for one request. `random` returns numbers between 0 and 1. */
export function createTurnPace(random: () => number): ColdPace {
	const turns = new Map<string, {opensAt: MonotonicTime; isUsed: boolean}>();

	/** Returns the current turn, or the next one. */
	function turnOf(upstream: string, rate: number, now: MonotonicTime): {opensAt: MonotonicTime; isUsed: boolean} {
		const period = millisecondsPerSecond / rate;
		const turn = turns.get(upstream) ?? {opensAt: now + (random() * period), isUsed: false};
		turns.set(upstream, turn);
		const openMilliseconds = Math.min(turnMilliseconds, period);
		if (turn.isUsed || now >= turn.opensAt + openMilliseconds) {
			turn.opensAt += period * Math.max(1, Math.floor((now - turn.opensAt) / period));
			turn.opensAt += now >= turn.opensAt + openMilliseconds ? period : 0;
			turn.isUsed = false;
		}

		return turn;
	}

	return {
		waitFor: (upstream, rate, now) => rate === 0 ? Infinity : Math.max(0, turnOf(upstream, rate, now).opensAt - now),
		recordSend(upstream, rate, now) {
			turnOf(upstream, rate, now).isUsed = true;
		},
		keepOnly(isCold) {
			deleteOthers(turns, isCold);
		},
	};
}

/** The highest number of instances that was known lately. */
export class HighestCount {
	#highest = 1;
	#at: MonotonicTime = -Infinity;

	/** Records a count and returns the highest recent one. */
	record(count: number, now: MonotonicTime): number {
		if (count >= this.#highest || now - this.#at > countMemoryMilliseconds) {
			this.#highest = count;
			this.#at = now;
		}

		return this.#highest;
	}
}
