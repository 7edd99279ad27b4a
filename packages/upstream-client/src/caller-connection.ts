/**
 * A caller's connection and its requests, several of which may wait for their answers.
 *
 * A connection that is to close closes with the answer to its last request: the
 * requests before that were sent to upstreams and would lose their answers.
 */
import {type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';

/** Counts uses of all connections, so that they can be ordered by their last one. */
let uses = 0;

const connections = new WeakMap<Socket, CallerConnection>();

/** One connection of a caller. */
export class CallerConnection {
	/** Returns the connection of a socket, always the same one. */
	static of(socket: Socket): CallerConnection {
		const connection = connections.get(socket) ?? new CallerConnection(socket);
		connections.set(socket, connection);
		return connection;
	}

	readonly #socket: Socket;
	readonly #watchers = new Set<() => void>();
	/** The number of requests that were accepted. */
	#accepted = 0;
	/** The number of these whose answers were not handed to the operating system yet. */
	#open = 0;
	#isEnding = false;
	#lastUse: number;
	/** The number of bytes that were received when the last answer was handed over. */
	#bytesWhenIdle = 0;

	private constructor(socket: Socket) {
		this.#socket = socket;
		uses += 1;
		this.#lastUse = uses;
		for (const event of ['end', 'close']) {
			socket.once(event, () => {
				for (const watcher of this.#watchers) {
					watcher();
				}
			});
		}
	}

	/** The number of accepted requests whose answers were not handed over yet. */
	get openRequests(): number {
		return this.#open;
	}

	/** Grows with each opening of a connection and each answer that is handed over, over all connections. */
	get lastUse(): number {
		return this.#lastUse;
	}

	/** Whether all answers were handed over and nothing was received since. */
	get isIdle(): boolean {
		return this.#open === 0 && this.#socket.bytesRead === this.#bytesWhenIdle;
	}

	/**
	 * Accepts a request and returns its number. Returns undefined if an earlier answer closes
	 * the connection: callers take requests behind such an answer as unread.
	 */
	accept(response: ServerResponse): number | undefined {
		if (this.#isEnding) {
			return undefined;
		}

		this.#accepted += 1;
		this.#open += 1;
		response.once('close', () => {
			this.#open -= 1;
			uses += 1;
			this.#lastUse = uses;
			this.#bytesWhenIdle = this.#socket.bytesRead;
		});
		return this.#accepted;
	}

	/** Closes the connection after the answer to a request, unless later requests were accepted. Returns whether it closes. */
	tryEndAfter(request: number): boolean {
		this.#isEnding ||= request === this.#accepted;
		return request === this.#accepted;
	}

	/**
	 * Calls `onClosed` when the connection closes, until the returned function is called. A half-close by
	 * the caller counts: the server then ends the connection, and no answer can be sent any more.
	 */
	watch(onClosed: () => void): () => void {
		this.#watchers.add(onClosed);
		return () => {
			this.#watchers.delete(onClosed);
		};
	}
}
