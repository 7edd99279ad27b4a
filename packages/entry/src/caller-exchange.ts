/**
 * One request of a caller and its answer, on the caller's connection.
 */
import {type Buffer} from 'node:buffer';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type BodyBuffering} from '@dogwooddeck/gateway/body-buffering';
import {type Milliseconds} from '@dogwooddeck/model/identifiers';
import {ByteCollector} from '@dogwooddeck/upstream-client/byte-collector';
import {type CallerConnection} from '@dogwooddeck/upstream-client/caller-connection';
import {DrainWait} from '@dogwooddeck/upstream-client/drain-wait';
import {type RawHeaders} from '@dogwooddeck/upstream-client/headers';
import {PeerClosing, type PeerGuard} from './peer-guard.js';

/** Why a body was rejected. */
export const BodyProblem = {
	tooLarge: 'too-large',
	truncated: 'cut',
	/** There is no room for it beside the bodies of other requests. */
	noRoom: 'no-room',
	/** It was not whole when the request's time was over. */
	late: 'late',
} as const;

/** One of the values of `BodyProblem`. */
export type BodyProblem = (typeof BodyProblem)[keyof typeof BodyProblem];

/** A body of unknown length is collected in parts, which are then joined. */
const copiesOfChunked = 2;

const statusesWithoutBody = new Set([204, 304]);

/** The limits of a request's body. */
export type BodyLimits = {
	readonly maximumBytes: number;
	/** The time until the whole body must have been received. */
	readonly timeoutMilliseconds: Milliseconds;
	/** The bodies of all requests of this instance. */
	readonly buffering: BodyBuffering;
};

/** Where a request stands on its connection. */
export type ConnectionPlace = {
	readonly connection: CallerConnection;
	/** Its number among the connection's requests. */
	readonly number: number;
	/** Whether the connection may carry further requests. */
	readonly keepsConnection: () => boolean;
	readonly guard: PeerGuard;
};

/** A caller's request, and the operations that answer it. */
export class CallerExchange {
	readonly #response: ServerResponse;
	readonly #drainWait: DrainWait;
	readonly #unwatch: () => void;
	readonly #place: ConnectionPlace;
	#hasDisconnected = false;
	#isAnswered = false;
	#isBodyLate = false;
	#disconnectListener: (() => void) | undefined;
	/** Removes the body from what is kept of all bodies. */
	#releaseBody: (() => void) | undefined;

