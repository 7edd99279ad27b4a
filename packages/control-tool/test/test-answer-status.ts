/**
 * Servers of the operators' surface whose answers have no status: a write's outcome is told as unknown, a read's as a
 * server that can't be reached.
 */
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {type AddressInfo, createServer} from 'node:net';
import {test} from 'node:test';
import {FailureKind} from '@dogwooddeck/model/failure';
import * as v from 'valibot';
import {send} from '@dogwooddeck/control-tool/client';

const cases: ReadonlyArray<{readonly name: string; readonly head: string; readonly ends?: true}> = [
	{name: '000', head: 'HTTP/1.1 000 None'},
	{name: '099', head: 'HTTP/1.1 099 None'},
	{name: '1000', head: 'HTTP/1.1 1000 None'},
	{name: 'letters', head: 'HTTP/1.1 abc None'},
	{name: 'absent', head: 'HTTP/1.1 '},
	{name: 'interim, and the end', head: 'HTTP/1.1 103 Early Hints', ends: true},
	{name: '101 that nobody asked for', head: 'HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: h2c'},
];

const kinds = [
	{kind: 'a read', body: undefined, seen: FailureKind.unreachable},
	{kind: 'a write', body: {operation: 'o'}, seen: FailureKind.outcomeUnknown},
] as const;

for (const {name, head, ends} of cases) {
	for (const {kind, body, seen} of kinds) {
		test(`answer status: the operators' tool: ${name}: ${kind}`, async () => {
			const server = createServer(socket => {
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
			const connection = {servers: [`http://127.0.0.1:${(server.address() as AddressInfo).port}`], timeoutMilliseconds: 1000, token: undefined};
			const result = await send(connection as never, {path: '/status' as never, ...(body === undefined ? {} : {body})}, v.unknown());
			server.close();
			assert.equal(result.isErr ? result.error.kind : 'answered', seen);
		});
	}
}
