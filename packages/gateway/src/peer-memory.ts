/**
 * What a process holds for its peers, by connection, and which connections are closed when that is too much.
 *
 * Load pattern: clients that keep to no limit. Some dozens of connections carry bodies that stop just short of their
 * end, or requests sent ahead whose answers are never read. What a client holds grows with what it sends, so the
 * connections that hold most are closed first, and ordinary callers, which hold little, go on.
 */

/** What the machine gives to the process. */
export type MachineLimits = {
	readonly memoryBytes: number;
	/** The descriptors that the process may have open. */
	readonly descriptors: number;
};

/** What may be held for all peers together. */
export type PeerLimits = {
	/** A single body, which has room whenever it is alone. */
	readonly largestBodyBytes: number;
	/** Bodies of requests, and short ones besides. */
	readonly bodiesBytes: number;
	readonly shortBodiesBytes: number;
	/** Answers of upstreams until they are forwarded. */
	readonly bufferedAnswersBytes: number;
	/** Requests that wait for their answers, and answers that were not taken. */
	readonly waitingBytes: number;
	/** Connections of peers. */
	readonly connections: number;
};

const megabyte = 1_048_576;

/** The limits of a machine with memory to spare. */
const largest: PeerLimits = {
	largestBodyBytes: Infinity, bodiesBytes: 64 * megabyte, shortBodiesBytes: 16 * megabyte, bufferedAnswersBytes: 32 * megabyte, waitingBytes: 32 * megabyte, connections: Infinity,
};
const largestBytes = largest.bodiesBytes + largest.shortBodiesBytes + largest.bufferedAnswersBytes + largest.waitingBytes;

/** What the process takes without peers: at most 118 MB, soon after its start, and what the runtime has not collected yet. */
const ownBytes = 132 * megabyte;

/** What the pieces of a body take beside it before they are freed. */
const passingBytes = 8 * megabyte;

/** The smallest part of `largest` that is given to peers: less serves nobody. */
const smallestShare = 1 / 16;

/** The share of the descriptors that connections of peers may take; the others are for upstreams and other instances. */
const connectionShare = 0.75;

/** Divides what a machine has beside the process itself. Undefined: a machine with memory and descriptors to spare. */
export function peerLimitsOf(machine: MachineLimits | undefined): PeerLimits {
	if (machine === undefined) {
		return largest;
	}

	const freeBytes = machine.memoryBytes - ownBytes;
	const share = Math.min(1, Math.max(smallestShare, freeBytes / largestBytes));
	return {
		largestBodyBytes: Math.max(smallestShare * largest.bodiesBytes, freeBytes - passingBytes),
		bodiesBytes: Math.floor(largest.bodiesBytes * share),
		shortBodiesBytes: Math.floor(largest.shortBodiesBytes * share),
		bufferedAnswersBytes: Math.floor(largest.bufferedAnswersBytes * share),
		waitingBytes: Math.floor(largest.waitingBytes * share),
		connections: Math.max(1, Math.floor(machine.descriptors * connectionShare)),
	};
}

/** The maximum number of requests of a connection that wait for their answers. */
const maximumRequestsAhead = 256;

/** The objects of a request that waits, in bytes. */
const requestBytes = 8192;

/** The text of a head is kept twice: as fields, and as what is sent on. */
const copiesOfHead = 2;

/** What a request takes until its answer was handed over, without its body. */
export function waitingBytesOf(headBytes: number): number {
	return requestBytes + (copiesOfHead * headBytes);
}

/** An owner that holds so many times its even part is greedy. */
const greedyParts = 2;

type Holding = {bytes: number; requests: number};

/** What is held for each owner, which is a connection. It is on the request path, so it is updated in place. */
export class PeerMemory<Owner> {
	#bytes = 0;
	readonly #holdings = new Map<Owner, Holding>();
	readonly #maximumBytes: number;

	constructor(maximumBytes: number) {
		this.#maximumBytes = maximumBytes;
	}

	/** What is held for all owners. */
	get bytes(): number {
		return this.#bytes;
	}

	/** Adds what is held for an owner from now on. */
	add(owner: Owner, bytes: number): void {
		this.#holdingOf(owner).bytes += bytes;
		this.#bytes += bytes;
	}

	/** Adds a request that waits for its answer. Returns false if too many wait on its connection; nothing is added then. */
	tryAddRequest(owner: Owner, bytes: number): boolean {
		const holding = this.#holdingOf(owner);
		if (holding.requests >= maximumRequestsAhead) {
			return false;
		}

		holding.requests += 1;
		this.add(owner, bytes);
		return true;
	}

	/** Removes a request whose answer was handed over. */
	releaseRequest(owner: Owner, bytes: number): void {
		const holding = this.#holdings.get(owner);
		if (holding !== undefined) {
			holding.requests -= 1;
			this.release(owner, bytes);
		}
	}

	/** Removes what is no longer held. Nothing is held for an owner that was forgotten. */
	release(owner: Owner, bytes: number): void {
		const holding = this.#holdings.get(owner);
		if (holding !== undefined) {
			holding.bytes -= bytes;
			this.#bytes -= bytes;
		}
	}

	/** Removes an owner whose connection has closed. */
	forget(owner: Owner): void {
		const holding = this.#holdings.get(owner);
		if (holding !== undefined) {
			this.#bytes -= holding.bytes;
			this.#holdings.delete(owner);
		}
	}

	/**
	 * Forgets and returns the owner for which most is held, if all together is too much and it has much more than an
	 * even part. So connections with a request each are never closed, and all together hold `greedyParts` times the most.
	 */
	takeGreediest(): Owner | undefined {
		if (this.#bytes <= this.#maximumBytes) {
			return undefined;
		}

		const owners = this.#holdings.size;
		let greediest: Owner | undefined;
		let mostBytes = 0;
		for (const [owner, {bytes}] of this.#holdings) {
			if (bytes > mostBytes) {
				greediest = owner;
				mostBytes = bytes;
			}
		}

		if (greediest === undefined || mostBytes * owners <= greedyParts * this.#maximumBytes) {
			return undefined;
		}

		this.forget(greediest);
		return greediest;
	}

	#holdingOf(owner: Owner): Holding {
		const known = this.#holdings.get(owner);
		if (known !== undefined) {
			return known;
		}

		const holding = {bytes: 0, requests: 0};
		this.#holdings.set(owner, holding);
		return holding;
	}
}
