/**
 * Upstreams whose answers have no status that ends a request: no caller receives such an answer. A request that may
 * be sent again is, on another connection; of any other the caller is told that its outcome is unknown (MIXED, ONCE).
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	type Behaviour, call, hasHead, requestText, whole, withEntry,
} from './scenario.js';

type Case = {
	readonly name: string;
	readonly statusLine: string;
	/** What follows the head. */
	readonly rest?: string;
	readonly ends?: true;
};

const cases: readonly Case[] = [
	{name: '000', statusLine: 'HTTP/1.1 000 None'},
	{name: '000 without words', statusLine: 'HTTP/1.1 000'},
	{name: '001', statusLine: 'HTTP/1.1 001 None'},
	{name: '099', statusLine: 'HTTP/1.1 099 None'},
	{name: '1000', statusLine: 'HTTP/1.1 1000 None'},
	{name: '20', statusLine: 'HTTP/1.1 20 OK'},
	{name: 'letters', statusLine: 'HTTP/1.1 abc OK'},
	{name: 'a sign', statusLine: 'HTTP/1.1 -20 OK'},
	{name: 'absent', statusLine: 'HTTP/1.1 '},
	{name: 'absent, with words', statusLine: 'HTTP/1.1 OK'},
	{name: 'interim, and the end', statusLine: 'HTTP/1.1 103 Early Hints', ends: true},
	{
		name: 'interim, with a body', statusLine: 'HTTP/1.1 103 Early Hints', rest: 'body', ends: true,
	},
	{name: '100 that nobody waits for, and the end', statusLine: 'HTTP/1.1 100 Continue', ends: true},
	{name: '101 that nobody asked for', statusLine: 'HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: h2c'},
	{name: '199, and the end', statusLine: 'HTTP/1.1 199 None', ends: true},
	{name: '000 behind an interim head', statusLine: 'HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 None'},
	{name: '000 that says the request did not run', statusLine: 'HTTP/1.1 000 None\r\nNot-Run: 1'},
];

/** Answers the request numbered `position` with the case's status, and all others whole. */
function answering({statusLine, rest = '', ends}: Case, position: number): Behaviour {
	return (socket, request, received) => {
		if (received !== position) {
			whole(socket, request, received);
			return;
		}

		socket.write(`${statusLine}\r\nRequest: ${request.identifier}\r\nStamp: s\r\nContent-Length: ${rest.length}\r\n\r\n${rest}`);
		if (ends === true) {
			socket.end();
		}
	};
}

const kinds = [
	{
		kind: 'a request that may be sent again', text: requestText('/safe/x', 'a'), answer: /^HTTP\/1\.1 200 [\s\S]*for a$/v, requests: 2,
	},
	{
		kind: 'a request that may run once', text: requestText('/once/x', 'a', 'POST', 'booking'), answer: /^HTTP\/1\.1 502 /v, requests: 1,
	},
] as const;

for (const one of cases) {
	for (const {
		kind, text, answer, requests,
	} of kinds) {
		for (const before of [0, 1]) {
			test(`answer status: ${one.name}: ${kind}, after ${before} on its connection`, async () => {
				await withEntry([answering(one, before + 1)], true, async ({port}, [upstream]) => {
					if (before > 0) {
						await call(port, requestText('/safe/x', 'first'), received => received.endsWith('for first'));
					}

					assert.match(await call(port, text, received => hasHead(received) && (received.startsWith('HTTP/1.1 5') || received.endsWith('for a'))), answer);
					assert.equal(upstream!.requests.length, before + requests);
					assert.match(await call(port, requestText('/safe/x', 'next'), received => received.endsWith('for next')), /^HTTP\/1\.1 200 /v);
					assert.equal(upstream!.closed, 1);
				});
			});
		}
	}
}
