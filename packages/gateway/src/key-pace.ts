/**
 * Paces the requests that one entry instance sends for one key, by a token bucket
 * for each key.
 *
 * Load pattern: a single key suddenly gets more requests than its holder can
 * process. They can't be divided among holders, and if all instances send what
 * they receive, each request waits in a full queue and none is answered in time.
 * Each instance therefore sends its equal share of what the holder can process;
 * other keys stay far below that. With so many instances that an equal share is
 * one request in several seconds, two requests that arrive close together by
 * chance would exceed it; keys are then limited only by the shares that the leader
 * announces (see `holder-load` in the key-lease package).
 */
import {type Milliseconds, type MonotonicTime} from '@dogwooddeck/model/identifiers';

/** The capacity of a holder, and the number of instances that share it. */
export type HolderCapacity = {
	/** The number of requests that the holder processes concurrently. */
	readonly slots: number;
	/** How long one request takes. */
	readonly latency: Milliseconds;
	/** The number of entry instances that may send to it. */
	readonly instances: number;
};

/** The bucket size: requests for an idle key that may be sent at once. With more, all instances together would fill the holder's queue. */
const burst = 1;

/** All instances together may send this many times what the holder can process: they don't all have equally many callers, and a rising latency lowers the rate. */
const oversubscription = 1.3;

/** Requests are not paced if an instance's equal share of the holder is below this fraction of a slot. */
const minSlotShare = 0.1;

/** Above this number of buckets, full ones are removed. */
const maxBuckets = 1024;

type Bucket = {readonly tokens: number; readonly refilledAt: MonotonicTime; readonly perMillisecond: number};

/** Whether an instance's equal share of the holder is large enough to pace its requests by. */
export function isPaced({slots, instances}: Pick<HolderCapacity, 'slots' | 'instances'>): boolean {
	return slots / instances >= minSlotShare;
}

/** Paces requests for the keys of one service. It is on the request path, so it is updated in place. */
export class KeyPacer {
	readonly #buckets = new Map<number, Bucket>();

	/** Returns how long a request must wait until it may be sent, with `ahead` others for the same key before it. */
	waitFor(key: number, ahead: number, capacity: HolderCapacity, now: MonotonicTime): Milliseconds {
		if (!isPaced(capacity)) {
			return 0;
		}

		const {tokens, perMillisecond} = this.#refilled(key, capacity, now);
		return Math.max(0, (1 + ahead - tokens) / perMillisecond);
	}

	/** Records that a request is being sent, which takes a token. */
	recordSend(key: number, capacity: HolderCapacity, now: MonotonicTime): void {
		if (!isPaced(capacity)) {
			return;
		}

		const bucket = this.#refilled(key, capacity, now);
		this.#buckets.set(key, {...bucket, tokens: bucket.tokens - 1});
		if (this.#buckets.size > maxBuckets) {
			this.#removeFull(now);
		}
	}

	#refilled(key: number, {slots, latency, instances}: HolderCapacity, now: MonotonicTime): Bucket {
		const perMillisecond = oversubscription * slots / latency / instances;
		const bucket = this.#buckets.get(key);
		return {tokens: bucket === undefined ? burst : Math.min(burst, bucket.tokens + ((now - bucket.refilledAt) * perMillisecond)), refilledAt: now, perMillisecond};
	}

	#removeFull(now: MonotonicTime): void {
		for (const [key, {tokens, refilledAt: at, perMillisecond}] of this.#buckets) {
			if (tokens + ((now - at) * perMillisecond) >= burst) {
				this.#buckets.delete(key);
			}
		}
	}
}
