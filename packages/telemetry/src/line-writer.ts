/**
 * Writes lines to a file descriptor without blocking on its reader: lines are
 * buffered and written in order, and dropped while the buffer is full.
 */
import {write} from 'node:fs';

/** Limit of the buffer, in characters (UTF-16 code units). */
const maximumBufferedCharacters = 262_144;

/** A non-blocking writer of lines. */
export type LineWriter = {
	readonly write: (line: string) => void;
	/** Returns the number of lines dropped so far. */
	readonly dropped: () => number;
	/** Resolves when all accepted lines are written, or a write has failed. */
	readonly flush: () => Promise<void>;
};

/** Creates a writer for a file descriptor, such as 1 for the standard output. */
export function createLineWriter(descriptor: number): LineWriter {
	let bufferedLines: string[] = [];
	let bufferedCharacters = 0;
	let isWriting = false;
	let dropped = 0;
	let flushWaiters: Array<() => void> = [];

	function finish(): void {
		isWriting = false;
		const waiters = flushWaiters;
		flushWaiters = [];
		for (const resolveFlush of waiters) {
			resolveFlush();
		}
	}

	function writeRemaining(text: Uint8Array): void {
		write(descriptor, text, (error, written) => {
			if (error !== null && (error).code !== 'EAGAIN') {
				finish();
				return;
			}

			const rest = text.subarray(error === null ? written : 0);
			if (rest.length > 0) {
				setTimeout(writeRemaining, error === null ? 0 : 5, rest);
			} else {
				writeNext();
			}
		});
	}

	function writeNext(): void {
		if (bufferedLines.length === 0) {
			finish();
			return;
		}

		const text = new TextEncoder().encode(`${bufferedLines.join('\n')}\n`);
		bufferedLines = [];
		bufferedCharacters = 0;
		isWriting = true;
		writeRemaining(text);
	}

	return {
		write(line) {
			if (bufferedCharacters + line.length > maximumBufferedCharacters) {
				dropped += 1;
				return;
			}

			bufferedLines.push(line);
			bufferedCharacters += line.length;
			if (!isWriting) {
				isWriting = true;
				setImmediate(writeNext);
			}
		},
		dropped: () => dropped,
		async flush() {
			return new Promise(resolve => {
				if (isWriting) {
					flushWaiters.push(resolve);
				} else {
					resolve();
				}
			});
		},
	};
}
