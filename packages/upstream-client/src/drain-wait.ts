/**
 * Waits for the write buffer of a response to drain. Several chunks can find the
 * buffer full before it drains: what was received together is forwarded together.
 */
import {type ServerResponse} from 'node:http';

/** The wait of one response: at most one callback at a time. */
export class DrainWait {
	readonly #response: ServerResponse;
	#isWaiting = false;

	constructor(response: ServerResponse) {
		this.#response = response;
	}

	/** Calls back once the buffer has drained, unless an earlier callback waits for that. */
	wait(callback: () => void): void {
		if (!this.#isWaiting) {
			this.#isWaiting = true;
			this.#response.once('drain', () => {
				this.#isWaiting = false;
				callback();
			});
		}
	}
}
