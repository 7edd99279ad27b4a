/**
 * Long messages of a stream go out in parts, each of which shows the receiver
 * that the stream is alive: a message may take longer than a stream may be silent.
 */
import {Buffer} from 'node:buffer';
import {failure, FailureKind, type Failure} from '@dogwooddeck/model/failure';
import {err, ok, type Result} from 'true-myth/result';

/** What one HTTP/2 frame holds: 66 ms on a link of 2 Mbit/s, the slowest of an instance. */
export const partBytes = 16_384;

/** The first byte of a part. */
const PartMark = {more: 0, last: 1} as const;

/** Divides a message. */
export function splitMessage(message: Buffer): readonly Buffer[] {
	const parts: Buffer[] = [];
	for (let start = 0; start === 0 || start < message.length; start += partBytes) {
		const end = Math.min(message.length, start + partBytes);
		const mark = end === message.length ? PartMark.last : PartMark.more;
		parts.push(Buffer.concat([Buffer.of(mark), message.subarray(start, end)]));
	}

	return parts;
}

/** Puts the parts of a stream's messages together. It is updated in place. */
export class PartGathering {
	readonly #mostBytes: number;
	#parts: Buffer[] = [];
	#bytes = 0;

	/** `mostBytes`: no message may be longer. */
	constructor(mostBytes: number) {
		this.#mostBytes = mostBytes;
	}

	/** Takes a part; gives the message that it ends, if it does. Fails with `tooLarge`, and with `malformed` where it is no part. */
	take(part: Buffer): Result<Buffer | undefined, Failure> {
		const mark = part[0];
		if (mark !== PartMark.more && mark !== PartMark.last) {
			return err(failure(FailureKind.malformed, 'a stream brought bytes that are no part of a message'));
		}

		this.#parts.push(part.subarray(1));
		this.#bytes += part.length - 1;
		if (this.#bytes > this.#mostBytes) {
			return err(failure(FailureKind.tooLarge, `a message is longer than ${this.#mostBytes} bytes`));
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
