/**
 * Writes lines to a file descriptor without ever waiting for its reader: lines
 * are gathered and written in turn, and left out while too much waits.
 */
import {write} from 'node:fs';

/** Bytes that may wait to be written. */
const mostWaitingCharacters = 262_144;

/** A writer of lines. */
export type LineWriter = {
	readonly write: (line: string) => void;
	/** How many lines were left out so far. */
	readonly dropped: () => number;
	/** Ends when all that was taken is written. */
	readonly flush: () => Promise<void>;
};

/** Makes a writer for a descriptor, such as 1 for the standard output. */
export function createLineWriter(descriptor: number): LineWriter {
	let waiting: string[] = [];
	let characters = 0;
	let isWriting = false;
	let dropped = 0;
	let flushed: Array<() => void> = [];

	function finish(): void {
		isWriting = false;
		const ended = flushed;
		flushed = [];
		for (const end of ended) {
			end();
		}
	}

	function writeRest(text: Uint8Array): void {
		write(descriptor, text, (error, written) => {
			if (error !== null && (error).code !== 'EAGAIN') {
				finish();
				return;
			}

			const rest = text.subarray(error === null ? written : 0);
			if (rest.length > 0) {
				setTimeout(writeRest, error === null ? 0 : 5, rest);
			} else {
				writeNext();
			}
		});
	}

	function writeNext(): void {
		if (waiting.length === 0) {
			finish();
			return;
		}

		const text = new TextEncoder().encode(`${waiting.join('\n')}\n`);
		waiting = [];
		characters = 0;
		isWriting = true;
		writeRest(text);
	}

	return {
		write(line) {
			if (characters + line.length > mostWaitingCharacters) {
				dropped += 1;
				return;
			}

			waiting.push(line);
			characters += line.length;
			if (!isWriting) {
				isWriting = true;
				setImmediate(writeNext);
			}
		},
		dropped: () => dropped,
		async flush() {
			return new Promise(resolve => {
				if (isWriting) {
					flushed.push(resolve);
				} else {
					resolve();
				}
			});
		},
	};
}
