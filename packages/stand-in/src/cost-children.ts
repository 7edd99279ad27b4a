/**
 * The processes that the cost measurement starts: an upstream, a bare forwarder
 * without decisions, and the forwarder of this project with one fixed owner.
 */
import {createServer, type RequestListener} from 'node:http';
import {type AddressInfo} from 'node:net';
import {fastify} from 'fastify';
import {Result} from 'true-myth';
import {Pool} from 'undici';
import {monotonicNow} from '@dogwooddeck/clock/monotonic';
import {defaultContract, KeyLocation, type ServiceContract} from '@dogwooddeck/model/contract';
import {failure, type Failure, FailureKind} from '@dogwooddeck/model/failure';
import {createAdmission} from '@dogwooddeck/routing/admission';
import {
	allowsRetry, recordAttempt, createRetryBudget, type RetryBudget,
} from '@dogwooddeck/routing/budget';
import {deadlineOf} from '@dogwooddeck/routing/deadline';
import {
	createTargetIndex, matchService, readKey, type RequestHead, routeOf,
} from '@dogwooddeck/routing/target';
import {createUpstreamClient} from '@dogwooddeck/upstream-client/client';
import {forward} from '@dogwooddeck/upstream-client/forward';
import {
	type OpenClaim, type OpenedRequest, type RequestOwner, type RequestPath,
} from '@dogwooddeck/upstream-client/request-path';
import {startUpstream} from './upstream.js';

/** The most requests that either forwarder has under way at the upstream. */
const connections = 64;

const contract: ServiceContract = {
	...defaultContract,
	name: 'bermrand/schedule',
	prefix: '/schedule',
	key: {place: KeyLocation.path, segment: 0},
	routes: [{
		method: 'GET', path: '/*', idempotent: true, importance: 'high',
	}],
};

/** Starts an upstream and gives its address. */
export async function startCostUpstream(): Promise<string> {
	const upstream = await startUpstream();
	return upstream.address;
}

/** Starts a bare forwarder, as one would write it with Fastify and `undici` alone. */
export async function startBareForwarder(upstreamAddress: string): Promise<string> {
	const pool = new Pool(`http://${upstreamAddress}`, {connections, pipelining: 1});
	const server = fastify();
	server.all('*', async (request, reply) => {
		const {connection: _connection, 'transfer-encoding': _encoding, ...headers} = request.headers;
		const answer = await pool.request({path: request.url, method: 'GET', headers});
		const {connection: _own, 'keep-alive': _kept, ...passed} = answer.headers;
		return reply.code(answer.statusCode).headers(passed).send(answer.body);
	});
	const address = await server.listen({host: '127.0.0.1', port: 0});
	return address.replace('http://', '');
}

class FixedOwnerPath implements RequestPath<OpenedRequest, RequestOwner> {
	readonly #index = createTargetIndex([contract]);
	readonly #owner: RequestOwner;
	#budget: RetryBudget = createRetryBudget(contract.retry.budgetRatio);

	constructor(address: string) {
		this.#owner = {
			address, connections, slot: 1, fence: 1, admission: createAdmission({slots: connections, instances: 1, queueLength: connections}),
		};
	}

	now(): number {
		return monotonicNow();
	}

	open(head: RequestHead): Result<OpenedRequest, Failure> {
		const target = matchService(this.#index, head.path);
		if (target === undefined) {
			return Result.err(failure(FailureKind.notFound, 'no service has this path'));
		}

		return readKey(target, head).map(() => ({
			...routeOf(target, head.method, head.path),
			deadline: deadlineOf(contract, head, this.now()),
			retry: contract.retry,
			largestBodyBytes: contract.largestBodyBytes,
			notRunStatuses: contract.upstream.notRunStatuses,
			claims: false,
		}));
	}

	locate(): Result<RequestOwner, Failure> {
		return Result.ok(this.#owner);
	}

	mayStart(): boolean {
		return true;
	}

	allowsRetry(): boolean {
		return allowsRetry(this.#budget);
	}

	attemptStarted(_opened: OpenedRequest, _owner: RequestOwner, retry: boolean): void {
		this.#budget = recordAttempt(this.#budget, {kind: retry ? 'retry' : 'first-attempt'}).state;
	}

	attemptEnded(): void {
		// Nothing is recorded.
	}

	claim(): OpenClaim {
		return {
			giveUp() {
				// Nothing is claimed.
			},
			finished() {
				// Nothing is claimed.
			},
		};
	}

	requestEnded(): void {
		// Nothing is recorded.
	}
}

async function listen(listener: RequestListener): Promise<string> {
	const server = createServer(listener);
	return new Promise(resolve => {
		server.listen(0, '127.0.0.1', () => {
			resolve(`127.0.0.1:${(server.address() as AddressInfo).port}`);
		});
	});
}

/** Starts the forwarder of this project: all decisions on a request, but one fixed owner. */
export async function startForwarder(upstreamAddress: string): Promise<string> {
	const client = createUpstreamClient({connectTimeoutMilliseconds: 1000, idleMilliseconds: 60_000});
	const path = new FixedOwnerPath(upstreamAddress);
	return listen((request, response) => {
		forward({client, path}, request, response);
	});
}

/** The processes by name. */
export const costChildren: Readonly<Record<string, (upstreamAddress: string) => Promise<string>>> = {
	upstream: startCostUpstream,
	bare: startBareForwarder,
	forwarder: startForwarder,
};
