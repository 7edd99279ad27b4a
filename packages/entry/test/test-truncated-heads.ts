/**
 * Upstreams that close a connection in the middle of an answer's head: no caller
 * receives an answer that looks whole (MIXED, ORDER).
 */
import assert from 'node:assert/strict';
import {type Socket} from 'node:net';
import {test} from 'node:test';
import {
	type Behaviour, call, hasHead, requestText, whole, withEntry,
} from './scenario.js';

type End = (socket: Socket) => void;

const ends: Readonly<Record<string, End>> = {
	ended(socket) {
		socket.end();
	},
	reset(socket) {
		// Lets the bytes arrive first: a reset discards unread data.
		setTimeout(() => {
			socket.resetAndDestroy();
		}, 5);
	},
};

const heads: ReadonlyArray<{readonly name: string; readonly head: (identifier: string) => string}> = [
	{name: 'with a length', head: identifier => `HTTP/1.1 200 OK\r\nRequest: ${identifier}\r\nStamp: s\r\nContent-Length: 4\r\n\r\n`},
	{name: 'with an empty body', head: identifier => `HTTP/1.1 200 OK\r\nRequest: ${identifier}\r\nStamp: s\r\nContent-Length: 0\r\n\r\n`},
	{name: 'in chunks', head: identifier => `HTTP/1.1 200 OK\r\nRequest: ${identifier}\r\nStamp: s\r\nTransfer-Encoding: chunked\r\n\r\n`},
	{name: 'that ends with its connection', head: identifier => `HTTP/1.1 200 OK\r\nRequest: ${identifier}\r\nStamp: s\r\nConnection: close\r\n\r\n`},
	{name: 'behind another head', head: identifier => `HTTP/1.1 103 Early Hints\r\nConnection: close\r\n\r\nHTTP/1.1 200 OK\r\nRequest: ${identifier}\r\nStamp: s\r\nContent-Length: 4\r\n\r\n`},
	{name: 'of a refusal', head: identifier => `HTTP/1.1 503 Full\r\nRequest: ${identifier}\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n`},
];

const positionStep = 7;

/** Answers the first `after` requests whole, and later ones with the head up to a position. */
function truncating(head: (identifier: string) => string, position: number, end: End, after: number): Behaviour {
	return (socket, request, received) => {
		if (received <= after) {
			whole(socket, request, received);
			return;
		}

		socket.write(head(request.identifier).slice(0, position), () => {
			end(socket);
		});
	};
}

/** Returns the positions at which a head is truncated. It is complete only with its empty line. */
function positionsOf(head: (identifier: string) => string): readonly number[] {
	const last = head('a').length - 1;
	return [...Array.from({length: Math.ceil(last / positionStep)}, (_, step) => step * positionStep), last - 2, last - 1, last];
}

for (const {name, head} of heads) {
	for (const [how, end] of Object.entries(ends)) {
		for (const after of [0, 1]) {
			test(`truncated heads: a head ${name} that is truncated and ${how} on a connection that has carried ${after} requests`, async () => {
				await Promise.all(positionsOf(head).map(async position => withEntry([truncating(head, position, end, after)], true, async ({port}, [upstream]) => {
					if (after > 0) {
						await call(port, requestText('/once/x', 'first', 'POST', 'booking'), hasHead);
					}

					const received = await call(port, requestText('/once/x', 'a', 'POST', 'booking'), hasHead);
					assert.match(received, /^HTTP\/1\.1 502 /v, `truncated at ${position}`);
					assert.equal(upstream!.requests.length, after + 1);
				})));
			});
		}
	}
}
