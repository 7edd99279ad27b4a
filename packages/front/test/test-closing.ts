/**
 * Callers keep using their connections while a server closes and its event loop
 * is repeatedly blocked: each request that was sent must be answered. A connection
 * whose request has arrived but isn't read yet looks idle and may be closed.
 */
import assert from 'node:assert/strict';
import {type Buffer} from 'node:buffer';
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import {test} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {startCallerServer} from '@dogwooddeck/front/caller-server';

/**
 * The callers, which run in a separate process. On a single connection, each sends a
 * request, waits for the response, pauses and sends the next one, until a response has
 * `connection: close`. Counts the requests whose connection closed without a response.
 */
const callersProgram = `
const [port, callers, pauseMilliseconds] = process.argv.slice(1).map(Number);
const counts = {answered: 0, unanswered: 0};
let open = callers;
for (let caller = 0; caller < callers; caller += 1) {
	const socket = require('node:net').connect(port, '127.0.0.1');
	let waiting = false;
	let serverCloses = false;
	const send = () => {
		if (!serverCloses && !socket.destroyed) {
			waiting = true;
			socket.write('GET /x HTTP/1.1\\r\\nHost: a\\r\\n\\r\\n');
		}
	};
	socket.on('connect', send);
	socket.on('data', bytes => {
		waiting = false;
		counts.answered += 1;
		serverCloses = /connection: close/i.test(bytes.toString());
		if (!serverCloses) {
			setTimeout(send, pauseMilliseconds);
		}
	});
	socket.on('error', () => undefined);
	socket.on('close', () => {
		counts.unanswered += waiting ? 1 : 0;
		open -= 1;
		if (open === 0) {
			console.log(JSON.stringify(counts));
			process.exit();
		}
	});
}
console.error('started');
`;

function blockEventLoop(milliseconds: number): void {
	const until = performance.now() + milliseconds;
	while (performance.now() < until) {
		// Blocks the event loop, as in a process that gets no CPU time.
	}
}

const cases: ReadonlyArray<{readonly name: string; readonly callers: number; readonly pauseMilliseconds: number; readonly blockedMilliseconds: number}> = [
	{
		name: 'no event-loop delay', callers: 40, pauseMilliseconds: 20, blockedMilliseconds: 0,
	},
	{
		name: 'event-loop delay', callers: 40, pauseMilliseconds: 20, blockedMilliseconds: 120,
	},
	{
		name: 'long event-loop delay', callers: 40, pauseMilliseconds: 100, blockedMilliseconds: 300,
	},
];

for (const {
	name, callers, pauseMilliseconds, blockedMilliseconds,
} of cases) {
	test(`closing: every request is answered, ${name}`, async () => {
		let isStopping = false;
		const server = await startCallerServer('127.0.0.1:0', (_request, response) => {
			response.shouldKeepAlive &&= !isStopping;
			response.end('answer');
		});
		assert.ok(server.isOk);
		const port = server.value.address.split(':')[1]!;
		const program = spawn(process.execPath, ['-e', callersProgram, port, String(callers), String(pauseMilliseconds)]);
		const output = once(program.stdout, 'data') as Promise<[Buffer]>;
		await once(program.stderr, 'data');
		await pause(300);
		const blockingTimer = setInterval(() => {
			blockEventLoop(blockedMilliseconds);
		}, 10);
		await pause(blockedMilliseconds);
		isStopping = true;
		await server.value.close();
		clearInterval(blockingTimer);
		const [counts] = await output;
		const {answered, unanswered} = JSON.parse(counts.toString()) as {readonly answered: number; readonly unanswered: number};
		assert.ok(answered > callers);
		assert.equal(unanswered, 0);
	});
}
