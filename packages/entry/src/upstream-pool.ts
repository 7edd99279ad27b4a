/**
 * The connections of this instance to one upstream: few, kept, the one that was
 * used last first, so that those that aren't needed are closed by themselves.
 */
import {monotonicNow} from '@dogwooddeck/clock/monotonic';
import {Seen} from '@dogwooddeck/routing/outcome';
import {type RequestSpecification, sendRequest, type SentAttempt} from './attempt.js';
import {Connection, type ConnectionTerms} from './connection.js';

/** After any other end, what the connection still brings belongs to nobody. */
const keepsConnection: ReadonlySet<Seen> = new Set([Seen.wholeAnswer, Seen.shed]);

/** The connections to one upstream. */
export class UpstreamPool {
	readonly #address: string;
	readonly #terms: ConnectionTerms;
	#connections: Connection[] = [];
	#isClosed = false;

	/** Opens nothing yet. */
	constructor(address: string, terms: ConnectionTerms) {
		this.#address = address;
		this.#terms = terms;
	}

	/** Whether a request can be sent without more than so many connections. */
	hasRoom(most: number): boolean {
		return this.#connections.length < most || this.#connections.some(({isBusy}) => !isBusy);
	}

	/** Sends a request on an idle connection or a new one. */
	send(specification: RequestSpecification): SentAttempt {
		const connection = this.#idle() ?? this.#open();
		connection.isBusy = true;
		return sendRequest(connection, specification, seen => {
			connection.isBusy = false;
			connection.usedAt = monotonicNow();
			if (this.#isClosed || !keepsConnection.has(seen)) {
				this.#forget(connection);
				connection.destroy();
			}
		});
	}

	/** Closes idle connections at once, and the others when their requests are over. */
	close(): void {
		this.#isClosed = true;
		for (const connection of this.#connections.filter(({isBusy}) => !isBusy)) {
			connection.destroy();
		}
	}

	#idle(): Connection | undefined {
		let newest: Connection | undefined;
		for (const connection of this.#connections) {
			if (!connection.isBusy && !connection.isOver && (newest === undefined || connection.usedAt > newest.usedAt)) {
				newest = connection;
			}
		}

		return newest;
	}

	#open(): Connection {
		const connection = new Connection(this.#address, this.#terms, over => {
			this.#forget(over);
		});
		this.#connections.push(connection);
		return connection;
	}

	#forget(connection: Connection): void {
		this.#connections = this.#connections.filter(one => one !== connection);
	}
}
