/**
 * A pool of persistent connections to one upstream. The most recently used idle
 * connection is reused first, so that surplus connections reach their idle timeout.
 */
import {monotonicNow} from '@dogwooddeck/clock/monotonic';
import {isSocketAddress} from '@dogwooddeck/model/socket-address';
import {AttemptObservation} from '@dogwooddeck/routing/outcome';
import {type RequestSpecification, sendRequest, type SentAttempt} from './attempt.js';
import {Connection, type ConnectionOptions} from './connection.js';

/** Ends a request to an upstream whose address is invalid. */
function unreachable({onEnd}: RequestSpecification): SentAttempt {
	setImmediate(() => {
		onEnd({observation: AttemptObservation.refusedConnection, milliseconds: 0});
	});
	return {cancel: () => undefined, resume: () => undefined};
}

/** The connections to one upstream. */
export class UpstreamPool {
	readonly #address: string;
	readonly #options: ConnectionOptions;
	#connections: Connection[] = [];
	#isClosed = false;

	/** Opens no connection until the first request. */
	constructor(address: string, options: ConnectionOptions) {
		this.#address = address;
		this.#options = options;
	}

	/** Whether a request can be sent with at most `maximumConnections` connections, and on none of `refusedOn`. */
	hasRoom(maximumConnections: number, refusedOn: ReadonlySet<Connection>): boolean {
		return this.#connections.length < maximumConnections || this.#connections.some(connection => !connection.isBusy && !refusedOn.has(connection));
	}

	/** Whether a connection is open and idle. */
	get isConnected(): boolean {
		return this.#connections.some(({isBusy, isClosed}) => !isBusy && !isClosed);
	}

	/** Sends a request on an idle connection or a new one. */
	send(specification: RequestSpecification): SentAttempt {
		const {refusedOn} = specification;
		const connection = this.#findIdle(refusedOn) ?? this.#open();
		if (connection === undefined) {
			return unreachable(specification);
		}

		connection.beginRequest();
		return sendRequest(connection, specification, {
			onHead() {
				connection.hasHead = true;
			},
			onEnd: observation => {
				if (observation === AttemptObservation.shed) {
					refusedOn.add(connection);
					connection.isDraining = true;
				} else if (observation !== AttemptObservation.wholeAnswer) {
					this.#closeConnection(connection);
				}
			},
			onRelease: () => {
				connection.isBusy = false;
				connection.isDraining = false;
				connection.usedAt = monotonicNow();
				if (this.#isClosed) {
					this.#closeConnection(connection);
				}
			},
		});
	}

	/** Closes connections that have received more bytes than an answer's head may have, and no complete head. */
	closeEndless(): void {
		for (const connection of this.#connections.filter(({isEndless}) => isEndless)) {
			this.#closeConnection(connection);
		}
	}

	/** Closes idle connections at once, and the others when their requests have ended. */
	close(): void {
		this.#isClosed = true;
		for (const connection of this.#connections.filter(({isBusy}) => !isBusy)) {
			connection.destroy();
		}
	}

	#findIdle(refusedOn: ReadonlySet<Connection>): Connection | undefined {
		let newest: Connection | undefined;
		for (const connection of this.#connections) {
			if (!connection.isBusy && !connection.isClosed && !refusedOn.has(connection) && (newest === undefined || connection.usedAt > newest.usedAt)) {
				newest = connection;
			}
		}

		return newest;
	}

	/** Returns undefined if the address is invalid, so that no connection can ever be made to it. */
	#open(): Connection | undefined {
		if (!isSocketAddress(this.#address)) {
			return undefined;
		}

		const connection = new Connection(this.#address, this.#options, closed => {
			this.#remove(closed);
			if (closed.isDraining) {
				// Otherwise `undici` reconnects for a request that has ended.
				closed.destroy();
			}
		});
		this.#connections.push(connection);
		return connection;
	}

	/** Closes a connection whose request ended other than by a whole answer or a refusal: data that still arrives on it belongs to no request. */
	#closeConnection(connection: Connection): void {
		this.#remove(connection);
		connection.destroy();
	}

	#remove(connection: Connection): void {
		this.#connections = this.#connections.filter(one => one !== connection);
	}
}
