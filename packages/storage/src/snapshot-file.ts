/**
 * The snapshot file: a format line, then one frame.
 */
import {Buffer} from 'node:buffer';
import {type Snapshot} from '@dogwooddeck/consensus/message';
import {type XXHashAPI} from 'xxhash-wasm';
import {damagedFailure, readIfExists, replaceFile} from './files.js';
import {encodeFrame, scanFrames} from './frame.js';
import {hasFormatLine} from './log-file.js';

const formatLine = new TextEncoder().encode('dogwooddeck snapshot 1\n');

/** Reads the snapshot; returns undefined if there is none. */
export async function readSnapshot(hash: XXHashAPI, file: string): Promise<Snapshot | undefined> {
	const bytes = await readIfExists(file);
	if (bytes === undefined) {
		return undefined;
	}

	if (!hasFormatLine(bytes, formatLine)) {
		throw damagedFailure(file, 0, 'The file does not begin with the header of snapshot format 1.');
	}

	const {payloads, endOffset} = scanFrames(hash, bytes, formatLine.length);
	if (payloads.length !== 1 || endOffset !== bytes.length) {
		throw damagedFailure(file, payloads.length === 1 ? endOffset : formatLine.length, 'The snapshot is damaged.');
	}

	return JSON.parse(payloads[0]!) as Snapshot;
}

/** Replaces the snapshot file atomically. */
export async function writeSnapshot(hash: XXHashAPI, file: string, snapshot: Snapshot): Promise<void> {
	await replaceFile(file, Buffer.concat([formatLine, encodeFrame(hash, JSON.stringify(snapshot))]));
}
