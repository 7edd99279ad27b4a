/**
 * Test fixtures: an entry's server for callers, service table and connections, and
 * upstreams that are plain TCP servers in the same process.
 */
import {once} from 'node:events';
import {
	type AddressInfo, connect, createServer, type Server, type Socket,
} from 'node:net';
import {AnswerSize, type Item, type Route} from '@dogwooddeck/directory/item';
import {emptyDirectory, type DirectoryState} from '@dogwooddeck/directory/state';
import {UpstreamState} from '@dogwooddeck/directory/upstream';
import {AnswerBuffering} from '@dogwooddeck/gateway/answer-buffering';
import {BodyBuffering} from '@dogwooddeck/gateway/body-buffering';
import {peerLimitsOf} from '@dogwooddeck/gateway/peer-memory';
import {ReadThrottle} from '@dogwooddeck/loop-share/read-throttle';
import {type RequestSpecification} from '@dogwooddeck/entry/attempt';
import {LoopDelayGuard, turnIntervalMilliseconds} from '@dogwooddeck/entry/loop-delay-guard';
import {RequestExecution, type RequestDependencies} from '@dogwooddeck/entry/request-execution';
import {type CallerServer, startCallerServer} from '@dogwooddeck/entry/caller-server';
import {type CachedService, ServiceTable} from '@dogwooddeck/entry/service-table';
import {type EntrySettings} from '@dogwooddeck/entry/settings';

/** A request that an upstream received. */
export type Request = {readonly head: string; readonly body: string; readonly identifier: string};
/** How an upstream handles a request; `received` is the number of requests that it has received. */
export type Behaviour = (socket: Socket, request: Request, received: number) => void;

const fields = {
	requestIdentifier: 'request', deadline: 'deadline', expectedUpstream: 'expected', stamp: 'stamp', notRun: 'not-run', key: 'key', leaving: 'leaving', load: 'load',
};

/** What the answers of an entry may buffer together. */
const maximumBufferedBytes = 33_554_432;

/** The settings of the entry. */
export const settings: EntrySettings = {
	name: 'entry', zone: 'z', regions: {z: 'r', y: 'r', x: 'q'}, callers: {host: '127.0.0.1', port: 0}, readiness: {host: '127.0.0.1', port: 0, path: '/'}, seeds: [], fields, retries: {ratio: 0.2, slack: 20}, leavingGraceMilliseconds: 300, evacuationGraceMilliseconds: 300, graceMilliseconds: 1000,
};

/** Answers a request successfully with a body. */
export function answer(socket: Socket, {identifier}: Request, body: string): void {
	socket.write(`HTTP/1.1 200 OK\r\nRequest: ${identifier}\r\nStamp: s\r\nContent-Length: ${body.length}\r\n\r\n${body}`);
}

function readRequest(text: string): Request {
	const [head, body] = text.split('\r\n\r\n') as [string, string];
	return {head, body, identifier: /^request: (.*)$/imv.exec(head)?.[1] ?? ''};
}

/** A listening upstream; `closed` counts its closed connections. */
export type Upstream = {readonly server: Server; readonly requests: Request[]; closed: number};

/** Returns a request for an upstream whose answers name the request `a`; answers that state `Not-Run` are refusals. */
export function specificationOf(specification: Pick<RequestSpecification, 'timeoutMilliseconds' | 'onEnd'> & Partial<RequestSpecification>): RequestSpecification {
	return {
		method: 'GET',
		path: '/',
		headers: ['Host', 'example'],
		body: undefined,
		refusedOn: new Set(),
		rules: {
			isNotRun: (_status, {headers}) => headers.includes('Not-Run'),
			isForeign: (_status, {headers}) => !headers.includes('a'),
		},
		mayStart: () => true,
		buffering: new AnswerBuffering(maximumBufferedBytes),
		answerSize: AnswerSize.ordinary,
		streamedAnswer: {
			begin: () => undefined,
			write: () => true,
		},
		...specification,
	};
}

