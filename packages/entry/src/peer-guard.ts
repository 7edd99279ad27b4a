/**
 * Keeps what the connections of a server take within the limits of its machine: it closes the connections for which
 * most is held, and for new ones those that have been idle for longest. Those whose bodies come in short pieces are read
 * more slowly.
 */
import {type IncomingMessage, type Server, type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';
import {monotonicNow} from '@dogwooddeck/clock/monotonic';
import {type PeerLimits, PeerMemory, waitingBytesOf} from '@dogwooddeck/gateway/peer-memory';
import {type ReadThrottle} from '@dogwooddeck/loop-share/read-throttle';
import {EventName} from '@dogwooddeck/telemetry/event';
import {LineBudget} from '@dogwooddeck/telemetry/line-budget';
import {type Log} from '@dogwooddeck/telemetry/log';
import {MeasureName, type Measures} from '@dogwooddeck/telemetry/measure';
import {CallerConnection} from '@dogwooddeck/upstream-client/caller-connection';
import {BodyGarbage} from './body-garbage.js';
import {CallerReading} from './caller-reading.js';

/** Why a connection of a peer is closed. */
export const PeerClosing = {
	/** More connections are open than may be. */
	connections: 'connections',
	/** All connections together hold too much, and this one most. */
	memory: 'memory',
	/** More requests wait on it for their answers than may. */
	requestsAhead: 'requests-ahead',
	/** Its body was not whole when its request's time was over. */
	bodyLate: 'body-late',
} as const;

/** One of the values of `PeerClosing`. */
export type PeerClosing = (typeof PeerClosing)[keyof typeof PeerClosing];

/** Records a connection that is closed. */
export type PeerLog = (reason: PeerClosing, socket: Socket) => void;

const linesPerSecond = 10;

/** Records closed connections: a counter for each reason, and log lines that are limited to a number a second. */
export function createPeerLog(log: Log, measures: Measures): PeerLog {
	const lines = new LineBudget(linesPerSecond);
	return (reason, socket) => {
		measures.counter(MeasureName.peersClosed, {reason}).value += 1;
		if (lines.take(monotonicNow())) {
			log.warning(EventName.peerClosed, {reason, peer: socket.remoteAddress, received: socket.bytesRead});
		}
	};
}

function headBytesOf({rawHeaders, url}: IncomingMessage): number {
	let bytes = url?.length ?? 0;
	for (const part of rawHeaders) {
		bytes += part.length;
	}

	return bytes;
}

/** What connections of a server are guarded by. */
export type PeerGuardOptions = {
	readonly limits: PeerLimits;
	readonly record: PeerLog;
	/** The reading from all peers of the process. */
	readonly throttle: ReadThrottle;
};

/** Guards the connections of one server. */
export class PeerGuard {
	readonly #limits: PeerLimits;
	readonly #record: PeerLog;
	readonly #memory: PeerMemory<Socket>;
	readonly #readings = new Map<Socket, CallerReading>();
	readonly #throttle: ReadThrottle;
	readonly #garbage = new BodyGarbage();

	constructor(server: Server, {limits, record, throttle}: PeerGuardOptions) {
		this.#limits = limits;
		this.#record = record;
		this.#throttle = throttle;
		this.#memory = new PeerMemory(limits.waitingBytes);
		server.on('connection', socket => {
			this.#open(socket);
		});
		this.#standBefore(server);
	}

	/** The longest body that a single request may have on this machine, in bytes. */
	get largestBodyBytes(): number {
		return this.#limits.largestBodyBytes;
	}

	/** The open connections. */
	get sockets(): Iterable<Socket> {
		return this.#readings.keys();
	}

	/** The number of open connections. */
	get connections(): number {
		return this.#readings.size;
	}

	/** Holds bytes of an answer until it was handed over. */
	holdAnswer(response: ServerResponse, bytes: number): void {
		const {socket} = response.req;
		this.#memory.add(socket, bytes);
		response.once('close', () => {
			this.#memory.release(socket, bytes);
		});
		this.#closeGreediest();
	}

	/** Counts a piece of a request's body. Reading from the connection may stop for a while. */
	countPiece({socket}: IncomingMessage, bytes: number): void {
		const reading = this.#readings.get(socket);
		if (reading !== undefined) {
			this.#throttle.countPiece(reading, bytes);
		}

		this.#garbage.add(bytes);
	}

	/** Closes a connection at once. */
	close(socket: Socket, reason: PeerClosing): void {
		if (!socket.destroyed) {
			this.#record(reason, socket);
			socket.destroy();
		}
	}

	#closeGreediest(): void {
		for (let greediest = this.#memory.takeGreediest(); greediest !== undefined; greediest = this.#memory.takeGreediest()) {
			this.close(greediest, PeerClosing.memory);
		}
	}

	/** What was received behind a request is parsed even after its connection was closed; it isn't passed on then. */
	#standBefore(server: Server): void {
		const listeners = server.listeners('request') as Array<(request: IncomingMessage, response: ServerResponse) => void>;
		server.removeAllListeners('request');
		server.on('request', (request: IncomingMessage, response: ServerResponse) => {
			if (this.#admit(request, response)) {
				for (const listener of listeners) {
					listener.call(server, request, response);
				}
			}
		});
	}

	/** Holds a request until its answer was handed over. Returns false if its connection is closed. */
	#admit(request: IncomingMessage, response: ServerResponse): boolean {
		const {socket} = request;
		if (socket.destroyed) {
			return false;
		}

		const bytes = waitingBytesOf(headBytesOf(request));
		if (!this.#memory.tryAddRequest(socket, bytes)) {
			this.close(socket, PeerClosing.requestsAhead);
			return false;
		}

		response.once('close', () => {
			this.#memory.releaseRequest(socket, bytes);
		});
		this.#closeGreediest();
		return !socket.destroyed;
	}

	#open(socket: Socket): void {
		const reading = new CallerReading(socket);
		this.#readings.set(socket, reading);
		this.#memory.add(socket, 0);
		// Known from its first moment, so that the time without a request counts.
		CallerConnection.of(socket);
		socket.once('close', () => {
			this.#readings.delete(socket);
			this.#throttle.forget(reading);
			this.#memory.forget(socket);
		});
		if (this.#readings.size > this.#limits.connections) {
			this.close(this.#longestIdle() ?? socket, PeerClosing.connections);
		}
	}

	#longestIdle(): Socket | undefined {
		let longest: Socket | undefined;
		let since = Infinity;
		for (const socket of this.#readings.keys()) {
			const connection = CallerConnection.of(socket);
			if (connection.openRequests === 0 && !socket.destroyed && connection.lastUse < since) {
				longest = socket;
				since = connection.lastUse;
			}
		}

		return longest;
	}
}
