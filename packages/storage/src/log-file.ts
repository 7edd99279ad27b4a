/**
 * The log file: a format line, then one frame for each write.
 * Each frame is synced before the next is written, so only the last can be torn.
 */
import {Buffer} from 'node:buffer';
import {open, type FileHandle} from 'node:fs/promises';
import {type XXHashAPI} from 'xxhash-wasm';
import {encodeFrame, scanFrames} from './frame.js';
import {
	damagedFailure, readIfExists, replaceFile, writeFully,
} from './files.js';
import {type LogRecord} from './record.js';

const formatLine = new TextEncoder().encode('dogwooddeck log 1\n');

/** A log file open for writing. */
export type LogFile = {
	readonly handle: FileHandle;
	readonly endOffset: number;
};

/** Returns whether a file begins with the expected format line. */
export function hasFormatLine(bytes: Uint8Array, expected: Uint8Array): boolean {
	return bytes.length >= expected.length && expected.every((byte, position) => bytes[position] === byte);
}

/** The content of a log file. */
export type LogContent = {
	readonly records: readonly LogRecord[];
	/** The end of the last valid record. Any bytes after it are a torn tail. */
	readonly endOffset: number;
};

/** Reads the records of the log file; returns undefined if it does not exist. */
export async function readLogFile(hash: XXHashAPI, file: string): Promise<LogContent | undefined> {
	const bytes = await readIfExists(file);
	if (bytes === undefined) {
		return undefined;
	}

	if (!hasFormatLine(bytes, formatLine)) {
		throw damagedFailure(file, 0, 'The file does not begin with the header of log format 1.');
	}

	const scan = scanFrames(hash, bytes, formatLine.length);
	if (scan.validFrameFollows) {
		throw damagedFailure(file, scan.endOffset, 'A record in the middle of the log is damaged.');
	}

	return {records: scan.payloads.map(payload => JSON.parse(payload) as LogRecord), endOffset: scan.endOffset};
}

/** Opens a log file that was read, and truncates a torn tail. */
export async function openLogFile(file: string, {endOffset}: LogContent): Promise<LogFile> {
	const handle = await open(file, 'r+');
	const {size} = await handle.stat();
	if (endOffset < size) {
		await handle.truncate(endOffset);
		await handle.sync();
	}

	return {handle, endOffset};
}

/** Replaces the log file atomically and opens the new one. */
export async function replaceLogFile(hash: XXHashAPI, file: string, records: readonly LogRecord[]): Promise<LogFile> {
	const bytes = Buffer.concat([formatLine, ...records.map(record => encodeFrame(hash, JSON.stringify(record)))]);
	await replaceFile(file, bytes);
	return {handle: await open(file, 'r+'), endOffset: bytes.length};
}

/** Appends one frame and syncs it. */
export async function appendRecord(hash: XXHashAPI, log: LogFile, record: LogRecord): Promise<LogFile> {
	const frame = encodeFrame(hash, JSON.stringify(record));
	await writeFully(log.handle, frame, log.endOffset);
	await log.handle.datasync();
	return {...log, endOffset: log.endOffset + frame.length};
}
