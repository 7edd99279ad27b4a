/**
 * Requests of callers through an entry to upstreams, end to end.
 */
import assert from 'node:assert/strict';
import {connect, type Socket} from 'node:net';
import {test} from 'node:test';
import {
	answer, type Behaviour, call, directoryOf, hasHead, requestText, whole, withEntry,
} from './scenario.js';

const resets: Behaviour = socket => {
	socket.resetAndDestroy();
};

const refuses: Behaviour = (socket, {identifier}) => {
	socket.write(`HTTP/1.1 503 Full\r\nRequest: ${identifier}\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n`);
};

const misdirects: Behaviour = (socket, {identifier}) => {
	socket.write(`HTTP/1.1 421 Misdirected\r\nRequest: ${identifier}\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n`);
};

const firstMisdirects: Behaviour = (socket, request, received) => {
	(received === 1 ? misdirects : whole)(socket, request, received);
};

const firstResets: Behaviour = (socket, request, received) => {
	(received === 1 ? resets : whole)(socket, request, received);
};

const requestsOfSocket = new WeakMap<Socket, number>();

/** Returns how many requests a connection has carried, including this one. */
function countOn(socket: Socket): number {
	const count = (requestsOfSocket.get(socket) ?? 0) + 1;
	requestsOfSocket.set(socket, count);
	return count;
}

/** Refuses once, then repeats that refusal on the same connection in answer to the next request. */
const repeatsRefusal: Behaviour = (socket, request, received) => {
	(countOn(socket) > 1 || received === 1 ? refuses : whole)(socket, request, received);
};

/** Answers the first request whole, and later ones with a refusal without a request identifier, as if an earlier one were repeated. */
const refusesUnnamed: Behaviour = (socket, request, received) => {
	if (countOn(socket) === 1 && received === 1) {
		whole(socket, request, received);
	} else {
		socket.write('HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n');
	}
};

type Case = {readonly name: string; readonly upstreams: readonly Behaviour[]; readonly hasDirectory?: boolean; readonly text: string; readonly status: number; readonly sent: number; readonly says?: RegExp};

const cases: readonly Case[] = [
	{
		name: 'an answer is forwarded', upstreams: [whole], text: requestText('/safe/x?q=1', 'a'), status: 200, sent: 1, says: /for a$/v,
	},
	{
		name: 'a body is forwarded', upstreams: [(socket, request) => {
			answer(socket, request, request.body);
		}], text: requestText('/once/x', 'a', 'POST', 'booking'), status: 200, sent: 1, says: /booking$/v,
	},
	{
		name: 'before the directory is received the answer is 503', upstreams: [], hasDirectory: false, text: requestText('/safe/x', 'a'), status: 503, sent: 0, says: /retry-after: 0\.\d+/iv,
	},
	{
		name: 'no route', upstreams: [], text: requestText('/other/x', 'a'), status: 404, sent: 0,
	},
	{
		name: 'no upstream', upstreams: [], text: requestText('/safe/x', 'a'), status: 503, sent: 0, says: /retry-after: 0\.\d+/iv,
	},
	{
		name: 'an idempotent request is retried after a reset', upstreams: [firstResets], text: requestText('/safe/x', 'a'), status: 200, sent: 2,
	},
	{
		name: 'any other request is not, and is not reported as "not run"', upstreams: [firstResets], text: requestText('/once/x', 'a', 'POST', 'booking'), status: 502, sent: 1,
	},
	{
		name: 'a refused request is sent to another upstream', upstreams: [refuses, whole], text: requestText('/once/x', 'a', 'POST', 'booking'), status: 200, sent: 2,
	},
	{
		name: 'a request that all upstreams refuse did not run', upstreams: [refuses], text: requestText('/once/x', 'a', 'POST', 'booking'), status: 503, sent: 4, says: /retry-after: 0\.\d+/iv,
	},
	{
		name: 'a refusal that is repeated on its connection does not count for a later attempt', upstreams: [repeatsRefusal], text: requestText('/once/x', 'a', 'POST', 'booking'), status: 200, sent: 2,
	},
	{
		name: 'a refusal without a request identifier counts on a new connection', upstreams: [(socket, request, received) => {
			refusesUnnamed(socket, request, received + 1);
		}], text: requestText('/once/x', 'a', 'POST', 'booking'), status: 503, sent: 4,
	},
	{
		name: 'a holder that is notified of its keys a moment later gets the request again', upstreams: [firstMisdirects], text: requestText('/keyed/x', 'a').replace('Deadline', 'Key: 7\r\nDeadline'), status: 200, sent: 2,
	},
	{
		name: 'a holder that has lost its keys is not tried repeatedly', upstreams: [misdirects], text: requestText('/keyed/x', 'a').replace('Deadline', 'Key: 7\r\nDeadline'), status: 503, sent: 2,
	},
	{
		name: 'an answer to another request is not forwarded', upstreams: [socket => {
			socket.write('HTTP/1.1 200 OK\r\nRequest: other\r\nStamp: s\r\nContent-Length: 5\r\n\r\nother');
		}], text: requestText('/once/x', 'a', 'POST', 'booking'), status: 502, sent: 1,
	},
	{
		name: 'a request to an unresponsive upstream ends with its deadline', upstreams: [() => undefined], text: requestText('/once/x', 'a', 'POST', 'booking'), status: 504, sent: 1,
	},
];

