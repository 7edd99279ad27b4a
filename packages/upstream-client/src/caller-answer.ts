/**
 * The answer to one caller: passed on, told as a problem, or broken off. Once
 * the caller is gone nothing is written any more.
 */
import {Buffer} from 'node:buffer';
import {type ServerResponse} from 'node:http';
import {type Failure} from '@dogwooddeck/model/failure';
import {HeaderName} from '@dogwooddeck/model/headers';
import {Outcome} from '@dogwooddeck/model/outcome';
import {type StoredAnswer} from '@dogwooddeck/routing/claim';
import {type RawHeaders} from './headers.js';
import {writeProblem} from './problem.js';

/** A write that comes between the end of a connection and its `close` event fails; the event tells the rest. */
function ignoreError(): void {
	// The connection is over.
}

/** What a caller has got of its answer. It is mutable: it follows the connection. */
export class CallerAnswer {
	/** Whether the caller went away before its answer was whole. */
	gone = false;
	readonly #response: ServerResponse;
	#status: number | undefined;

	constructor(response: ServerResponse) {
		this.#response = response;
	}

	/** Whether the head of an answer was passed on, or would have been. */
	get begun(): boolean {
		return this.#status !== undefined;
	}

	/** The status that the caller got. */
	get status(): number | undefined {
		return this.gone ? undefined : this.#status;
	}

	/** Calls `whenGone` if the connection ends before the answer is over. */
	watch(whenGone: () => void): void {
		this.#response.once('close', whenGone);
		this.#response.on('error', ignoreError);
	}

	/** Passes the head of an upstream's answer on. */
	head(status: number, headers: RawHeaders): void {
		this.#status = status;
		if (!this.gone) {
			this.#response.sendDate = false;
			this.#response.writeHead(status, [...headers, HeaderName.outcome, Outcome.ran]);
		}
	}

	/** Passes a part of the body on. `false`: `whenDrained` is called when there is room again. */
	chunk(bytes: Uint8Array, whenDrained: () => void): boolean {
		if (this.gone || this.#response.write(bytes)) {
			return true;
		}

		this.#response.once('drain', whenDrained);
		return false;
	}

	/** The answer is whole. */
	end(): void {
		if (!this.gone) {
			this.#response.end();
		}
	}

	/** The caller has part of an answer that is not whole, so it must not see an end. */
	break(): void {
		this.#status = undefined;
		this.#response.destroy();
	}

	/** Tells a failure in place of an answer. */
	refuse(why: Failure, status: number, outcome: Outcome): void {
		this.#status = status;
		if (!this.gone) {
			writeProblem(this.#response, why, status, outcome);
		}
	}

	/** Gives an answer that was kept. */
	replay(answer: StoredAnswer): void {
		this.head(answer.status, answer.headers);
		if (!this.gone) {
			this.#response.end(Buffer.from(answer.body, 'base64'));
		}
	}
}
