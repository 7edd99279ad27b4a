/**
 * The snapshot file: a line that names its format, then one frame.
 */
import {Buffer} from 'node:buffer';
import {type Snapshot} from '@dogwooddeck/consensus/message';
import {type XXHashAPI} from 'xxhash-wasm';
import {damaged, readIfThere, replaceFile} from './files.js';
import {encodeFrame, scanFrames} from './frame.js';
import {hasFormat} from './log-file.js';

const format = new TextEncoder().encode('dogwooddeck snapshot 1\n');

/** Reads the snapshot; undefined where there is none. */
export async function readSnapshot(hash: XXHashAPI, file: string): Promise<Snapshot | undefined> {
	const bytes = await readIfThere(file);
	if (bytes === undefined) {
		return undefined;
	}

	if (!hasFormat(bytes, format)) {
		throw damaged(file, 0, 'The file does not begin as a snapshot of format 1.');
	}

	const {payloads, endOffset} = scanFrames(hash, bytes, format.length);
	if (payloads.length !== 1 || endOffset !== bytes.length) {
		throw damaged(file, payloads.length === 1 ? endOffset : format.length, 'The snapshot is damaged.');
	}

	return JSON.parse(payloads[0]!) as Snapshot;
}

/** Puts a snapshot in place of the one before. */
export async function writeSnapshot(hash: XXHashAPI, file: string, snapshot: Snapshot): Promise<void> {
	await replaceFile(file, Buffer.concat([format, encodeFrame(hash, JSON.stringify(snapshot))]));
}
