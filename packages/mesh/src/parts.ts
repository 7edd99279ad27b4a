/**
 * Splits long messages of a stream into parts, each of which shows the receiver
 * that the stream is alive: a message may take longer to send than the receiver's
 * contact timeout.
 */
import {Buffer} from 'node:buffer';
import {failure, FailureKind, type Failure} from '@dogwooddeck/model/failure';
import {err, ok, type Result} from 'true-myth/result';

/** Payload of one HTTP/2 frame: 66 ms on a link of 2 Mbit/s, the slowest that an instance may have. */
export const partBytes = 16_384;

/** The first byte of a part: whether more parts of the message follow. */
const PartMark = {more: 0, last: 1} as const;

/** Splits a message into parts. */
export function splitMessage(message: Buffer): readonly Buffer[] {
	const parts: Buffer[] = [];
	for (let start = 0; start === 0 || start < message.length; start += partBytes) {
		const end = Math.min(message.length, start + partBytes);
		const mark = end === message.length ? PartMark.last : PartMark.more;
		parts.push(Buffer.concat([Buffer.of(mark), message.subarray(start, end)]));
	}

	return parts;
}

/** Reassembles the messages of a stream from their parts. Mutable. */
export class PartAssembler {
	readonly #maximumBytes: number;
	#parts: Buffer[] = [];
	#bytes = 0;

	/** `maximumBytes`: the maximum length of a message. */
	constructor(maximumBytes: number) {
		this.#maximumBytes = maximumBytes;
	}

	/** Adds a part and returns the message if it is complete. Fails with `tooLarge` if the message is too long, and with `malformed` if the bytes are not a part. */
	add(part: Buffer): Result<Buffer | undefined, Failure> {
		const mark = part[0];
		if (mark !== PartMark.more && mark !== PartMark.last) {
			return err(failure(FailureKind.malformed, 'the stream delivered bytes that are not part of a message'));
		}

		this.#parts.push(part.subarray(1));
		this.#bytes += part.length - 1;
		if (this.#bytes > this.#maximumBytes) {
			return err(failure(FailureKind.tooLarge, `the message is longer than ${this.#maximumBytes} bytes`));
		}

		if (mark === PartMark.more) {
			return ok(undefined);
		}

		const message = Buffer.concat(this.#parts);
		this.#parts = [];
		this.#bytes = 0;
		return ok(message);
	}
}
