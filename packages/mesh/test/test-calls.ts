/**
 * Calls between two instances over a real connection. A TCP relay between them
 * counts the HTTP/2 streams that the client opens.
 */
import assert from 'node:assert/strict';
import {type Buffer} from 'node:buffer';
import {once} from 'node:events';
import {
	type AddressInfo, connect, createServer, type Server, type Socket,
} from 'node:net';
import {test} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {failure, FailureKind} from '@dogwooddeck/model/failure';
import {err, ok} from 'true-myth/result';
import {type MeshCall} from '@dogwooddeck/mesh/calls';
import {createMeshClients, type MeshClients} from '@dogwooddeck/mesh/client';
import {type MeshHandlers, startMeshServer} from '@dogwooddeck/mesh/server';

const prefaceBytes = 24;
const frameHeadBytes = 9;
const headersFrame = 1;

/** Counts the HTTP/2 HEADERS frames, each of which opens a stream. */
class StreamCount {
	streams = 0;
	#skip = prefaceBytes;
	#head: number[] = [];

	read(bytes: Buffer): void {
		for (const byte of bytes) {
			if (this.#skip > 0) {
				this.#skip -= 1;
				continue;
			}

			this.#head.push(byte);
			if (this.#head.length === frameHeadBytes) {
				const [high, middle, low, kind] = this.#head as [number, number, number, number];
				this.streams += kind === headersFrame ? 1 : 0;
				this.#skip = (high * 65_536) + (middle * 256) + low;
				this.#head = [];
			}
		}
	}
}

type Relay = {readonly port: number; readonly counts: StreamCount[]; readonly sockets: Set<Socket>; readonly server: Server};

async function startRelay(port: number): Promise<Relay> {
	const counts: StreamCount[] = [];
	const sockets = new Set<Socket>();
	const server = createServer(clientSocket => {
		const count = new StreamCount();
		const serverSocket = connect(port, '127.0.0.1');
		counts.push(count);
		for (const [socket, other] of [[clientSocket, serverSocket], [serverSocket, clientSocket]] as const) {
			sockets.add(socket);
			socket.on('error', () => {
				other.destroy();
			});
			socket.on('close', () => {
				other.destroy();
			});
		}

		clientSocket.on('data', bytes => {
			count.read(bytes);
			serverSocket.write(bytes);
		});
		serverSocket.on('data', bytes => {
			clientSocket.write(bytes);
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	return {
		port: (server.address() as AddressInfo).port, counts, sockets, server,
	};
}

type Scenario = {
	readonly address: string;
	readonly clients: MeshClients;
	readonly relay: Relay;
	/** The calls that the server received. */
	readonly received: MeshCall[];
	readonly streams: () => number;
};

/** Runs with a server that answers `confirm` with a count and `depart` after `born` milliseconds, and refuses `declare`. */
async function withScenario(run: (scenario: Scenario) => Promise<void>): Promise<void> {
	const received: MeshCall[] = [];
	const handlers = {
		async confirm() {
			received.push('confirm');
			return ok({index: received.length});
		},
		async depart({life}: {readonly life: {readonly born: number}}) {
			received.push('depart');
			await pause(life.born);
			return ok({});
		},
		async declare() {
			received.push('declare');
			return err(failure(FailureKind.notLeader, 'another instance is the leader'));
		},
		async reportLoad({services}: {readonly services: readonly unknown[]}) {
			received.push('reportLoad');
			return ok({length: JSON.stringify(services).length});
		},
	} as unknown as MeshHandlers;
	const free = createServer().listen(0, '127.0.0.1');
	await once(free, 'listening');
	const {port} = free.address() as AddressInfo;
	free.close();
	const server = await startMeshServer(`127.0.0.1:${port}`, handlers, () => undefined);
	assert.ok(server.isOk);
	const relay = await startRelay(port);
	const clients = createMeshClients();
	try {
		await run({
			address: `127.0.0.1:${relay.port}`, clients, relay, received, streams: () => relay.counts.reduce((sum, {streams}) => sum + streams, 0),
		});
	} finally {
		clients.close();
		server.value.close();
		relay.server.close();
		for (const socket of relay.sockets) {
			socket.destroy();
		}
	}
}

const departRequest = (milliseconds: number) => ({life: {id: 'u', born: milliseconds}});

test('calls: a thousand calls to one instance open one stream', async () => withScenario(async ({address, clients, received, streams}) => {
	for (let round = 0; round < 10; round += 1) {
		const answers = await Promise.all(Array.from({length: 100}, async () => clients.call(address, 'confirm', {}, 2000)));
		assert.ok(answers.every(({isOk}) => isOk));
	}

	assert.equal(received.length, 1000);
	assert.equal(streams(), 1);
}));

test('calls: each call gets its own answer, regardless of their order', async () => withScenario(async ({address, clients}) => {
	const ended: string[] = [];
	const call = async (name: string, pendingCall: Promise<unknown>) => {
		await pendingCall;
		ended.push(name);
	};

	await Promise.all([
		call('slow', clients.call(address, 'depart', departRequest(300), 2000)),
		call('quick', clients.call(address, 'depart', departRequest(1), 2000)),
		(async () => {
			const refused = await clients.call(address, 'declare', {changes: []}, 2000);
			assert.ok(refused.isErr && refused.error.kind === FailureKind.notLeader);
		})(),
	]);
	assert.deepEqual(ended, ['quick', 'slow']);
}));

test('calls: a call that times out doesn\'t affect the others', async () => withScenario(async ({address, clients}) => {
	const [late, inTime] = await Promise.all([
		clients.call(address, 'depart', departRequest(500), 100),
		clients.call(address, 'depart', departRequest(300), 2000),
	]);
	assert.ok(late.isErr && late.error.kind === FailureKind.unreachable);
	assert.ok(inTime.isOk);
}));

test('calls: consecutive timeouts don\'t end the calls that are pending', async () => withScenario(async ({address, clients}) => {
	const slow = clients.call(address, 'depart', departRequest(900), 2000);
	for (let count = 0; count < 4; count += 1) {
		const late = await clients.call(address, 'depart', departRequest(500), 100);
		assert.ok(late.isErr);
	}

	const ended = await slow;
	assert.ok(ended.isOk);
}));

test('calls: a lost connection fails the pending calls at once, and the next call opens another', async () => withScenario(async ({address, clients, relay}) => {
	await clients.call(address, 'confirm', {}, 2000);
	const startedAt = Date.now();
	const pending = clients.call(address, 'depart', departRequest(3000), 5000);
	await pause(100);
	for (const socket of relay.sockets) {
		socket.destroy();
	}

	const ended = await pending;
	assert.ok(ended.isErr && ended.error.kind === FailureKind.unreachable);
	assert.ok(Date.now() - startedAt < 1000);
	await pause(500);
	const next = await clients.call(address, 'confirm', {}, 2000);
	assert.ok(next.isOk);
}));

test('calls: a long message doesn\'t delay short ones', async () => withScenario(async ({address, clients, streams}) => {
	const long = {services: [{service: 's', counts: Array.from({length: 100_000}, (_, key) => [key, 1] as const), answers: []}]};
	const [first, second] = await Promise.all([clients.call(address, 'reportLoad', long, 5000), clients.call(address, 'confirm', {}, 5000)]);
	assert.ok(first.isOk);
	assert.ok(second.isOk);
	assert.equal(streams(), 2);
}));
