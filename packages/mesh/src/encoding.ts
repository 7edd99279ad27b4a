/**
 * Encoding of messages: JSON, compressed where that is worth the processor time.
 * Traffic between regions is billed by volume, and a log entry of many routes is
 * highly repetitive.
 */
import {Buffer} from 'node:buffer';
import {constants, deflateRawSync, inflateRawSync} from 'node:zlib';

/** Maximum size of a message in bytes before compression: a full snapshot of about ten thousand routes. */
export const largestMessageBytes = 33_554_432;

/** Shorter messages are sent uncompressed: setting up the compression would cost more than it saves. */
const minimumCompressedBytes = 2048;

/** The first byte of a compressed message. JSON never starts with it. */
const compressedMark = 0x01;

/** Encodes a value as a message. */
export function encodeMessage(value: unknown): Buffer {
	return encodeText(JSON.stringify(value));
}

/** Encodes JSON text as a message. */
export function encodeText(text: string): Buffer {
	const bytes = Buffer.from(text);
	return bytes.length < minimumCompressedBytes
		? bytes
		: Buffer.concat([Buffer.of(compressedMark), deflateRawSync(bytes, {level: constants.Z_BEST_SPEED})]);
}

/** Decodes a message. Throws an `Error` if it is malformed or too large. */
export function decodeMessage(bytes: Buffer): unknown {
	const text = bytes[0] === compressedMark ? inflateRawSync(bytes.subarray(1), {maxOutputLength: largestMessageBytes}) : bytes;
	return JSON.parse(text.toString());
}
