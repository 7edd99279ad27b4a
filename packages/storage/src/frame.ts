/**
 * Frames: how records stand in a file. A frame is a mark, the length of its
 * payload, a checksum over both, and the payload. All numbers are little-endian.
 */
import {type XXHashAPI} from 'xxhash-wasm';

/** Bytes that never stand in UTF-8 text, so that a later frame is found after a damaged one. */
const mark = Uint8Array.of(0xFF, 0xDD, 0xFE, 0xC1);

const lengthOffset = mark.length;
const checksumOffset = lengthOffset + 4;
const headerBytes = checksumOffset + 8;

/** What a file holds, up to the first byte that no frame accounts for. */
export type FrameScan = {
	readonly payloads: readonly string[];
	readonly endOffset: number;
	/** Whether a whole frame stands after `endOffset`: then the file is damaged, not torn. */
	readonly wholeFrameFollows: boolean;
};

function checksumOf(hash: XXHashAPI, bytes: Uint8Array, offset: number, length: number): bigint {
	const payload = bytes.subarray(offset + headerBytes, offset + headerBytes + length);
	return hash.h64Raw(payload, BigInt(length));
}

/** Puts a payload into a frame. */
export function encodeFrame(hash: XXHashAPI, payload: string): Uint8Array {
	const text = new TextEncoder().encode(payload);
	const frame = new Uint8Array(headerBytes + text.length);
	const view = new DataView(frame.buffer);
	frame.set(mark, 0);
	frame.set(text, headerBytes);
	view.setUint32(lengthOffset, text.length, true);
	view.setBigUint64(checksumOffset, checksumOf(hash, frame, 0, text.length), true);
	return frame;
}

/** The payload of the whole frame at an offset; undefined where there is none. */
function frameAt(hash: XXHashAPI, bytes: Uint8Array, offset: number): {readonly payload: Uint8Array; readonly end: number} | undefined {
	if (offset + headerBytes > bytes.length || mark.some((byte, position) => bytes[offset + position] !== byte)) {
		return undefined;
	}

	const view = new DataView(bytes.buffer, bytes.byteOffset, bytes.byteLength);
	const length = view.getUint32(offset + lengthOffset, true);
	const end = offset + headerBytes + length;
	const whole = end <= bytes.length && checksumOf(hash, bytes, offset, length) === view.getBigUint64(offset + checksumOffset, true);
	return whole ? {payload: bytes.subarray(offset + headerBytes, end), end} : undefined;
}

function wholeFrameAfter(hash: XXHashAPI, bytes: Uint8Array, offset: number): boolean {
	let candidate = bytes.indexOf(mark[0]!, offset + 1);
	while (candidate !== -1) {
		if (frameAt(hash, bytes, candidate) !== undefined) {
			return true;
		}

		candidate = bytes.indexOf(mark[0]!, candidate + 1);
	}

	return false;
}

/** Reads all frames from an offset on. */
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

	return {payloads, endOffset, wholeFrameFollows: endOffset < bytes.length && wholeFrameAfter(hash, bytes, endOffset)};
}