for (const {name, upstreams: behaviours, hasDirectory = true, text, status, sent, says = /./v} of cases) {
	test(`requests: ${name}`, async () => {
		await withEntry(behaviours, hasDirectory, async ({port}, upstreams) => {
			const received = await call(port, text, hasHead);
			assert.equal(received.slice(9, 12), String(status));
			assert.match(received, says);
			const requests = upstreams.flatMap(upstream => upstream.requests);
			assert.equal(requests.length, sent);
			for (const {head} of requests) {
				assert.match(head, /^(?:GET|POST) \/(?:safe|once|keyed)\/x/v);
				assert.match(head, /^expected: u\d$/imv);
				assert.ok(Number(/^deadline: (\d+)$/imv.exec(head)?.[1]) <= 800);
			}
		});
	});
}

const maximumAfterDisconnectMilliseconds = 500;

test('requests: a caller that disconnects ends the work at the upstream', async () => {
	await withEntry([() => undefined], true, async ({port}, [upstream]) => {
		const socket = connect(port, '127.0.0.1');
		socket.write(requestText('/safe/x', 'a'));
		while (upstream!.requests.length === 0) {
			await new Promise(resolve => {
				setTimeout(resolve, 5);
			});
		}

		const leftAt = performance.now();
		socket.destroy();
		while (upstream!.closed === 0) {
			assert.ok(performance.now() - leftAt < maximumAfterDisconnectMilliseconds);
			await new Promise(resolve => {
				setTimeout(resolve, 5);
			});
		}
	});
});

test('requests: answers on one connection come in the order of the requests', async () => {
	const slowFirst: Behaviour = (socket, request) => {
		setTimeout(answer, request.identifier === 'a' ? 100 : 0, socket, request, `for ${request.identifier}`);
	};

	await withEntry([slowFirst, slowFirst], true, async ({port}) => {
		const received = await call(port, requestText('/safe/x', 'a') + requestText('/safe/x', 'b') + requestText('/safe/x', 'c'), text => text.endsWith('for c'));
		assert.deepEqual(received.match(/for [abc]/gv), ['for a', 'for b', 'for c']);
	});
});

test('requests: a refusal without a request identifier does not count on a connection that has carried others', async () => {
	await withEntry([refusesUnnamed], true, async ({port}, [upstream]) => {
		assert.match(await call(port, requestText('/once/x', 'a', 'POST', 'booking'), text => text.endsWith('for a')), /^HTTP\/1\.1 200/v);
		assert.match(await call(port, requestText('/once/x', 'b', 'POST', 'booking'), hasHead), /^HTTP\/1\.1 502/v);
		assert.equal(upstream!.requests.length, 2);
	});
});

test('requests: an upstream record with an invalid address does not stop the entry', async () => {
	await withEntry([whole], true, async ({port, table}, upstreams) => {
		const directory = directoryOf(upstreams);
		const odd = {...directory.upstreams.u0!, id: 'odd', address: '127.0.0.1:99999'};
		table.update({...directory, upstreams: {odd}}, 1);
		assert.match(await call(port, requestText('/once/x', 'a', 'POST', 'booking'), hasHead), /^HTTP\/1\.1 503/v);
		table.update(directory, 1);
		assert.match(await call(port, requestText('/once/x', 'b', 'POST', 'booking'), hasHead), /^HTTP\/1\.1 200/v);
	});
});

const keyed = requestText('/keyed/x', 'a').replace('Deadline', 'Key: 7\r\nDeadline');

const overloads: ReadonlyArray<{readonly name: string; readonly entries: number; readonly share: number; readonly draw: number; readonly status: number}> = [
	{
		name: 'beyond the fraction that its holder can process is refused at once', entries: 86, share: 0.3, draw: 0.4, status: 503,
	},
	{
		name: 'within that fraction is sent', entries: 86, share: 0.3, draw: 0.2, status: 200,
	},
	{
		name: 'for a holder with room is sent', entries: 86, share: 1, draw: 0.99, status: 200,
	},
	{
		name: 'is paced and not drawn for when few entries share the holder', entries: 9, share: 0.3, draw: 0.4, status: 200,
	},
];

for (const {
	name, entries, share, draw, status,
} of overloads) {
	test(`requests: one ${name}`, async () => {
		await withEntry([whole], true, async ({port}, [upstream]) => {
			const received = await call(port, keyed, hasHead);
			assert.equal(received.slice(9, 12), String(status));
			assert.equal(/retry-after: \d/iv.test(received), status === 503);
			assert.equal(upstream!.requests.length, status === 200 ? 1 : 0);
		}, {entryCount: () => entries, shareOf: () => share, random: () => draw});
	});
}
