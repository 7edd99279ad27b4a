/**
 * Callers that disconnect while the entry's event loop is blocked, as after a restart
 * under load: nothing is sent to upstreams for them once the loop resumes (GONE).
 */
import assert from 'node:assert/strict';
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import {test} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {
	call, hasHead, requestText, whole, withEntry,
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
