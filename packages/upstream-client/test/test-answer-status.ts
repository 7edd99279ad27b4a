/**
 * Upstreams whose answers have no status that ends a request: the daemon's client reports no head of such an answer,
 * ends the attempt once as one that may have run, and uses the connection no more.
 */
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {type AddressInfo, createServer, type Socket} from 'node:net';
import {test} from 'node:test';
import {AttemptObservation} from '@dogwooddeck/routing/outcome';
import {createUpstreamClient} from '@dogwooddeck/upstream-client/client';

const cases: ReadonlyArray<{readonly name: string; readonly head: string; readonly ends?: true}> = [
	{name: '000', head: 'HTTP/1.1 000 None'},
	{name: '099', head: 'HTTP/1.1 099 None'},
	{name: '1000', head: 'HTTP/1.1 1000 None'},
	{name: 'letters', head: 'HTTP/1.1 abc None'},
	{name: 'absent', head: 'HTTP/1.1 '},
	{name: 'interim, and the end', head: 'HTTP/1.1 103 Early Hints', ends: true},
	{name: '100 that nobody waits for, and the end', head: 'HTTP/1.1 100 Continue', ends: true},
	{name: '101 that nobody asked for', head: 'HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: h2c'},
];

for (const {name, head, ends} of cases) {
	test(`answer status: the daemon's client: ${name}`, async () => {
		const sockets: Socket[] = [];
		const server = createServer(socket => {
			sockets.push(socket);
			socket.on('error', () => undefined);
			socket.once('data', () => {
				socket.write(`${head}\r\nContent-Length: 0\r\n\r\n`);
				if (ends === true) {
					socket.end();
				}
			});
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		const client = createUpstreamClient({connectTimeoutMilliseconds: 1000, idleMilliseconds: 1000});
		const seen: Array<number | AttemptObservation> = [];
		await new Promise<void>(resolve => {
			client.send({
				address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
				connections: 1,
				method: 'GET',
				path: '/',
				headers: ['Host', 'example'],
				body: undefined,
				slot: 0,
				fence: 1,
				timeoutMilliseconds: 1000,
				notRunStatuses: [503],
			}, {
				beforeFirstByte: () => true,
				onHead(status) {
					seen.push(status);
				},
				onChunk: () => true,
				onEnd(observation) {
					seen.push(observation);
					resolve();
				},
			});
		});
		const [socket] = sockets as [Socket];
		if (!socket.closed) {
			await once(socket, 'close');
		}

		await client.close();
		server.close();
		assert.deepEqual([seen, sockets.length], [[AttemptObservation.closedAfterFirstByte], 1]);
	});
}