/** Starts an upstream. */
export async function startUpstream(behaviour: Behaviour): Promise<Upstream> {
	const upstream: Upstream = {server: createServer(), requests: [], closed: 0};
	upstream.server.on('connection', socket => {
		socket.on('error', () => {
			socket.destroy();
		});
		socket.on('close', () => {
			upstream.closed += 1;
		});
		socket.on('data', bytes => {
			const request = readRequest(bytes.toString());
			upstream.requests.push(request);
			behaviour(socket, request, upstream.requests.length);
		});
	});
	upstream.server.listen(0, '127.0.0.1');
	await once(upstream.server, 'listening');
	return upstream;
}

function route(idempotent: boolean, pathPrefix: string, service = 's', fields: Partial<Route> = {}): Item<Route> {
	return {
		version: 1,
		value: {
			hostname: 'a.example', pathPrefix, idempotent, answerSize: AnswerSize.ordinary, timeoutMilliseconds: 900, objectiveMilliseconds: 400, priority: 0, maxAttempts: 2, targets: [{service, weight: 1}], ...fields,
		},
	};
}

/** Adds a route whose requests may wait for longer than an instance takes to stop. */
export function withPatientRoute(directory: DirectoryState): DirectoryState {
	const patient = route(false, '/patient/', 's', {timeoutMilliseconds: 20_000, objectiveMilliseconds: 12_000});
	return {...directory, items: {...directory.items, route: {...directory.items.route, patient}}};
}

/** A directory of upstreams `u0` and so on, with routes for each kind of request. */
export function directoryOf(upstreams: readonly Upstream[]): DirectoryState {
	const records = upstreams.map(({server}, position) => ({
		id: `u${position}`, born: 1, service: 's', address: `127.0.0.1:${(server.address() as AddressInfo).port}`, zone: 'z', slots: 3, state: UpstreamState.ready, cold: false,
	}));
	return {
		...emptyDirectory,
		applied: 1,
		items: {
			route: {
				safe: route(true, '/safe/'), large: route(true, '/large/', 's', {answerSize: AnswerSize.large}), once: route(false, '/once/'), keyed: route(true, '/keyed/', 'k'),
			}, service: {s: {version: 1, value: {keyed: false, maxConnections: 20}}, k: {version: 1, value: {keyed: true, maxConnections: 20}}}, limits: {},
		},
		upstreams: Object.fromEntries(records.map(record => [record.id, record])),
		keys: {
			k: [{
				from: 0, to: 65_535, fence: 1, holder: {id: 'u0', born: 1}, told: true, handover: '',
			}],
		},
	};
}

/** A running entry. */
export type Entry = {readonly port: number; readonly callers: CallerServer; readonly table: ServiceTable; readonly advancing: NodeJS.Timeout};

async function findPort(): Promise<number> {
	const probe = createServer().listen(0, '127.0.0.1');
	await once(probe, 'listening');
	const {port} = probe.address() as AddressInfo;
	probe.close();
	await once(probe, 'close');
	return port;
}

/** Another process may take the port between its being found and being used. */
const portTries = 5;

async function onFreePort(listen: (port: number) => Promise<CallerServer>): Promise<{readonly port: number; readonly callers: CallerServer}> {
	for (let tries = 1; ; tries += 1) {
		const port = await findPort();
		try {
			return {port, callers: await listen(port)};
		} catch (error) {
			if (tries === portTries || (error as NodeJS.ErrnoException).code !== 'EADDRINUSE') {
				throw error; // eslint-disable-line no-restricted-syntax -- passed on as it came
			}
		}
	}
}

