/**
 * Tests which requests the caller server passes to its handler, the status and outcome
 * of those that it rejects, and the handling of requests while it closes.
 */
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {METHODS} from 'node:http';
import {connect} from 'node:net';
import {test} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {startCallerServer} from '@dogwooddeck/front/caller-server';

type Case = {
	readonly name: string;
	readonly line: string;
	readonly fields?: readonly string[];
	readonly status: number;
	/** Absent: the request reaches the handler. `none`: it can't be parsed, so the response has no outcome header. */
	readonly outcome?: 'not-run' | 'unknown' | 'none';
};

/** Node.js parses this method since some release of version 20; earlier ones reject it as invalid HTTP. */
const outcomeOfQuery = METHODS.includes('QUERY') ? 'not-run' : 'none';

const cases: readonly Case[] = [
	{name: 'any path', line: 'GET /a/b?c=%zz', status: 200},
	{name: 'an absolute URL', line: 'GET http://host/a', status: 200},
	{
		name: 'a body that is not JSON', line: 'POST /a', fields: ['content-type: application/json'], status: 200,
	},
	{
		name: 'bad percent-encoding', line: 'GET /a%zz', status: 400, outcome: 'not-run',
	},
	{
		name: 'bad percent-encoding with an operation key', line: 'POST /a%zz', fields: ['idempotency-key: one'], status: 400, outcome: 'unknown',
	},
	{
		name: 'an unknown method', line: 'PURGE /a', status: 404, outcome: 'not-run',
	},
	{
		name: 'a method that needs a content type', line: 'QUERY /a', status: 400, outcome: outcomeOfQuery,
	},
	{
		name: 'an invalid method', line: 'NOSUCHMETHOD /a', status: 400, outcome: 'none',
	},
];

async function responseTo(address: string, {line, fields = []}: Case): Promise<string> {
	const [host, port] = address.split(':');
	const socket = connect(Number(port), host);
	let text = '';
	socket.on('data', chunk => {
		text += String(chunk);
	});
	socket.write([`${line} HTTP/1.1`, 'host: host', 'connection: close', 'content-length: 0', ...fields, '', ''].join('\r\n'));
	await once(socket, 'close');
	return text;
}

for (const entry of cases) {
	test(`caller server: ${entry.name}`, async () => {
		const started = await startCallerServer('127.0.0.1:0', (_request, response) => {
			response.end('handled');
		});
		const server = started.unwrapOrElse(why => assert.fail(why.detail));
		const answer = await responseTo(server.address, entry);
		await server.close();
		assert.ok(answer.startsWith(`HTTP/1.1 ${entry.status} `), answer);
		assert.equal(/^dogwooddeck-outcome: (\S+)/imv.exec(answer)?.[1], entry.outcome === 'none' ? undefined : entry.outcome, answer);
		assert.equal(answer.includes('application/problem+json'), entry.outcome !== undefined, answer);
	});
}

test('caller server: an address that is in use', async () => {
	const started = await startCallerServer('127.0.0.1:0', () => undefined);
	const server = started.unwrapOrElse(why => assert.fail(why.detail));
	const second = await startCallerServer(server.address, () => undefined);
	await server.close();
	assert.equal(second.isErr && second.error.kind, 'unreachable');
});

const closingMilliseconds = 100;
const pollMilliseconds = 10;
const maximumPolls = 500;

async function waitUntil(holds: () => boolean): Promise<void> {
	for (let poll = 0; poll < maximumPolls && !holds(); poll++) {
		await pause(pollMilliseconds);
	}

	assert.ok(holds());
}

test('caller server: a request that follows one in flight is handled while the server closes', async () => {
	const pendingResponses: Array<() => void> = [];
	const started = await startCallerServer('127.0.0.1:0', (_request, response) => {
		pendingResponses.push(() => {
			response.end('handled');
		});
	});
	const server = started.unwrapOrElse(why => assert.fail(why.detail));
	const [host, port] = server.address.split(':');
	const socket = connect(Number(port), host);
	let text = '';
	socket.on('data', chunk => {
		text += String(chunk);
	});
	const head = 'GET /a HTTP/1.1\r\nhost: host\r\n\r\n';
	socket.write(head);
	await waitUntil(() => pendingResponses.length === 1);
	const closing = server.close();
	await pause(closingMilliseconds);
	socket.write(head);
	await pause(closingMilliseconds);
	pendingResponses[0]!();
	await waitUntil(() => pendingResponses.length === 2 || text.includes(' 503 '));
	assert.equal(pendingResponses.length, 2, text);
	pendingResponses[1]!();
	await waitUntil(() => text.split('handled').length === 3);
	socket.destroy();
	await closing;
});
