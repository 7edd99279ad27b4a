/**
 * The connections of this instance to one upstream: few, kept, the one that was
 * used last first, so that those that aren't needed are closed by themselves.
 */
import {monotonicNow} from '@dogwooddeck/clock/monotonic';
import {isSocketAddress} from '@dogwooddeck/model/socket-address';
import {Seen} from '@dogwooddeck/routing/outcome';
import {type RequestSpecification, sendRequest, type SentAttempt} from './attempt.js';
import {Connection, type ConnectionTerms} from './connection.js';

/** After any other end, what the connection still brings belongs to nobody. */
const keepsConnection: ReadonlySet<Seen> = new Set([Seen.wholeAnswer, Seen.shed]);

/** Ends a request whose upstream has an address that can't be reached. */
function unreachable({onEnd}: RequestSpecification): SentAttempt {
	setImmediate(() => {
		onEnd({seen: Seen.refusedConnection, milliseconds: 0});
	});
	return {cancel: () => undefined, resume: () => undefined};
}

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

	/** Whether a request can be sent without more than so many connections, and on none of `refusedOn`. */
	hasRoom(most: number, refusedOn: ReadonlySet<Connection>): boolean {
		return this.#connections.length < most || this.#connections.some(connection => !connection.isBusy && !refusedOn.has(connection));
	}

	/** Sends a request on an idle connection or a new one. */
	send(specification: RequestSpecification): SentAttempt {
		const {refusedOn} = specification;
		const connection = this.#idle(refusedOn) ?? this.#open();
		if (connection === undefined) {
			return unreachable(specification);
		}

		connection.isBusy = true;
		connection.requests += 1;
		return sendRequest(connection, specification, seen => {
			connection.isBusy = false;
			if (seen === Seen.shed) {
				refusedOn.add(connection);
			}

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

	#idle(refusedOn: ReadonlySet<Connection>): Connection | undefined {
		let newest: Connection | undefined;
		for (const connection of this.#connections) {
			if (!connection.isBusy && !connection.isOver && !refusedOn.has(connection) && (newest === undefined || connection.usedAt > newest.usedAt)) {
				newest = connection;
			}
		}

		return newest;
	}

	/** Undefined where no connection can ever be made to the address. */
	#open(): Connection | undefined {
		if (!isSocketAddress(this.#address)) {
			return undefined;
		}

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