/** Starts an entry; `hasDirectory`: whether it has a directory. `overrides` replaces dependencies of its requests. */
export async function startEntry(upstreams: readonly Upstream[], hasDirectory: boolean, overrides: Partial<RequestDependencies> = {}): Promise<Entry> {
	const throttle = new ReadThrottle();
	const table = new ServiceTable(settings, overrides.random ?? (() => 0), throttle);
	const loopDelayGuard = new LoopDelayGuard();
	const advance = ({queue: line}: CachedService) => {
		loopDelayGuard.afterPendingReads(() => {
			line.advance(performance.now());
		});
	};

	const dependencies: RequestDependencies = {
		table,
		fields,
		requestLog: {
			answered: () => undefined, refused: () => undefined, attemptFailed: () => undefined, noticed: () => undefined,
		},
		isReady: () => table.routes.size > 0,
		limits: () => undefined,
		entryCount: () => 1,
		buffering: new AnswerBuffering(maximumBufferedBytes),
		bodyBuffering: new BodyBuffering(maximumBufferedBytes, maximumBufferedBytes),
		countKey: () => undefined,
		countAnswer: () => undefined,
		advance,
		afterPendingReads(callback) {
			loopDelayGuard.afterPendingReads(callback);
		},
		endsAt: () => Infinity,
		shareOf: () => 1,
		keyShareOf: () => undefined,
		random: () => 0,
		...overrides,
	};
	if (hasDirectory) {
		table.update(withPatientRoute(directoryOf(upstreams)), 1);
		for (const service of table.services()) {
			service.budget = {...service.budget, balance: 10};
		}
	}

	const listen = async (port: number): Promise<CallerServer> => startCallerServer({host: '127.0.0.1', port}, {
		onRequest(exchange, path) {
			new RequestExecution(dependencies, exchange, path).start();
		},
		keepsConnection: () => true,
		limits: peerLimitsOf(undefined),
		peerLog: () => undefined,
		throttle,
	});
	const {port, callers} = await onFreePort(listen);
	const advancing = setInterval(() => {
		loopDelayGuard.recordTurn();
		for (const service of table.services()) {
			advance(service);
		}
	}, turnIntervalMilliseconds);
	return {
		port, callers, table, advancing,
	};
}

/** Returns the text of a request; its deadline is in milliseconds. */
export function requestText(path: string, identifier: string, method = 'GET', body = '', deadline = 800): string {
	const length = body === '' ? '' : `Content-Length: ${body.length}\r\n`;
	return `${method} ${path} HTTP/1.1\r\nHost: a.example\r\nRequest: ${identifier}\r\nDeadline: ${deadline}\r\n${length}\r\n${body}`;
}

/** Sends a request and returns what is received until `until` is true or the connection closes. */
export async function call(port: number, text: string, until: (received: string) => boolean): Promise<string> {
	const socket = connect(port, '127.0.0.1');
	let received = '';
	return new Promise(resolve => {
		socket.on('error', () => {
			resolve(received);
		});
		socket.on('close', () => {
			resolve(received);
		});
		socket.on('data', bytes => {
			received += bytes.toString();
			if (until(received)) {
				socket.destroy();
			}
		});
		socket.write(text);
	});
}

/** Whether the head of an answer was received. */
export const hasHead = (received: string): boolean => received.includes('\r\n\r\n');

/** Answers with the identifier of the request. */
export const whole: Behaviour = (socket, request) => {
	answer(socket, request, `for ${request.identifier}`);
};

/** Runs a test with an entry and one upstream for each behaviour. */
export async function withEntry(behaviours: readonly Behaviour[], hasDirectory: boolean, use: (entry: Entry, upstreams: readonly Upstream[]) => Promise<void>, overrides: Partial<RequestDependencies> = {}): Promise<void> {
	const upstreams = await Promise.all(behaviours.map(async behaviour => startUpstream(behaviour)));
	let entry: Entry | undefined;
	try {
		entry = await startEntry(upstreams, hasDirectory, overrides);
		await use(entry, upstreams);
	} finally {
		clearInterval(entry?.advancing);
		entry?.callers.stopListening();
		entry?.callers.closeAll();
		entry?.table.close();
		for (const {server} of upstreams) {
			server.close();
		}
	}
}
