/**
 * Sends requests to upstreams over one bounded connection pool for each
 * address, with one request at a time on a connection and no automatic retries.
 */
import {Pool} from 'undici';
import {ReadThrottle} from '@dogwooddeck/loop-share/read-throttle';
import {HeaderName} from '@dogwooddeck/model/headers';
import {type FenceNumber, type Milliseconds, type Slot} from '@dogwooddeck/model/identifiers';
import {type Abandoned, type AnswerSink, Exchange} from './exchange.js';
import {type RawHeaders} from './headers.js';
import {PausableClient} from './pausable-client.js';

/** One attempt at one upstream. */
export type UpstreamRequest = {
	/** Where the upstream listens, as `IP:port`. */
	readonly address: string;
	/** The maximum number of connections from this instance to the upstream. 0 refuses the request. */
	readonly connections: number;
	readonly method: string;
	/** The path and the query. */
	readonly path: string;
	/** The fields to forward, as returned by `requestHeaders`. The array is not modified. */
	readonly headers: RawHeaders;
	readonly body: Uint8Array | undefined;
	readonly slot: Slot;
	readonly fence: FenceNumber;
	/** The time left until the request's deadline. */
	readonly timeoutMilliseconds: Milliseconds;
	/** Statuses with which the upstream reports that it did not run the request. */
	readonly notRunStatuses: readonly number[];
};

/** An in-flight request. */
export type SentRequest = {
	/** Cancels the request: the sink's `onEnd` is called synchronously, and nothing after it. */
	abandon(why: Abandoned): void;
	/** Resumes reading the body after the sink's `onChunk` returned `false`. */
	resume(): void;
};

/** Connection options of the client. */
export type UpstreamClientOptions = {
	/** The maximum wait for a connection. */
	readonly connectTimeoutMilliseconds: Milliseconds;
	/** How long an unused connection is kept. */
	readonly idleMilliseconds: Milliseconds;
};

/** The client of all upstreams. */
export type UpstreamClient = {
	/** Sends one attempt. The sink's `onEnd` is called exactly once, and not before this call returns the handle, unless the request can't be sent at all. */
	send(request: UpstreamRequest, sink: AnswerSink): SentRequest;
	/** Closes the connections to an address once its requests have ended. */
	retire(address: string): void;
	/** Closes all connections once their requests have ended. */
	close(): Promise<void>;
};

type OpenPool = {readonly pool: Pool; readonly connections: number};

const noTimeout = 0;

function upstreamHeaders(request: UpstreamRequest): string[] {
	return [
		...request.headers,
		HeaderName.fence,
		String(request.fence),
		HeaderName.slot,
		String(request.slot),
		HeaderName.deadline,
		String(Math.max(0, Math.floor(request.timeoutMilliseconds))),
	];
}

class PooledClient implements UpstreamClient {
	readonly #options: UpstreamClientOptions;
	readonly #pools = new Map<string, OpenPool>();
	readonly #throttle = new ReadThrottle();

	constructor(options: UpstreamClientOptions) {
		this.#options = options;
	}

	send(request: UpstreamRequest, sink: AnswerSink): SentRequest {
		const exchange = new Exchange(sink, request.method, {isNotRun: status => request.notRunStatuses.includes(status)}, request.timeoutMilliseconds);
		if (request.connections < 1) {
			exchange.onError({name: 'Error', message: 'no connections', code: 'ECONNREFUSED'});
			return exchange;
		}

		this.#poolFor(request).dispatch({
			path: request.path,
			method: request.method,
			headers: upstreamHeaders(request),
			body: request.body ?? null,
			idempotent: false,
			headersTimeout: noTimeout,
			bodyTimeout: noTimeout,
		}, exchange);
		return exchange;
	}

	retire(address: string): void {
		const open = this.#pools.get(address);
		this.#pools.delete(address);
		void open?.pool.close();
	}

	async close(): Promise<void> {
		const pools = [...this.#pools.values()];
		this.#pools.clear();
		await Promise.all(pools.map(async open => open.pool.close()));
	}

	#poolFor(request: UpstreamRequest): Pool {
		const open = this.#pools.get(request.address);
		if (open?.connections === request.connections) {
			return open.pool;
		}

		void open?.pool.close();
		const pool = new Pool(`http://${request.address}`, {
			connections: request.connections,
			factory: origin => new PausableClient(origin, {...this.#options, throttle: this.#throttle}),
		});
		this.#pools.set(request.address, {pool, connections: request.connections});
		return pool;
	}
}

/** Creates a client that has no connections yet. */
export function createUpstreamClient(options: UpstreamClientOptions): UpstreamClient {
	return new PooledClient(options);
}
