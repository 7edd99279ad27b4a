/**
 * Stops and continues reading from a caller's connection.
 */
import {type Socket} from 'node:net';
import {type ThrottledPeer} from '@dogwooddeck/loop-share/read-throttle';

/** A connection that is read by the HTTP server. */
export class CallerReading implements ThrottledPeer {
	readonly #socket: Socket;
	#isThrottled = false;

	constructor(socket: Socket) {
		this.#socket = socket;
		// The server resumes the socket whenever its request is read.
		socket.on('resume', () => {
			if (this.#isThrottled) {
				socket.pause();
			}
		});
	}

	/** The address of the caller. */
	get address(): string | undefined {
		return this.#socket.remoteAddress;
	}

	stopReading(): void {
		this.#isThrottled = true;
		this.#socket.pause();
	}

	continueReading(): void {
		this.#isThrottled = false;
		this.#socket.resume();
	}
}
