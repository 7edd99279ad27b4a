/**
 * The framing of records in a file. A frame is a magic marker, the length of its
 * payload, a checksum over both, and the payload. All numbers are little-endian.
 */
import {type XXHashAPI} from 'xxhash-wasm';

/** Bytes that never occur in UTF-8 text, so that a later frame can be found after a damaged one. */
const magic = Uint8Array.of(0xFF, 0xDD, 0xFE, 0xC1);

const lengthOffset = magic.length;
const checksumOffset = lengthOffset + 4;
const headerBytes = checksumOffset + 8;

/** The frames of a file, up to the first byte that is not part of a valid frame. */
export type FrameScan = {
	readonly payloads: readonly string[];
	readonly endOffset: number;
	/** Whether a valid frame follows `endOffset`: then the file is damaged, rather than torn at its end. */
	readonly validFrameFollows: boolean;
};

function checksumOf(hash: XXHashAPI, bytes: Uint8Array, offset: number, length: number): bigint {
	const payload = bytes.subarray(offset + headerBytes, offset + headerBytes + length);
	return hash.h64Raw(payload, BigInt(length));
}

/** Encodes a payload as a frame. */
export function encodeFrame(hash: XXHashAPI, payload: string): Uint8Array {
	const text = new TextEncoder().encode(payload);
	const frame = new Uint8Array(headerBytes + text.length);
	const view = new DataView(frame.buffer);
	frame.set(magic, 0);
	frame.set(text, headerBytes);
	view.setUint32(lengthOffset, text.length, true);
	view.setBigUint64(checksumOffset, checksumOf(hash, frame, 0, text.length), true);
	return frame;
}

/** Returns the payload of the valid frame at an offset; undefined if there is none. */
function frameAt(hash: XXHashAPI, bytes: Uint8Array, offset: number): {readonly payload: Uint8Array; readonly end: number} | undefined {
	if (offset + headerBytes > bytes.length || magic.some((byte, position) => bytes[offset + position] !== byte)) {
		return undefined;
	}

	const view = new DataView(bytes.buffer, bytes.byteOffset, bytes.byteLength);
	const length = view.getUint32(offset + lengthOffset, true);
	const end = offset + headerBytes + length;
	const isValid = end <= bytes.length && checksumOf(hash, bytes, offset, length) === view.getBigUint64(offset + checksumOffset, true);
	return isValid ? {payload: bytes.subarray(offset + headerBytes, end), end} : undefined;
}

function hasValidFrameAfter(hash: XXHashAPI, bytes: Uint8Array, offset: number): boolean {
	let candidate = bytes.indexOf(magic[0]!, offset + 1);
	while (candidate !== -1) {
		if (frameAt(hash, bytes, candidate) !== undefined) {
			return true;
		}

		candidate = bytes.indexOf(magic[0]!, candidate + 1);
	}

	return false;
}

/** Reads consecutive frames from an offset on. */
export function scanFrames(hash: XXHashAPI, bytes: Uint8Array, offset: number): FrameScan {
	const decoder = new TextDecoder();
	const payloads: string[] = [];
	let endOffset = offset;
	let frame = frameAt(hash, bytes, endOffset);
	while (frame !== undefined) {
		payloads.push(decoder.decode(frame.payload));
		endOffset = frame.end;
		frame = frameAt(hash, bytes, endOffset);
	}

	return {payloads, endOffset, validFrameFollows: endOffset < bytes.length && hasValidFrameAfter(hash, bytes, endOffset)};
}
