import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {type AddressInfo, createServer, type Socket} from 'node:net';
import {test} from 'node:test';
import {AttemptObservation} from '@dogwooddeck/routing/outcome';
import {ReadThrottle} from '@dogwooddeck/loop-share/read-throttle';
import {specificationOf} from './scenario.js';
import {type AttemptResult} from '@dogwooddeck/entry/attempt';
import {UpstreamPool} from '@dogwooddeck/entry/upstream-pool';

type Case = {
	readonly name: string;
	/** Answers on the connection after the upstream has received the request. */
	readonly answer: (socket: Socket) => void;
	readonly observation: AttemptObservation;
	readonly body?: string;
	/** Whether the answer is so long that it is streamed. */
	readonly isStreamed?: boolean;
};

const head = 'HTTP/1.1 200 OK\r\nIdentifier: a\r\n';

const resetDelayMilliseconds = 20;
/** How long a caller takes to read what fills its buffer. */
const readDelayMilliseconds = 300;
const longBody = 'x'.repeat(200_000);

function later(action: () => void): void {
	setTimeout(action, resetDelayMilliseconds);
}

const cases: readonly Case[] = [
	{
		name: 'an answer with a length',
		answer: socket => socket.write(`${head}Content-Length: 5\r\n\r\nwhole`),
		observation: AttemptObservation.wholeAnswer,
		body: 'whole',
	},
	{
		name: 'a long answer that its caller reads slowly: the time until it could be read counts',
		answer: socket => socket.write(`${head}Content-Length: ${longBody.length}\r\n\r\n${longBody}`),
		observation: AttemptObservation.wholeAnswer,
		isStreamed: true,
	},
	{
		name: 'an answer without a length whose connection ends',
		answer: socket => socket.end(`${head}\r\nwhole`),
		observation: AttemptObservation.wholeAnswer,
		body: 'whole',
	},
	{
		name: 'an answer without a length whose connection is reset',
		answer(socket) {
			socket.write(`${head}\r\nhalf`);
			later(() => {
				socket.resetAndDestroy();
			});
		},
		observation: AttemptObservation.cutAnswer,
	},
	{
		name: 'an answer without a length and with "Connection: close" that is reset',
		answer(socket) {
			socket.write(`${head}Connection: close\r\n\r\nhalf`);
			later(() => {
				socket.resetAndDestroy();
			});
		},
		observation: AttemptObservation.cutAnswer,
	},
	{
		name: 'an answer without a length that is reset at once',
		answer(socket) {
			socket.write(`${head}\r\nhalf`, () => {
				socket.resetAndDestroy();
			});
		},
		observation: AttemptObservation.cutAnswer,
	},
	{
		name: 'an answer that ends before its length',
		answer: socket => socket.end(`${head}Content-Length: 50\r\n\r\nhalf`),
		observation: AttemptObservation.cutAnswer,
	},
	{
		name: 'an answer to another request',
		answer: socket => socket.write('HTTP/1.1 200 OK\r\nIdentifier: b\r\nContent-Length: 5\r\n\r\nother'),
		observation: AttemptObservation.foreignAnswer,
	},
	{
		name: 'a refusal',
		answer: socket => socket.write('HTTP/1.1 503 Full\r\nNot-Run: 1\r\nIdentifier: a\r\nContent-Length: 0\r\n\r\n'),
		observation: AttemptObservation.shed,
	},
];

for (const {
	name, answer, observation, body, isStreamed = false,
} of cases) {
	test(`attempt: ${name}`, async () => {
		const server = createServer(socket => {
			socket.on('error', () => {
				socket.destroy();
			});
			socket.once('data', () => {
				answer(socket);
			});
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		const pool = new UpstreamPool(`127.0.0.1:${(server.address() as AddressInfo).port}`, {connectMilliseconds: 500, idleMilliseconds: 500, throttle: new ReadThrottle()});
		const result = await new Promise<AttemptResult>(resolve => {
			const attempt = pool.send(specificationOf({
				timeoutMilliseconds: 2000,
				streamedAnswer: {
					begin() {
						assert.ok(isStreamed, 'the answer is short');
					},
					write() {
						setTimeout(() => {
							attempt.resume();
						}, readDelayMilliseconds);
						return false;
					},
				},
				onEnd: resolve,
			}));
		});
		pool.close();
		server.close();
		assert.equal(result.observation, observation);
		assert.ok(result.milliseconds < readDelayMilliseconds, `${result.milliseconds} ms`);
		assert.equal(result.answer === undefined ? undefined : Buffer.from(result.answer.body).toString(), body);
	});
}
