import assert from 'node:assert/strict';
import {once} from 'node:events';
import {get, request, type IncomingMessage} from 'node:http';
import {connect} from 'node:net';
import {test, type TestContext} from 'node:test';
import {Outcome} from '@dogwooddeck/model/outcome';
import {AttemptObservation} from '@dogwooddeck/routing/outcome';
import {Entry} from './entry.js';
import {Fault} from '@dogwooddeck/stand-in/fault';
import {startUpstream, type StandInUpstream} from '@dogwooddeck/stand-in/upstream';

const largeBytes = 8_000_000;
const largeChunk = 'x'.repeat(1500);

async function setUp(t: TestContext, answerBytes: number): Promise<{readonly upstream: StandInUpstream; readonly entry: Entry}> {
	const upstream = await startUpstream({answerBytes});
	const entry = await new Entry({
		upstreamAddress: () => upstream.address, deadlineMilliseconds: 5000, idempotent: false, attempts: 1,
	}).start();
	t.after(async () => {
		await entry.stop();
		await upstream.stop();
	});
	return {upstream, entry};
}

async function until(holds: () => boolean): Promise<void> {
	while (!holds()) {
		await new Promise(resolve => {
			setImmediate(resolve);
		});
	}
}

/** Sends bytes as they are, and gives all that comes back until the other side closes. */
async function exchangeRaw(address: string, text: string): Promise<string> {
	const [host, port] = address.split(':');
	const socket = connect(Number(port), host);
	const parts: string[] = [];
	socket.setEncoding('utf8');
	socket.on('data', (part: string) => {
		parts.push(part);
	});
	socket.write(text);
	await once(socket, 'close');
	return parts.join('');
}

test('forward: a slow caller gets a large answer whole', async t => {
	const {entry} = await setUp(t, largeBytes);
	const [answer] = await once(get(`http://${entry.address}/verge/1`), 'response') as [IncomingMessage];
	let size = 0;
	for await (const chunk of answer) {
		size += (chunk as Uint8Array).length;
		await new Promise(resolve => {
			setImmediate(resolve);
		});
	}

	assert.equal(size, largeBytes);
	assert.equal(entry.attempts[0]!.seen, AttemptObservation.wholeAnswer);
});

test('forward: a caller that goes away in the middle of an answer cancels it upstream', async t => {
	const {entry} = await setUp(t, largeBytes);
	const [answer] = await once(get(`http://${entry.address}/verge/1`), 'response') as [IncomingMessage];
	await once(answer, 'readable');
	answer.destroy();
	await until(() => entry.reports.length === 1);
	assert.equal(entry.attempts[0]!.seen, AttemptObservation.cancelledAfterFirstByte);
	assert.deepEqual([entry.reports[0]!.outcome, entry.reports[0]!.status], [Outcome.unknown, undefined]);
});

test('forward: a caller that goes away while it waits cancels the request', async t => {
	const {upstream, entry} = await setUp(t, 100);
	await upstream.order({fault: Fault.stall});
	const sent = get(`http://${entry.address}/verge/1`);
	sent.on('error', () => undefined);
	await until(() => upstream.connections === 1);
	sent.destroy();
	await until(() => entry.reports.length === 1);
	assert.equal(upstream.ran.size, 0);
});

test('forward: a caller that goes away in the middle of its body sends nothing', async t => {
	const {upstream, entry} = await setUp(t, 100);
	const sent = request(`http://${entry.address}/verge/1`, {method: 'POST', headers: {'content-length': '100'}});
	sent.on('error', () => undefined);
	sent.write('half');
	await once(sent, 'socket');
	await new Promise(resolve => {
		sent.socket!.write('more', resolve);
	});
	sent.destroy();
	await until(() => entry.reports.length === 1);
	assert.deepEqual([entry.reports[0]!.outcome, upstream.connections], [Outcome.notRun, 0]);
});

function headOf(method: string, ...fields: readonly string[]): string {
	return [`${method} /verge/1 HTTP/1.1`, 'host: a', ...fields, '', ''].join('\r\n');
}

type RawCase = {readonly name: string; readonly text: string; readonly expected: readonly RegExp[]};

const rawCases: readonly RawCase[] = [
	{
		name: 'two requests at once are answered in their order, the first one late',
		text: `${headOf('GET', 'stand-in-operation: first')}${headOf('GET', 'connection: close', 'stand-in-operation: second')}`,
		expected: [/"operation":"first"[\s\S]*"operation":"second"/v],
	},
	{
		name: 'HTTP/1.0 is refused', text: 'GET /verge/1 HTTP/1.0\r\nhost: a\r\n\r\n', expected: [/^HTTP\/1\.1 400/v, /"kind":"malformed"/v],
	},
	{
		name: 'a path that can\'t be sent on', text: 'GET /verge/\u00E9 HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n', expected: [/^HTTP\/1\.1 [24]00/v],
	},
	{
		name: 'two lengths', text: 'POST /verge/1 HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nab', expected: [/^HTTP\/1\.1 400/v],
	},
	{
		name: 'a length and chunks', text: `${headOf('POST', 'content-length: 1', 'transfer-encoding: chunked')}0\r\n\r\n`, expected: [/^HTTP\/1\.1 400/v],
	},
	{
		name: 'chunks that are larger than the bound', text: `${headOf('POST', 'transfer-encoding: chunked')}5dc\r\n${largeChunk}\r\n0\r\n\r\n`, expected: [/^HTTP\/1\.1 413/v, /"kind":"too-large"/v],
	},
	{
		name: 'an expectation of 100-continue', text: `${headOf('POST', 'expect: 100-continue', 'connection: close', 'content-length: 2')}ab`, expected: [/100 Continue[\s\S]*HTTP\/1\.1 200/v],
	},
];

for (const {name, text, expected} of rawCases) {
	test(`forward: ${name}`, async t => {
		const {upstream, entry} = await setUp(t, 100);
		await upstream.order({fault: Fault.late, delayMilliseconds: 30, requests: 1});
		const answer = await exchangeRaw(entry.address, text);
		for (const pattern of expected) {
			assert.match(answer, pattern);
		}
	});
}
