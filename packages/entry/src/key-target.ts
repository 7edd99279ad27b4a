/**
 * The key of one request: who holds it, whether that upstream has said that it
 * doesn't, and how often it may be sent requests for it.
 */
import {type HolderCapacity, isPaced} from '@dogwooddeck/gateway/key-pace';
import {type Milliseconds, type MonotonicTime} from '@dogwooddeck/model/identifiers';
import {type KnownService, type KnownUpstream, type ServiceTable} from './service-table.js';

/** After an upstream said that it doesn't hold a key, its next table is awaited this long. */
const staleTableMilliseconds: Milliseconds = 60;

/** After so many refusals under one fence a new table is awaited. */
const mostFenceRefusals = 2;

/** What keys are looked up in. */
export type KeySurroundings = {
	readonly table: ServiceTable;
	/** The number of entries of the deployment. */
	readonly entryCount: () => number;
};

/** One request's key. */
export class KeyTarget {
	readonly #around: KeySurroundings;
	readonly #service: KnownService;
	#notBefore: MonotonicTime = -Infinity;
	/** The fence under which an upstream said that it doesn't hold the key, and how often it did. */
	#refusedFence = -1;
	#fenceRefusals = 0;

	constructor(around: KeySurroundings, service: KnownService, readonly key: number) {
		this.#around = around;
		this.#service = service;
	}

	/** Who holds the key by the table. */
	get holder(): KnownUpstream | undefined {
		return this.#around.table.holderOf(this.#service, this.key)?.upstream;
	}

	/** Who may be sent the request now: an upstream may hear of its keys a moment after this instance; one that refuses twice under one fence has lost them. */
	holderNow(now: MonotonicTime): KnownUpstream | undefined {
		const held = this.#around.table.holderOf(this.#service, this.key);
		const hasLost = held?.range.fence === this.#refusedFence && this.#fenceRefusals >= mostFenceRefusals;
		return now < this.#notBefore || hasLost ? undefined : held?.upstream;
	}

	/** The holder said that it doesn't hold the key. */
	noteMisdirected(now: MonotonicTime): void {
		const fence = this.#around.table.holderOf(this.#service, this.key)?.range.fence ?? -1;
		this.#notBefore = now + staleTableMilliseconds;
		this.#fenceRefusals = fence === this.#refusedFence ? this.#fenceRefusals + 1 : 1;
		this.#refusedFence = fence;
	}

	/** How long a request for the key waits for its pace, behind others for it. */
	waitFor(holder: KnownUpstream, ahead: number, now: MonotonicTime): Milliseconds {
		return this.#service.pace.waitFor(this.key, ahead, this.#capacityOf(holder), now);
	}

	/** A request for the key is being sent. */
	take(holder: KnownUpstream, now: MonotonicTime): void {
		this.#service.pace.recordSend(this.key, this.#capacityOf(holder), now);
	}

	/** Whether this instance's equal part of the holder is enough for its requests to be paced by it. */
	isPaced(holder: KnownUpstream): boolean {
		return isPaced(this.#capacityOf(holder));
	}

	#capacityOf({record, load}: KnownUpstream): HolderCapacity {
		return {slots: record.slots, latency: load.latency, instances: this.#around.entryCount()};
	}
}
