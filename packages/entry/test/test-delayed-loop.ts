/**
 * Callers whose entry's event loop is blocked, as after a restart under load: for those that disconnect meanwhile nothing
 * is sent to upstreams once the loop resumes (GONE), and those that stay get their answers (LOST).
 */
import assert from 'node:assert/strict';
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {connect} from 'node:net';
import process from 'node:process';
import {test} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {
	type Behaviour, call, hasHead, requestText, whole, withEntry,
} from './scenario.js';

/** A caller in its own process: it connects, and after input on stdin sends a request and disconnects after a while. */
const callerProgram = `
const [port, text, stays] = process.argv.slice(1);
const socket = require('node:net').connect(Number(port), '127.0.0.1', () => console.log('connected'));
socket.on('error', () => undefined);
process.stdin.once('data', () => {
	setTimeout(() => {
		socket.write(text);
		setTimeout(() => {
			socket.destroy();
		}, Number(stays));
	}, 50);
});
socket.on('close', () => process.exit());
`;

const blockedMilliseconds = 700;

function blockLoop(milliseconds: number): void {
	const until = performance.now() + milliseconds;
	while (performance.now() < until) {
		// Blocks the loop, as in a process that gets no processor time.
	}
}

const cases: ReadonlyArray<{readonly name: string; readonly text: string; readonly staysMilliseconds: number; readonly sent: number}> = [
	{
		name: 'a caller that has disconnected', text: requestText('/safe/x', 'late'), staysMilliseconds: 100, sent: 0,
	},
	{
		name: 'a caller with a body that has disconnected', text: requestText('/once/x', 'late', 'POST', 'booking'), staysMilliseconds: 100, sent: 0,
	},
	{
		name: 'a caller of a key that has disconnected', text: requestText('/keyed/x', 'late').replace('Deadline', 'Key: 7\r\nDeadline'), staysMilliseconds: 100, sent: 0,
	},
	{
		name: 'a caller that waits', text: requestText('/safe/x', 'late'), staysMilliseconds: 5000, sent: 1,
	},
];

for (const {name, text, staysMilliseconds, sent} of cases) {
	test(`delayed loop: ${name} has ${sent} requests forwarded`, async () => {
		await withEntry([whole], true, async ({port}, [upstream]) => {
			// Opens the connection to the upstream, so that the next request can be sent at once.
			await call(port, requestText(text.includes('/keyed/') ? '/keyed/x' : '/safe/x', 'first').replace('Deadline', 'Key: 7\r\nDeadline'), hasHead);
			const caller = spawn(process.execPath, ['-e', callerProgram, String(port), text, String(staysMilliseconds)]);
			await once(caller.stdout, 'data');
			await pause(50);
			caller.stdin.write('go\n');
			await pause(10);
			blockLoop(blockedMilliseconds);
			await pause(300);
			caller.kill();
			assert.deepEqual(upstream!.requests.map(({identifier}) => identifier), ['first', ...Array.from({length: sent}, () => 'late')]);
		});
	});
}

const rounds = 4;
const callersOfRound = 8;
const slowAnswerMilliseconds = 50;
const blockedAtUpstreamMilliseconds = 400;
const betweenPiecesMilliseconds = 2;
const arrivalMilliseconds = 2000;

const answerLater: Behaviour = (socket, request) => {
	setTimeout(() => {
		whole(socket, request, 0);
	}, slowAnswerMilliseconds);
};

const order = (identifier: string, fields: string): string => `POST /once/x HTTP/1.1\r\nHost: a.example\r\nRequest: ${identifier}\r\nDeadline: 5000\r\n${fields}\r\n`;

const bodyCases: ReadonlyArray<{readonly name: string; readonly pieces: (identifier: string) => readonly string[]}> = [
	{name: 'short bodies', pieces: identifier => [`${order(identifier, 'Content-Length: 11\r\n')}one satchel`]},
	{name: 'bodies of a few pieces', pieces: identifier => [order(identifier, 'Transfer-Encoding: chunked\r\n'), '3\r\none\r\n', '8\r\n satchel\r\n', '0\r\n\r\n']},
];

async function sendInPieces(port: number, pieces: readonly string[]): Promise<string> {
	const socket = connect(port, '127.0.0.1');
	socket.on('error', () => undefined);
	for (const piece of pieces) {
		socket.write(piece);
		await pause(betweenPiecesMilliseconds);
	}

	const [answer] = await Promise.race([once(socket, 'data'), once(socket, 'close')]) as [unknown];
	socket.destroy();
	return String(answer);
}

/** Guards against connections that close because the loop is late, though what they sent isn't why (LOST). */
for (const {name, pieces} of bodyCases) {
	test(`delayed loop: requests with ${name} that were forwarded are all answered`, async () => {
		const answers: string[] = [];
		for (let round = 0; round < rounds; round += 1) {
			await withEntry([answerLater, answerLater, answerLater], true, async ({port}, upstreams) => {
				const sent = Array.from({length: callersOfRound}, async (_, position) => sendInPieces(port, pieces(`${position}`)));
				const forwarded = () => upstreams.reduce((sum, {requests}) => sum + requests.length, 0);
				for (let waited = 0; waited < arrivalMilliseconds && forwarded() < callersOfRound; waited += 1) {
					await pause(1);
				}

				blockLoop(blockedAtUpstreamMilliseconds);
				answers.push(...await Promise.all(sent));
			});
		}

		const expected = Array.from({length: rounds * callersOfRound}, (_, position) => `for ${position % callersOfRound}`);
		assert.deepEqual(answers.map(answer => answer.split('\r\n\r\n').at(-1)), expected);
	});
}
