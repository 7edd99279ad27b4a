/**
 * Graceful shutdown: a request that arrives while the instance is stopping and can't be
 * answered before it ends is rejected as not run. Its connection is never closed
 * without a response, which the caller would see as LOST.
 */
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {connect} from 'node:net';
import {test} from 'node:test';
import {pause} from '@dogwooddeck/clock/pause';
import {defaultContract} from '@dogwooddeck/model/contract';
import {type OneInstance, operatorToken, startOne} from './one-instance.js';

const token = 'bermrand-token-of-the-test-00001';

/** A service without upstreams: its requests wait for an owner until their deadline. */
const service = {
	...defaultContract, name: 'bermrand/schedule', prefix: '/schedule', key: {place: 'path', segment: 0},
};

async function declare(one: OneInstance): Promise<void> {
	const set = await one.send('POST', '/operator/token', {token: operatorToken, body: {team: 'bermrand', token, operation: 'token-of-bermrand'}});
	assert.equal(set.status, 200, JSON.stringify(set.body));
	const applied = await one.send('POST', '/operator/apply', {
		token,
		body: {
			team: 'bermrand', operation: 'operation-1', base: 0, services: [service],
		},
	});
	assert.equal(applied.status, 200, JSON.stringify(applied.body));
	await pause(300);
}

const cases: ReadonlyArray<{readonly name: string; readonly sentAfterMilliseconds: number}> = [
	{name: 'right after the stop began', sentAfterMilliseconds: 100},
	{name: 'late', sentAfterMilliseconds: 700},
	{name: 'at the end', sentAfterMilliseconds: 950},
];

for (const {name, sentAfterMilliseconds} of cases) {
	test(`late requests: one that arrives ${name} is answered before the instance ends`, async () => {
		const one = await startOne();
		await declare(one);
		const [host, port] = one.addresses.callers.split(':') as [string, string];
		const socket = connect(Number(port), host);
		await once(socket, 'connect');
		let received = '';
		socket.on('data', bytes => {
			received += bytes.toString();
		});
		socket.on('error', () => undefined);
		const closed = once(socket, 'close');
		const stopped = one.stop();
		await pause(sentAfterMilliseconds);
		socket.write('GET /schedule/7 HTTP/1.1\r\nHost: a.example\r\nDogwooddeck-Deadline: 3000\r\n\r\n');
		await stopped;
		socket.destroy();
		await closed;
		assert.match(received, /^HTTP\/1\.1 503 /v);
		assert.match(received, /dogwooddeck-outcome: not-run/iv);
	});
}
