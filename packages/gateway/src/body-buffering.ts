/**
 * How much of the callers' bodies is kept: each is kept until its request has ended,
 * as it may be sent again.
 *
 * Load pattern: many long bodies arrive at once, each within the declared limit, and
 * together would exhaust the instance's memory; one is announced as long as may be, and
 * never comes. The short bodies of other requests, which are most, still have room then.
 */

/** A body of at most this many bytes is short. */
export const shortBodyBytes = 65_536;

/** The kept bytes of all bodies of an instance. It is on the request path, so it is updated in place. */
export class BodyBuffering {
	#bytes = 0;
	/** Those of short bodies. */
	#shortBytes = 0;
	readonly #maxBytes: number;
	readonly #reservedBytes: number;

	/**
	 * `maxBytes` is the most that is kept of all bodies together, unless a single body is longer;
	 * `reservedBytes` more may be kept of short ones.
	 */
	constructor(maxBytes: number, reservedBytes: number) {
		this.#maxBytes = maxBytes;
		this.#reservedBytes = reservedBytes;
	}

	/** The number of bytes that are kept now. */
	get bytes(): number {
		return this.#bytes;
	}

	/**
	 * Adds bytes of a body that has `kept` already. Returns false if there is no room for them beside other
	 * bodies; nothing is added then. A body that is alone always has room.
	 */
	tryKeep(bytes: number, kept: number): boolean {
		const isShort = kept + bytes <= shortBodyBytes;
		const reservedBytes = isShort ? this.#reservedBytes : 0;
		const hasReserve = isShort && this.#shortBytes + bytes <= reservedBytes;
		if (!hasReserve && this.#bytes + bytes > this.#maxBytes + reservedBytes && this.#bytes > kept) {
			return false;
		}

		this.#bytes += bytes;
		if (isShort) {
			this.#shortBytes += bytes;
		} else if (kept <= shortBodyBytes) {
			this.#shortBytes -= kept;
		}

		return true;
	}

	/** Removes all bytes of a body whose request has ended. */
	release(bytes: number): void {
		this.#bytes -= bytes;
		this.#shortBytes -= bytes <= shortBodyBytes ? bytes : 0;
	}
}
