/**
 * Stops and continues reading from a caller's connection.
 */
import {type Socket} from 'node:net';
import {type PacedPeer} from '@dogwooddeck/loop-share/paced-reading';

/** A connection that is read by the HTTP server. */
export class CallerReading implements PacedPeer {
	readonly #socket: Socket;
	#isHeld = false;

	constructor(socket: Socket) {
		this.#socket = socket;
		// The server resumes the socket whenever its request is read.
		socket.on('resume', () => {
			if (this.#isHeld) {
				socket.pause();
			}
		});
	}

	/** The address of the caller. */
	get address(): string | undefined {
		return this.#socket.remoteAddress;
	}

	holdReading(): void {
		this.#isHeld = true;
		this.#socket.pause();
	}

	continueReading(): void {
		this.#isHeld = false;
		this.#socket.resume();
	}
}
