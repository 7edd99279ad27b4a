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

/** A connection that `undici` keeps. */
export class Connection {
	readonly client: Client;
	isBusy = false;
	isOpen = false;
	/** The requests that it has carried, the present one among them. */
	requests = 0;
	/** Whether the connection has ended, or is about to. */
	isOver = false;
	usedAt: MonotonicTime = 0;
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

	/** Ends the connection. */
	destroy(): void {
		this.isOver = true;
		void this.client.destroy();
	}

	#watch(socket: Socket): void {
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
