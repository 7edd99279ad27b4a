/**
 * Requests whose bodies come in pieces of a byte: each arrives whole, its connection stays usable, and callers that send a
 * few pieces on a slow line are answered meanwhile. Closing connections instead would take answers from callers (LOST).
 */
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {Agent, createServer, request} from 'node:http';
import {text} from 'node:stream/consumers';
import {test} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {startEntry, type Upstream} from './scenario.js';

const deadlineMilliseconds = 15_000;
const piecesPerWrite = 1000;
const slowPieces = 5;
const slowPauseMilliseconds = 30;
const requestsOfConnection = 2;

type Sender = {readonly pieces: number; readonly pauseMilliseconds: number};

const Senders = {
	fast: {pieces: 100_000, pauseMilliseconds: 0},
	slow: {pieces: slowPieces, pauseMilliseconds: slowPauseMilliseconds},
} as const satisfies Record<string, Sender>;

async function startCountingUpstream(): Promise<Upstream> {
	const server = createServer(async (received, response) => {
		const body = await text(received);
		response.writeHead(200, {request: received.headers.request, stamp: 's'});
		response.end(String(body.length));
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	return {server, requests: [], closed: 0};
}

/** Sends a body in chunks of a byte, and returns what the upstream says of its length. */
async function send(port: number, agent: Agent, identifier: string, {pieces, pauseMilliseconds}: Sender): Promise<string> {
	const call = request({
		host: '127.0.0.1', port, agent, method: 'POST', path: '/patient/x', headers: {
			host: 'a.example', request: identifier, deadline: String(deadlineMilliseconds), 'transfer-encoding': 'chunked',
		},
	});
	const answered = Promise.race([once(call, 'response'), once(call, 'error')]) as Promise<[NodeJS.ReadableStream]>;
	for (let sent = 0; sent < pieces; sent += 1) {
		call.write('a');
		if (pauseMilliseconds > 0 || sent % piecesPerWrite === 0) {
			await pause(pauseMilliseconds);
		}
	}

	call.end();
	const [answer] = await answered;
	return answer instanceof Error ? answer.message : text(answer);
}

const cases: ReadonlyArray<{readonly name: string; readonly senders: readonly Sender[]}> = [
	{name: 'one body without pauses', senders: [Senders.fast]},
	{name: 'several bodies without pauses', senders: Array.from({length: 4}, () => Senders.fast)},
	{name: 'slow callers beside one body without pauses', senders: [Senders.fast, Senders.slow, Senders.slow, Senders.slow]},
	{name: 'slow callers beside several bodies without pauses', senders: [Senders.fast, Senders.fast, Senders.fast, Senders.slow, Senders.slow, Senders.slow]},
];

for (const {name, senders} of cases) {
	test(`throttled bodies: ${name}`, async () => {
		const upstreams = await Promise.all(senders.map(async () => startCountingUpstream()));
		const entry = await startEntry(upstreams, true);
		const agents = senders.map(() => new Agent({keepAlive: true, maxSockets: 1}));
		const lengths = await Promise.all(senders.map(async (sender, position) => {
			const answers: string[] = [];
			for (let count = 0; count < requestsOfConnection; count += 1) {
				answers.push(await send(entry.port, agents[position]!, `${position}-${count}`, sender));
			}

			return answers;
		}));
		clearInterval(entry.advancing);
		entry.callers.stopListening();
		entry.callers.closeAll();
		entry.table.close();
		for (const agent of agents) {
			agent.destroy();
		}

		for (const {server} of upstreams) {
			server.close();
		}

		assert.deepEqual(lengths, senders.map(({pieces}) => Array.from({length: requestsOfConnection}, () => String(pieces))));
	});
}
