/**
 * A client of one connection whose answers are paused at the socket.
 *
 * The parser of `undici` must not be paused: if its connection ends or fails
 * meanwhile, it asserts in a handler of the socket, where nothing catches the error,
 * and it reports an answer that was received whole as truncated.
 *
 * Answers are given to the parser in slices, as it parses all that it is given in one turn of the loop.
 */
import {type Socket} from 'node:net';
import {buildConnector, Client, type Dispatcher} from 'undici';
import {type ThrottledPeer, type ReadThrottle} from '@dogwooddeck/loop-share/read-throttle';
import {type Milliseconds} from '@dogwooddeck/model/identifiers';

/** What is parsed at once, in bytes: reading stops behind it. */
const sliceBytes = 16_384;

/** Pauses and resumes the reading of answers from one connection. */
export class AnswerSource implements ThrottledPeer {
	readonly #throttle: ReadThrottle;
	#socket: Socket | undefined;
	/** Whether the receiver of the answer takes no more. */
	#isPaused = false;
	/** Whether the answer's pieces took too much of the loop. */
	#isThrottled = false;

	constructor(throttle: ReadThrottle) {
		this.#throttle = throttle;
	}

	/** The address of the upstream. */
	get address(): string | undefined {
		return this.#socket?.remoteAddress;
	}

	/** Reads from a newly opened connection. */
	open(socket: Socket): void {
		const read = socket.read.bind(socket);
		this.#socket = socket;
		this.#isPaused = false;
		this.#isThrottled = false;
		// Node.js itself reads zero bytes to start receiving and to notice the end.
		socket.read = (size?: number) => {
			if (size === 0) {
				return read(size) as unknown;
			}

			return this.#isPaused || this.#isThrottled ? null : read(size ?? Math.min(sliceBytes, socket.readableLength)) as unknown;
		};

		socket.once('close', () => {
			this.#throttle.forget(this);
		});
	}

	/** Counts a part of an answer that was parsed by itself, however short. */
	countPiece(bytes: number): void {
		this.#throttle.countPiece(this, bytes);
	}

	stopReading(): void {
		this.#isThrottled = true;
	}

	continueReading(): void {
		this.#isThrottled = false;
		this.#read();
	}

	/** Stops reading. Data that was read already is still parsed. */
	pause(): void {
		this.#isPaused = true;
	}

	/** Allows reading again without starting it: the next data or the parser's current turn does. */
	release(): void {
		this.#isPaused = false;
	}

	/** Resumes reading. Must not be called while an answer is being parsed. */
	resume(): void {
		if (this.#isPaused) {
			this.#isPaused = false;
			this.#read();
		}
	}

	#read(): void {
		if (!this.#isPaused && !this.#isThrottled && this.#socket?.destroyed === false) {
			this.#socket.emit('readable');
		}
	}
}

/** A handler of answers that is told where its answer is read from. */
export type SourcedHandler = {useSource(source: AnswerSource): void};

/** Options of a connection. */
export type PausableClientOptions = {
	readonly connectTimeoutMilliseconds: Milliseconds;
	/** How long an unused connection is kept. */
	readonly idleMilliseconds: Milliseconds;
	/** The reading from all peers of the process. */
	readonly throttle: ReadThrottle;
	/** Called with the socket of each connection before it is used. */
	readonly onSocket?: (socket: Socket) => void;
};

const noTimeout = 0;

/** A client that sends one request at a time on one connection. Its handlers are `SourcedHandler`s. */
export class PausableClient extends Client {
	readonly #source: AnswerSource;

	constructor(origin: string | URL, {connectTimeoutMilliseconds, idleMilliseconds, throttle, onSocket}: PausableClientOptions) {
		const source = new AnswerSource(throttle);
		const connect = buildConnector({timeout: connectTimeoutMilliseconds});
		super(origin, {
			pipelining: 1,
			headersTimeout: noTimeout,
			bodyTimeout: noTimeout,
			keepAliveTimeout: idleMilliseconds,
			keepAliveMaxTimeout: idleMilliseconds,
			connect(options, callback) {
				connect(options, (...[error, socket]) => {
					if (error === null) {
						onSocket?.(socket);
						source.open(socket);
						callback(null, socket);
					} else {
						callback(error, null);
					}
				});
			},
		});
		this.#source = source;
	}

	override dispatch(options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler & SourcedHandler): boolean {
		handler.useSource(this.#source);
		return super.dispatch(options, handler);
	}
}
