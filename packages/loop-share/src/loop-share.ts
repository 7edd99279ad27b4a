/**
 * Divides the time of the event loop between data that arrives in short pieces and everything else.
 *
 * Load pattern: a few peers send bodies in chunks of a byte. A chunk costs microseconds, however short it is, so that
 * some megabytes of them take the loop for seconds, and the requests of all other peers wait meanwhile. Peers that
 * send more than a few are throttled: they are read in turn, so that all of them together take `share` of the loop while others
 * need it. No peer is closed: a slow turn of the loop doesn't tell which peer caused it, and a body in short pieces may be
 * in order.
 */
import {type Milliseconds, type MonotonicTime} from '@dogwooddeck/model/identifiers';

/** The share of the loop's time that the short pieces of all costly peers may take while others need it. */
export const share = 0.25;

/** What all costly peers may take at once beyond their share. */
export const burst: Milliseconds = 5;

/** A peer is costly while it has taken more than this beyond the same share. */
export const ownBurst: Milliseconds = 1;

/** Longer gaps between two pieces of a peer were spent on other work, or not by this process. */
export const longestPiece: Milliseconds = 0.05;

/** Time that was taken and has not been made up for. */
class Account {
	#debt: Milliseconds = 0;
	#settledAt: MonotonicTime;

	constructor(now: MonotonicTime) {
		this.#settledAt = now;
	}

	debtAt(now: MonotonicTime): Milliseconds {
		this.#debt = Math.max(0, this.#debt - ((now - this.#settledAt) * share));
		this.#settledAt = now;
		return this.#debt;
	}

	clear(): void {
		this.#debt = 0;
	}

	charge(milliseconds: Milliseconds, now: MonotonicTime): Milliseconds {
		this.#debt = this.debtAt(now) + milliseconds;
		return this.#debt;
	}
}

/** What the short pieces of each peer take of the loop. It is updated in place, as it is on the request path. */
export class LoopShare<Peer> {
	readonly #accounts = new Map<Peer, Account>();
	/** In the order in which they were throttled. */
	readonly #throttled = new Set<Peer>();
	readonly #total = new Account(0);
	#taken: Milliseconds = 0;
	#lastPeer: Peer | undefined;
	#lastAt: MonotonicTime = 0;

	/** The time that all pieces took, in milliseconds. */
	get taken(): Milliseconds {
		return this.#taken;
	}

	/** Whether peers are throttled. */
	get hasThrottled(): boolean {
		return this.#throttled.size > 0;
	}

	/** Charges a peer for the time since its previous piece. Returns true if reading from it must stop; it is throttled from then on. */
	charge(peer: Peer, now: MonotonicTime): boolean {
		// The time before the first of several pieces was spent on something else.
		const cost = peer === this.#lastPeer ? Math.min(now - this.#lastAt, longestPiece) : 0;
		this.#lastPeer = peer;
		this.#lastAt = now;
		this.#taken += cost;
		const account = this.#accountOf(peer, now);
		const wasCostly = account.debtAt(now) > ownBurst;
		const own = account.charge(cost, now);
		// Peers that send a few pieces don't count, so that they can't keep those that are throttled waiting.
		if (own <= ownBurst) {
			return false;
		}

		const total = this.#total.charge(wasCostly ? cost : own, now);
		if (total <= burst || this.#throttled.has(peer)) {
			return false;
		}

		this.#throttled.add(peer);
		return true;
	}

	/** Records that the loop had nothing to do: nobody waits for the time that was taken. */
	recordIdle(): void {
		this.#total.clear();
	}

	/** Returns the peer that has been throttled for longest, which no longer is, unless the time that costly peers took is not made up for yet. */
	takeNext(now: MonotonicTime): Peer | undefined {
		const [next] = this.#total.debtAt(now) > 0 ? [] : this.#throttled;
		if (next !== undefined) {
			this.#throttled.delete(next);
		}

		return next;
	}

	/** Removes a peer whose connection has closed. */
	forget(peer: Peer): void {
		this.#accounts.delete(peer);
		this.#throttled.delete(peer);
		if (this.#lastPeer === peer) {
			this.#lastPeer = undefined;
		}
	}

	#accountOf(peer: Peer, now: MonotonicTime): Account {
		const known = this.#accounts.get(peer);
		if (known !== undefined) {
			return known;
		}

		const account = new Account(now);
		this.#accounts.set(peer, account);
		return account;
	}
}
