/**
 * One connection to an upstream, which carries one request at a time.
 */
import {type Socket} from 'node:net';
import {type MonotonicTime} from '@dogwooddeck/model/identifiers';
import {buildConnector, Client} from 'undici';

/** How connections are made. */
export type ConnectionTerms = {
	/** The longest wait for a connection, in milliseconds. */
	readonly connectMilliseconds: number;
	/** An unused connection is closed after this long, in milliseconds. */
	readonly idleMilliseconds: number;
};

/** Bytes that may come before the head of an answer is whole: `undici` bounds its fields, and neither its first line nor the heads before it. */
const mostHeadBytes = 65_536;

/** A connection that `undici` keeps. */
export class Connection {
	readonly client: Client;
	isBusy = false;
	isOpen = false;
	/** Whether the rest of a refusal is awaited. */
	isDraining = false;
	/** The requests that it has carried, the present one among them. */
	requests = 0;
	/** Whether the connection has ended, or is about to. */
	isOver = false;
	usedAt: MonotonicTime = 0;
	/** Whether the head of the present request's answer has come. */
	hasHead = false;
	#socket: Socket | undefined;
	/** The bytes that had come when the present request began. */
	#bytesBefore = 0;
	#endedInOrder = false;

	/** Connects when the first request is sent. `onOver` is called once. */
	constructor(address: string, terms: ConnectionTerms, onOver: (connection: Connection) => void) {
		const connect = buildConnector({timeout: terms.connectMilliseconds});
		this.client = new Client(`http://${address}`, {
			pipelining: 1,
			headersTimeout: 0,
			bodyTimeout: 0,
			keepAliveTimeout: terms.idleMilliseconds,
			keepAliveMaxTimeout: terms.idleMilliseconds,
			connect: (options, callback) => {
				connect(options, (...[error, socket]) => {
					if (error === null) {
						this.#watch(socket);
						callback(null, socket);
					} else {
						callback(error, null);
					}
				});
			},
		});
		const end = () => {
			if (!this.isOver) {
				this.isOver = true;
				onOver(this);
			}
		};

		this.client.on('connect', () => {
			this.isOpen = true;
		});
		this.client.on('disconnect', end);
		this.client.on('connectionError', end);
	}

	/** Whether the other side ended the connection without a reset. */
	get endedInOrder(): boolean {
		return this.#endedInOrder;
	}

	/** Whether far more has come since the present request began than the head of an answer, and no head. */
	get isEndless(): boolean {
		return this.isBusy && !this.hasHead && (this.#socket?.bytesRead ?? 0) - this.#bytesBefore > mostHeadBytes;
	}

	/** A request begins. */
	begin(): void {
		this.isBusy = true;
		this.hasHead = false;
		this.requests += 1;
		this.#bytesBefore = this.#socket?.bytesRead ?? 0;
	}

	/** Ends the connection. */
	destroy(): void {
		this.isOver = true;
		void this.client.destroy();
	}

	#watch(socket: Socket): void {
		this.#socket = socket;
		socket.setNoDelay(true);
		socket.once('end', () => {
			// A reset that comes right behind data reads as an end; only the peer's address is gone then.
			this.#endedInOrder = socket.remoteAddress !== undefined;
		});
		socket.once('error', () => {
			this.#endedInOrder = false;
		});
	}
}
