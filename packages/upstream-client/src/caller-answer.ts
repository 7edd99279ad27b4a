/**
 * Writes the answer to one caller: relayed from the upstream, replaced by a
 * problem body, or aborted. Nothing is written after the caller disconnects.
 */
import {Buffer} from 'node:buffer';
import {type ServerResponse} from 'node:http';
import {type Failure} from '@dogwooddeck/model/failure';
import {HeaderName} from '@dogwooddeck/model/headers';
import {Outcome} from '@dogwooddeck/model/outcome';
import {type StoredAnswer} from '@dogwooddeck/routing/claim';
import {DrainWait} from './drain-wait.js';
import {type RawHeaders} from './headers.js';
import {writeProblem} from './problem.js';

/** A write between the end of a connection and its `close` event fails; the `close` event reports the disconnect. */
function ignoreError(): void {
	// The connection has ended.
}

/** The response to one caller and how much of it was sent. Mutable: it follows the connection. */
export class CallerAnswer {
	/** Whether the caller disconnected before its answer was complete. */
	callerGone = false;
	readonly #response: ServerResponse;
	readonly #drainWait: DrainWait;
	#status: number | undefined;

	constructor(response: ServerResponse) {
		this.#response = response;
		this.#drainWait = new DrainWait(response);
	}

	/** Whether the head of an answer was relayed, or would have been if the caller were still connected. */
	get headRelayed(): boolean {
		return this.#status !== undefined;
	}

	/** The status that the caller received. */
	get status(): number | undefined {
		return this.callerGone ? undefined : this.#status;
	}

	/** Calls `whenClosed` once the response closes: it was sent completely, or the connection ended before. */
	watch(whenClosed: () => void): void {
		this.#response.once('close', whenClosed);
		this.#response.on('error', ignoreError);
	}

	/** Relays the status and headers of an upstream's answer. */
	writeHead(status: number, headers: RawHeaders): void {
		this.#status = status;
		if (!this.callerGone) {
			this.#response.sendDate = false;
			this.#response.writeHead(status, [...headers, HeaderName.outcome, Outcome.ran]);
		}
	}

	/** Relays a chunk of the body. Returns `false` if the write buffer is full; `whenDrained` is then called once it has drained. */
	writeChunk(bytes: Uint8Array, whenDrained: () => void): boolean {
		if (this.callerGone || this.#response.write(bytes)) {
			return true;
		}

		this.#drainWait.wait(whenDrained);
		return false;
	}

	/** Ends a complete answer. */
	end(): void {
		if (!this.callerGone) {
			this.#response.end();
		}
	}

	/** Destroys the connection of a caller that holds part of an incomplete answer, so that it doesn't see a regular end. */
	abort(): void {
		this.#status = undefined;
		this.#response.destroy();
	}

	/** Sends a failure as a problem body in place of an answer. */
	refuse(why: Failure, status: number, outcome: Outcome): void {
		this.#status = status;
		if (!this.callerGone) {
			writeProblem(this.#response, why, status, outcome);
		}
	}

	/** Sends a stored answer. */
	replay(answer: StoredAnswer): void {
		this.writeHead(answer.status, answer.headers);
		if (!this.callerGone) {
			this.#response.end(Buffer.from(answer.body, 'base64'));
		}
	}
}
