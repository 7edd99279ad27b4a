/**
 * A persistent connection to an upstream, which carries one request at a time.
 */
import {type Socket} from 'node:net';
import {type ReadThrottle} from '@dogwooddeck/loop-share/read-throttle';
import {type MonotonicTime} from '@dogwooddeck/model/identifiers';
import {PausableClient} from '@dogwooddeck/upstream-client/pausable-client';

/** The options of connections. */
export type ConnectionOptions = {
	/** The connect timeout, in milliseconds. */
	readonly connectMilliseconds: number;
	/** The idle timeout, in milliseconds. */
	readonly idleMilliseconds: number;
	/** The reading from all peers of the process. */
	readonly throttle: ReadThrottle;
};

/** The maximum number of bytes received before the head of an answer is complete: `undici` limits its header fields, but neither its status line nor interim heads (1xx) before it. */
const maximumHeadBytes = 65_536;

/** A connection that is managed by `undici`. */
export class Connection {
	readonly client: PausableClient;
	isBusy = false;
	isOpen = false;
	/** Whether the rest of a refusal is still being read. */
	isDraining = false;
	/** The number of requests that it has carried, including the current one. */
	requests = 0;
	/** Whether the connection has closed or is being closed. */
	isClosed = false;
	usedAt: MonotonicTime = 0;
	/** Whether the head of the current request's answer was received. */
	hasHead = false;
	#socket: Socket | undefined;
	/** The number of bytes received before the current request began. */
	#bytesBeforeRequest = 0;
	#endedInOrder = false;

	/** Connects when the first request is sent. `onClose` is called once, when the connection closes. */
	constructor(address: string, {connectMilliseconds, idleMilliseconds, throttle}: ConnectionOptions, onClose: (connection: Connection) => void) {
		this.client = new PausableClient(`http://${address}`, {
			connectTimeoutMilliseconds: connectMilliseconds,
			idleMilliseconds,
			throttle,
			onSocket: socket => {
				this.#watchSocket(socket);
			},
		});
		const end = () => {
			if (!this.isClosed) {
				this.isClosed = true;
				onClose(this);
			}
		};

		this.client.on('connect', () => {
			this.isOpen = true;
		});
		this.client.on('disconnect', end);
		this.client.on('connectionError', end);
	}

	/** Whether the peer ended the connection without a reset. */
	get endedInOrder(): boolean {
		return this.#endedInOrder;
	}

	/** Whether far more bytes than an answer's head has were received since the current request began, without a complete head. */
	get isEndless(): boolean {
		return this.isBusy && !this.hasHead && (this.#socket?.bytesRead ?? 0) - this.#bytesBeforeRequest > maximumHeadBytes;
	}

	/** Marks the connection as used by a new request. */
	beginRequest(): void {
		this.isBusy = true;
		this.hasHead = false;
		this.requests += 1;
		this.#bytesBeforeRequest = this.#socket?.bytesRead ?? 0;
	}

	/** Closes the connection. */
	destroy(): void {
		this.isClosed = true;
		void this.client.destroy();
	}

	#watchSocket(socket: Socket): void {
		this.#socket = socket;
		socket.setNoDelay(true);
		socket.once('end', () => {
			// A reset right after data is reported as a regular end; only the missing peer address distinguishes it.
			this.#endedInOrder = socket.remoteAddress !== undefined;
		});
		socket.once('error', () => {
			this.#endedInOrder = false;
		});
	}
}
