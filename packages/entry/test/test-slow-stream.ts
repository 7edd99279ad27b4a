/**
 * An entry follows a control instance over a slow link: real connections through a
 * relay that limits the bytes a second.
 */
import assert from 'node:assert/strict';
import {randomBytes} from 'node:crypto';
import {once} from 'node:events';
import {
	type AddressInfo, connect, createServer, type Socket,
} from 'node:net';
import {test} from 'node:test';
import {pause} from '@dogwooddeck/clock/pause';
import {type ItemChange} from '@dogwooddeck/directory/item';
import {directoryMachine, encodeCommands} from '@dogwooddeck/directory/state';
import {type FollowMessage} from '@dogwooddeck/mesh/calls';
import {createMeshClients} from '@dogwooddeck/mesh/client';
import {startMeshServer, type Follower, type MeshHandlers} from '@dogwooddeck/mesh/server';
import {encodeMessage} from '@dogwooddeck/mesh/encoding';
import {createStateHolder} from '@dogwooddeck/replica/state-holder';
import {type Log} from '@dogwooddeck/telemetry/log';
import {followDirectory} from '@dogwooddeck/entry/directory-follower';

const silentLog: Log = {
	event: () => undefined, warning: () => undefined, error: () => undefined,
};

const tickMilliseconds = 10;
const millisecondsPerSecond = 1000;

type Relay = {readonly port: number; readonly close: () => void};

/** Forwards data from one socket to another, at most `bytesPerTick` each tick. */
function throttle(from: Socket, to: Socket, bytesPerTick: number): NodeJS.Timeout {
	from.on('error', () => {
		to.destroy();
	});
	from.on('close', () => {
		to.destroy();
	});
	return setInterval(() => {
		const chunk = (from.read(Math.min(bytesPerTick, from.readableLength)) ?? undefined) as Uint8Array | undefined;
		if (chunk !== undefined && to.writable) {
			to.write(chunk);
		}
	}, tickMilliseconds);
}

async function startRelay(target: number, bytesPerSecond: number): Promise<Relay> {
	const bytesPerTick = Math.ceil(bytesPerSecond * tickMilliseconds / millisecondsPerSecond);
	const timers: NodeJS.Timeout[] = [];
	const sockets: Socket[] = [];
	const server = createServer({highWaterMark: bytesPerTick}, socket => {
		const onward = connect(target, '127.0.0.1');
		sockets.push(socket, onward);
		timers.push(throttle(socket, onward, bytesPerTick), throttle(onward, socket, bytesPerTick));
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	return {
		port: (server.address() as AddressInfo).port,
		close() {
			server.close();
			for (const timer of timers) {
				clearInterval(timer);
			}

			for (const socket of sockets) {
				socket.destroy();
			}
		},
	};
}

async function freePort(): Promise<number> {
	const server = createServer();
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	server.close();
	await once(server, 'close');
	return port;
}

/** Returns changes whose text hardly compresses. */
function routes(count: number): readonly ItemChange[] {
	return [
		{kind: 'service', name: 's', item: {version: 1, value: {keyed: false, maxConnections: 10}, document: '{}'}},
		...Array.from({length: count}, (_, position): ItemChange => ({
			kind: 'route',
			name: `r${position}`,
			item: {
				version: 1,
				value: {
					hostname: `${position}.example`, pathPrefix: '/', idempotent: true, timeoutMilliseconds: 1000, objectiveMilliseconds: 500, priority: 0, maxAttempts: 1, targets: [{service: 's', weight: 1}],
				},
				document: JSON.stringify(randomBytes(300).toString('base64')),
			},
		})),
	];
}

const followedWithinMilliseconds = 10_000;

const cases: ReadonlyArray<{readonly name: string; readonly bytesPerSecond: number; readonly routes: number}> = [
	{name: 'a few routes', bytesPerSecond: 100_000, routes: 20},
	{name: 'many routes', bytesPerSecond: 100_000, routes: 800},
];

for (const {name, bytesPerSecond, routes: count} of cases) {
	test(`slow stream: ${name} reach an entry though they take longer than the timeout of a stream`, async () => {
		const source = createStateHolder(directoryMachine);
		source.apply(1, encodeCommands([{kind: 'itemsChanged', changes: routes(count)}]));
		const port = await freePort();
		const followers = new Set<Follower>();
		const messageFor = ({request}: Follower): FollowMessage => ({
			...(request.wantsChanges ? {catchUp: source.catchUpAfter(request.applied)} : {}), fresh: true, committed: 1, zone: 'z', members: [], entryCount: 1, shares: [],
		});
		const server = await startMeshServer(`127.0.0.1:${port}`, {} as MeshHandlers, follower => {
			followers.add(follower);
			follower.send(encodeMessage(messageFor(follower)));
			follower.onEnd(() => {
				followers.delete(follower);
			});
		});
		assert.ok(server.isOk);
		const heartbeatTimer = setInterval(() => {
			for (const follower of followers) {
				follower.send(encodeMessage({
					fresh: true, committed: 1, zone: 'z', members: [], entryCount: 1, shares: [],
				}));
			}
		}, 250);
		const relay = await startRelay(port, bytesPerSecond);
		const clients = createMeshClients();
		const follower = followDirectory({
			name: 'e', zone: 'z', regions: {z: 'r'}, seeds: [`127.0.0.1:${relay.port}`], clients, log: silentLog,
		});
		for (let waited = 0; waited < followedWithinMilliseconds && follower.state().applied === 0; waited += 50) {
			await pause(50);
		}

		const {applied} = follower.state();
		follower.stop();
		clients.close();
		relay.close();
		clearInterval(heartbeatTimer);
		server.value.close();
		assert.equal(applied, 1);
	});
}
