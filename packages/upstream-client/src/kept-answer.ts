/**
 * Buffers the answer to a claimed operation, so that a resend gets the same answer.
 */
import {type StoredAnswer} from '@dogwooddeck/routing/claim';
import {ByteCollector} from './byte-collector.js';
import {type RawHeaders} from './headers.js';

/** The maximum body size of a stored answer. */
const maximumStoredAnswerBytes = 65_536;

/** An answer that is buffered while it is relayed. */
export type KeptAnswer = {
	/** Appends the next chunk of the body. */
	add(chunk: Uint8Array): void;
	/** Returns the answer, or undefined if its body was too large. */
	stored(): StoredAnswer | undefined;
};

/** Starts buffering an answer. */
export function keepAnswer(status: number, headers: RawHeaders): KeptAnswer {
	const collected = new ByteCollector();
	let bodyBytes = 0;
	return {
		add(chunk) {
			bodyBytes += chunk.length;
			if (bodyBytes <= maximumStoredAnswerBytes) {
				collected.add(chunk);
			}
		},
		stored: () => bodyBytes > maximumStoredAnswerBytes ? undefined : {status, headers, body: collected.take().toString('base64')},
	};
}
