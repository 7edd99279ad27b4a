/**
 * The key of one request: which upstream holds it, whether that upstream has
 * refused it as not its own, and at what rate requests for it may be sent.
 */
import {type HolderCapacity, isPaced} from '@dogwooddeck/gateway/key-pace';
import {type Milliseconds, type MonotonicTime} from '@dogwooddeck/model/identifiers';
import {type CachedService, type CachedUpstream, type ServiceTable} from './service-table.js';

/** After an upstream answered that it doesn't hold a key, requests for the key wait this long for a newer table. */
const staleTableMilliseconds: Milliseconds = 60;

/** After this many refusals under one fence number, requests for the key wait until the table has another one. */
const maximumFenceRefusals = 2;

/** What a key target reads. */
export type KeyDependencies = {
	readonly table: ServiceTable;
	/** Returns the number of entry instances of the deployment. */
	readonly entryCount: () => number;
};

/** The key of one request and its holder. */
export class KeyTarget {
	readonly #dependencies: KeyDependencies;
	readonly #service: CachedService;
	#notBefore: MonotonicTime = -Infinity;
	/** The fence number under which an upstream last answered that it doesn't hold the key, and how often it did. */
	#refusedFence = -1;
	#fenceRefusals = 0;

	constructor(dependencies: KeyDependencies, service: CachedService, readonly key: number) {
		this.#dependencies = dependencies;
		this.#service = service;
	}

	/** The holder of the key according to the table. */
	get holder(): CachedUpstream | undefined {
		return this.#dependencies.table.holderOf(this.#service, this.key)?.upstream;
	}

	/**
	 * Returns the upstream that may be sent the request now. An upstream may be notified of its keys a moment
	 * after this instance is; one that refuses twice under one fence number has lost them.
	 */
	availableHolder(now: MonotonicTime): CachedUpstream | undefined {
		const keyHolder = this.#dependencies.table.holderOf(this.#service, this.key);
		const hasLost = keyHolder?.range.fence === this.#refusedFence && this.#fenceRefusals >= maximumFenceRefusals;
		const isOpen = keyHolder !== undefined && this.#dependencies.table.isOpen(keyHolder.upstream, this.#service, now);
		return now < this.#notBefore || hasLost || !isOpen ? undefined : keyHolder.upstream;
	}

	/** Returns how long the holder's pause lasts; 0 if there is no holder, or it has left, as the key is then handed over. */
	pauseOfHolder(now: MonotonicTime): Milliseconds {
		const notices = this.holder?.notices;
		return notices === undefined || notices.hasLeft(now) ? 0 : Math.max(0, notices.pausedUntil - now);
	}

	/** Records that the holder answered that it doesn't hold the key. */
	recordMisdirected(now: MonotonicTime): void {
		const fence = this.#dependencies.table.holderOf(this.#service, this.key)?.range.fence ?? -1;
		this.#notBefore = now + staleTableMilliseconds;
		this.#fenceRefusals = fence === this.#refusedFence ? this.#fenceRefusals + 1 : 1;
		this.#refusedFence = fence;
	}

	/** Returns how long a request for the key waits for its pace, behind `ahead` others for the same key. */
	waitFor(holder: CachedUpstream, ahead: number, now: MonotonicTime): Milliseconds {
		return this.#service.pace.waitFor(this.key, ahead, this.#capacityOf(holder), now);
	}

	/** Records that a request for the key is being sent. */
	recordSend(holder: CachedUpstream, now: MonotonicTime): void {
		this.#service.pace.recordSend(this.key, this.#capacityOf(holder), now);
	}

	/** Whether this instance's equal share of the holder's capacity is large enough to pace its requests by. */
	isPaced(holder: CachedUpstream): boolean {
		return isPaced(this.#capacityOf(holder));
	}

	#capacityOf({record, load}: CachedUpstream): HolderCapacity {
		return {slots: record.slots, latency: load.latency, instances: this.#dependencies.entryCount()};
	}
}
