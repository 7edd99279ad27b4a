/**
 * Keeps the answer to a claimed operation, so that a resend gets the same one.
 */
import {Buffer} from 'node:buffer';
import {type StoredAnswer} from '@dogwooddeck/routing/claim';
import {type RawHeaders} from './headers.js';

/** The largest answer that is kept. */
const largestStoredAnswerBytes = 65_536;

/** An answer that is kept as it passes. */
export type KeptAnswer = {
	/** Takes the next part of the body. */
	add(chunk: Uint8Array): void;
	/** The whole answer, unless it was too large. */
	stored(): StoredAnswer | undefined;
};

/** Begins to keep an answer. */
export function keepAnswer(status: number, headers: RawHeaders): KeptAnswer {
	const chunks: Uint8Array[] = [];
	let size = 0;
	return {
		add(chunk) {
			size += chunk.length;
			if (size <= largestStoredAnswerBytes) {
				chunks.push(chunk);
			}
		},
		stored: () => size > largestStoredAnswerBytes ? undefined : {status, headers, body: Buffer.concat(chunks).toString('base64')},
	};
}
