/**
 * How much of an answer is buffered before it is forwarded to its caller. A request
 * whose answer is truncated can be retried only until then.
 *
 * Load patterns: many long answers arrive at once, and their buffers together would
 * exhaust the instance's memory; a long answer of which the caller wants the first
 * bytes long before the last one.
 */
import {AnswerSize} from '@dogwooddeck/directory/item';

/** The most of one answer that is buffered. */
export const maxBufferedBytes: Readonly<Record<AnswerSize, number>> = {
	[AnswerSize.ordinary]: 131_072,
	[AnswerSize.large]: 32_768,
};

/** The buffered bytes of all answers of an instance. It is on the request path, so it is updated in place. */
export class AnswerBuffering {
	#bytes = 0;
	readonly #maxBytes: number;

	/** `maxBytes` is the most that is buffered of all answers together. */
	constructor(maxBytes: number) {
		this.#maxBytes = maxBytes;
	}

	/** The number of bytes that are buffered now. */
	get bytes(): number {
		return this.#bytes;
	}

	/** Adds bytes to those buffered of an answer, which has `buffered` already. Returns false if the answer must be forwarded instead; nothing is added then. */
	tryBuffer(bytes: number, buffered: number, size: AnswerSize): boolean {
		if (buffered + bytes > maxBufferedBytes[size] || this.#bytes + bytes > this.#maxBytes) {
			return false;
		}

		this.#bytes += bytes;
		return true;
	}

	/** Removes the bytes of an answer that was forwarded or dropped. */
	release(bytes: number): void {
		this.#bytes -= bytes;
	}
}