	constructor(readonly request: IncomingMessage, response: ServerResponse, place: ConnectionPlace) {
		this.#place = place;
		this.#response = response;
		this.#drainWait = new DrainWait(response);
		this.#unwatch = place.connection.watch(() => {
			this.#hasDisconnected = true;
			this.#releaseBody?.();
			this.#disconnectListener?.();
		});
		response.on('error', () => {
			this.#hasDisconnected = true;
		});
	}

	/** Whether the caller has disconnected. */
	get hasDisconnected(): boolean {
		return this.#hasDisconnected;
	}

	/** Whether an answer has been started. */
	get isAnswered(): boolean {
		return this.#isAnswered;
	}

	/** Sets the callback for when the caller disconnects before the end of its answer. */
	onDisconnect(callback: () => void): void {
		this.#disconnectListener = callback;
	}

	/**
	 * Reads the whole body, of at most `maximumBytes`, which is kept in `buffering` until the whole answer was handed over.
	 * A connection whose body is not whole after `timeoutMilliseconds` closes, behind the answer if none was sent.
	 * Calls back without a body if the request has none or on a problem.
	 */
	readBody({maximumBytes: declaredBytes, timeoutMilliseconds, buffering}: BodyLimits, done: (body: Buffer | undefined, problem?: BodyProblem) => void): void {
		const {headers} = this.request;
		if (headers['content-length'] === undefined && headers['transfer-encoding'] === undefined) {
			done(undefined);
			return;
		}

		const {guard} = this.#place;
		const maximumBytes = Math.min(declaredBytes, guard.largestBodyBytes);
		const announcedBytes = Number(headers['content-length'] ?? 0);
		const collected = new ByteCollector(Math.min(announcedBytes, maximumBytes), maximumBytes);
		let keptBytes = 0;
		let isFinished = false;
		const finish = (body: Buffer | undefined, problem?: BodyProblem) => {
			if (!isFinished) {
				isFinished = true;
				done(body, problem);
			}
		};

		const fail = (problem: BodyProblem) => {
			collected.clear();
			finish(undefined, problem);
		};

		const keep = (bytes: number): boolean => {
			const isKept = buffering.tryKeep(bytes, keptBytes);
			keptBytes += isKept ? bytes : 0;
			return isKept;
		};

		this.#releaseBody = () => {
			buffering.release(keptBytes);
			keptBytes = 0;
		};

		if (announcedBytes > maximumBytes) {
			fail(BodyProblem.tooLarge);
		} else if (!keep(announcedBytes)) {
			fail(BodyProblem.noRoom);
		}

		const timer = setTimeout(() => {
			if (isFinished) {
				guard.close(this.request.socket, PeerClosing.bodyLate);
			} else {
				this.#isBodyLate = true;
				fail(BodyProblem.late);
			}
		}, timeoutMilliseconds);
		this.request.once('close', () => {
			clearTimeout(timer);
		});
		this.request.on('data', (chunk: Buffer) => {
			guard.countPiece(this.request, chunk.length);
			if (isFinished || this.#hasDisconnected) {
				return;
			}

			if (collected.length + chunk.length > maximumBytes) {
				fail(BodyProblem.tooLarge);
			} else if (announcedBytes === 0 && !keep(chunk.length * copiesOfChunked)) {
				fail(BodyProblem.noRoom);
			} else {
				collected.add(chunk);
			}
		});
		this.request.on('end', () => {
			clearTimeout(timer);
			finish(collected.take());
		});
		this.request.on('error', () => {
			fail(BodyProblem.truncated);
		});
	}

	/** Sends an answer with its whole body. */
	answer(status: number, headers: RawHeaders, body: Buffer): void {
		if (!this.#startAnswer()) {
			return;
		}

		const hasLength = headers.some((field, position) => position % 2 === 0 && field.toLowerCase() === 'content-length');
		const length = hasLength || statusesWithoutBody.has(status) || this.request.method === 'HEAD' ? [] : ['Content-Length', String(body.length)];
		this.#response.writeHead(status, [...headers, ...length]);
		this.#response.end(body);
		if (this.#response.writableLength > 0) {
			this.#place.guard.holdAnswer(this.#response, this.#response.writableLength);
		}

		this.#finish();
	}

	/** Starts a streamed answer, whose body follows by `write`. */
	startStream(status: number, headers: RawHeaders): void {
		if (this.#startAnswer()) {
			this.#response.writeHead(status, [...headers]);
		}
	}

	/** Writes a part of a streamed body. Returns false if the next part should wait for `onDrain`. */
	write(chunk: Uint8Array): boolean {
		return this.#hasDisconnected || this.#response.write(chunk);
	}

	/** Calls back once the connection's write buffer is empty, unless an earlier callback waits for that. */
	onDrain(callback: () => void): void {
		this.#drainWait.wait(callback);
	}

	/** Ends a streamed answer. */
	end(): void {
		this.#response.end();
		this.#finish();
	}

	/** Closes the connection in the middle of an answer, so that the caller can't take it for a whole one. */
	abort(): void {
		this.request.socket.destroy();
	}

	/** Called when the whole answer was handed over; Node.js doesn't report the end of one that still waits behind others when its connection closes. */
	#finish(): void {
		this.#unwatch();
		this.#releaseBody?.();
	}

	#startAnswer(): boolean {
		if (this.#isAnswered || this.#hasDisconnected) {
			return false;
		}

		this.#isAnswered = true;
		const {connection, number, keepsConnection} = this.#place;
		if ((!this.#response.shouldKeepAlive || this.#isBodyLate || !keepsConnection()) && connection.tryEndAfter(number)) {
			this.#response.shouldKeepAlive = false;
		}

		return true;
	}
}
