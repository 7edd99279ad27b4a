/**
 * Collects the pieces of a body in a few buffers. A parser reports a piece for each
 * chunk, however small, and an object for each would take many times its bytes.
 *
 * Load pattern: a body of unknown length that takes a large part of a small machine's memory, and would take it twice
 * while its parts are joined. It is collected in one buffer that is larger than what was received: the operating
 * system gives memory only to the part that was written.
 */
import {Buffer} from 'node:buffer';

const smallestPageBytes = 1024;
const largestPageBytes = 65_536;

/** Bodies of unknown length that are longer are collected in one buffer, which grows by this factor. */
const longBytes = 1_048_576;
const growth = 8;

/** The pieces of one body. It takes at most twice their bytes and `smallestPageBytes` more, or what was expected; if long, once. */
export class ByteCollector {
	#pages: Buffer[] = [];
	/** The last page, of which only the first `#pageLength` bytes are filled. */
	#page: Buffer | undefined;
	#pageLength = 0;
	#length = 0;

	/**
	 * `expectedBytes`: the length of the whole body if it is known; it is then collected in one buffer.
	 * `maximumBytes`: the greatest length that will be added; undefined if there is none.
	 */
	constructor(readonly expectedBytes = 0, readonly maximumBytes?: number) {}

	/** The number of bytes that were collected. */
	get length(): number {
		return this.#length;
	}

	/** Copies a piece. */
	add(piece: Uint8Array): void {
		const room = (this.#page?.length ?? 0) - this.#pageLength;
		const fitting = Math.min(room, piece.length);
		if (fitting > 0) {
			this.#page!.set(piece.subarray(0, fitting), this.#pageLength);
			this.#pageLength += fitting;
		}

		if (fitting < piece.length) {
			this.#startPage(piece.subarray(fitting));
		}

		this.#length += piece.length;
	}

	/** Returns all bytes in one buffer, and starts anew. */
	take(): Buffer {
		const last = this.#page?.subarray(0, this.#pageLength) ?? Buffer.alloc(0);
		const bytes = this.#pages.length === 0 ? last : Buffer.concat([...this.#pages, last]);
		this.clear();
		return bytes;
	}

	/** Drops all bytes. */
	clear(): void {
		this.#pages = [];
		this.#page = undefined;
		this.#pageLength = 0;
		this.#length = 0;
	}

	#startPage(rest: Uint8Array): void {
		if (this.maximumBytes !== undefined && this.expectedBytes === 0 && this.#length + rest.length > longBytes) {
			this.#joinPages(this.maximumBytes, rest);
			return;
		}

		if (this.#page !== undefined) {
			this.#pages.push(this.#page);
		}

		const wantedBytes = Math.max(this.expectedBytes - this.#length, Math.min(largestPageBytes, Math.max(smallestPageBytes, this.#length)));
		this.#page = Buffer.allocUnsafeSlow(Math.max(wantedBytes, rest.length));
		this.#page.set(rest);
		this.#pageLength = rest.length;
	}

	/** Moves all that was collected, and what follows it, into one page. */
	#joinPages(maximumBytes: number, rest: Uint8Array): void {
		const last = this.#page?.subarray(0, this.#pageLength) ?? Buffer.alloc(0);
		const parts = [...this.#pages, last, rest];
		const bytes = parts.reduce((sum, part) => sum + part.length, 0);
		const joined = Buffer.allocUnsafeSlow(Math.max(bytes, Math.min(maximumBytes, bytes * growth)));
		let length = 0;
		for (const part of parts) {
			joined.set(part, length);
			length += part.length;
		}

		this.#pages = [];
		this.#page = joined;
		this.#pageLength = length;
	}
}
