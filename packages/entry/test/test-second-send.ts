/**
 * Requests that are sent to a second upstream while the first one works.
 */
import assert from 'node:assert/strict';
import {connect, type Socket} from 'node:net';
import {test} from 'node:test';
import {pause} from '@dogwooddeck/clock/pause';
import {createRetryBudget} from '@dogwooddeck/routing/budget';
import {emptyDirectory} from '@dogwooddeck/directory/state';
import {SecondSends, type SecondSendSettings, SecondSendVerdict} from '@dogwooddeck/gateway/second-send';
import {UpstreamLoad} from '@dogwooddeck/gateway/upstream-load';
import {
	answer, type Behaviour, call, requestText, settings as entrySettings, type Upstream, whole, withEntry,
} from './scenario.js';
import {recordFirstAttempt, ServiceTable, tryRecordRetry} from '@dogwooddeck/entry/service-table';

const settings: SecondSendSettings = {
	share: 0.1, burst: 2, minimumDelayMilliseconds: 30, otherRegions: false,
};

/** The latency of earlier answers. */
const usualMilliseconds = 20;
const answersSoFar = 30;

/** Answers after some time, unless the connection was closed. */
const after = (milliseconds: number, behaviour: Behaviour): Behaviour => (socket, request, received) => {
	setTimeout(() => {
		if (!socket.destroyed) {
			behaviour(socket, request, received);
		}
	}, milliseconds);
};

const named = (name: string): Behaviour => (socket, request) => {
	answer(socket, request, name);
};

const failsWith = (status: number, headers = ''): Behaviour => (socket, {identifier}) => {
	socket.write(`HTTP/1.1 ${status} Failed\r\nRequest: ${identifier}\r\n${headers}Content-Length: 0\r\n\r\n`);
};

const sheds = failsWith(503, 'Not-Run: 1\r\n');

const resets: Behaviour = socket => {
	socket.resetAndDestroy();
};

const isCut: Behaviour = (socket, {identifier}) => {
	socket.end(`HTTP/1.1 200 OK\r\nRequest: ${identifier}\r\nStamp: s\r\nContent-Length: 9\r\n\r\ncut`);
};

/** Sends the head at once, and the body after some time. */
const slowBody = (milliseconds: number): Behaviour => (socket: Socket, {identifier}) => {
	socket.write(`HTTP/1.1 200 OK\r\nRequest: ${identifier}\r\nStamp: s\r\nContent-Length: 5\r\n\r\n`);
	setTimeout(() => socket.write('first'), milliseconds);
};

const longBody = 'x'.repeat(300_000);

type Case = {
	readonly name: string;
	readonly first: Behaviour;
	readonly second: Behaviour;
	readonly path?: string;
	readonly isOff?: boolean;
	/** Changes the entry's state before the request. */
	readonly prepare?: (seconds: SecondSends) => void;
	readonly status: number;
	readonly body?: string;
	/** The requests that each upstream got. */
	readonly sent: readonly [number, number];
	/** The connections that were closed to each. */
	readonly closed?: readonly [number, number];
};

const cases: readonly Case[] = [
	{
		name: 'the second upstream answers first, and the first one is cancelled', first: after(500, named('first')), second: named('second'), status: 200, body: 'second', sent: [1, 1], closed: [1, 0],
	},
	{
		name: 'the first upstream answers first, and the second one is cancelled', first: after(150, named('first')), second: after(500, named('second')), status: 200, body: 'first', sent: [1, 1], closed: [0, 1],
	},
	{
		name: 'the first upstream fails while the second one works', first: after(100, resets), second: after(150, named('second')), status: 200, body: 'second', sent: [1, 1],
	},
	{
		name: 'the second upstream fails while the first one works', first: after(200, named('first')), second: resets, status: 200, body: 'first', sent: [1, 1],
	},
	{
		name: 'the second upstream refuses while the first one works', first: after(200, named('first')), second: sheds, status: 200, body: 'first', sent: [1, 1],
	},
	{
		name: 'the first answer is cut while the second upstream works', first: after(100, isCut), second: after(150, named('second')), status: 200, body: 'second', sent: [1, 1],
	},
	{
		name: 'both fail: no third attempt, and no promise that the request did not run', first: after(150, resets), second: after(50, resets), status: 502, sent: [1, 1],
	},
	{
		name: 'the first fails and the second refuses: no promise either', first: after(60, resets), second: after(100, sheds), status: 200, body: 'second try', sent: [1, 2],
	},
	{
		name: 'a long answer of the second upstream is forwarded whole', first: after(200, named('first')), second: named(longBody), status: 200, body: longBody, sent: [1, 1], closed: [1, 0],
	},
	{
		name: 'the answer comes before a second send is due', first: named('first'), second: named('second'), status: 200, body: 'first', sent: [1, 0],
	},
	{
		name: 'the head of an answer has come', first: slowBody(200), second: named('second'), status: 200, body: 'first', sent: [1, 0], closed: [0, 0],
	},
	{
		name: 'not idempotent', first: after(200, named('first')), second: named('second'), path: '/once/x', status: 200, body: 'first', sent: [1, 0],
	},
	{
		name: 'large answers', first: after(200, named('first')), second: named('second'), path: '/large/x', status: 200, body: 'first', sent: [1, 0],
	},
	{
		name: 'a key has one holder', first: after(200, named('first')), second: named('second'), path: '/keyed/x', status: 200, body: 'first', sent: [1, 0],
	},
	{
		name: 'off', isOff: true, first: after(200, named('first')), second: named('second'), status: 200, body: 'first', sent: [1, 0], closed: [0, 0],
	},
	{
		name: 'no room lately', prepare(seconds) {
			seconds.recordScarcity(performance.now());
		}, first: after(200, named('first')), second: named('second'), status: 200, body: 'first', sent: [1, 0],
	},
	{
		name: 'the share is spent', prepare(seconds) {
			seconds.recordSend();
			seconds.recordSend();
		}, first: after(200, named('first')), second: named('second'), status: 200, body: 'first', sent: [1, 0],
	},
];

function secondSends(): SecondSends {
	const seconds = new SecondSends(settings);
	seconds.divide(1, settings.burst);
	for (let number = 0; number < answersSoFar; number += 1) {
		seconds.recordAnswer(usualMilliseconds);
		seconds.recordRequest(1);
	}

	return seconds;
}

const isWhole = (received: string): boolean => {
	const length = /content-length: (\d+)/iv.exec(received)?.[1];
	return length !== undefined && received.slice(received.indexOf('\r\n\r\n') + 4).length >= Number(length);
};

const settleMilliseconds = 50;
const deadlineOf = ({requests}: Upstream): number => Number(/^deadline: (\d+)$/imv.exec(requests[0]!.head)?.[1]);

for (const {
	name, first, second, path = '/safe/x', isOff = false, prepare, status, body, sent, closed,
} of cases) {
	test(`second send: ${name}`, async () => {
		const others: Behaviour = (socket, request, received) => {
			(received === 1 ? second : named('second try'))(socket, request, received);
		};

		await withEntry([first, others], true, async ({port, table}, upstreams) => {
			const service = table.service(path.startsWith('/keyed') ? 'k' : 's');
			service.secondSends = isOff ? undefined : secondSends();
			prepare?.(service.secondSends!);
			const text = requestText(path, 'a').replace('Deadline', 'Key: 7\r\nDeadline');
			const received = await call(port, text, isWhole);
			await pause(settleMilliseconds);
			assert.match(received, new RegExp(`^HTTP/1.1 ${status} `, 'v'));
			assert.equal(received.split('HTTP/1.1 ').length, 2, 'answers');
			assert.equal(body ?? received.slice(received.indexOf('\r\n\r\n') + 4), received.slice(received.indexOf('\r\n\r\n') + 4));
			assert.deepEqual(upstreams.map(({requests}) => requests.length), sent);
			assert.deepEqual(closed ?? [], closed === undefined ? [] : upstreams.map(upstream => upstream.closed));
			assert.ok(sent[1] === 0 || deadlineOf(upstreams[1]!) < deadlineOf(upstreams[0]!), 'the second send has less time');
			for (const {load} of service.upstreams) {
				assert.equal(load.inFlight, 0);
			}
		});
	});
}

test('second send: a caller that leaves ends both', async () => {
	await withEntry([after(500, whole), after(500, whole)], true, async ({port, table}, upstreams) => {
		table.service('s').secondSends = secondSends();
		const caller = connect(port, '127.0.0.1');
		caller.write(requestText('/safe/x', 'a'));
		await pause(150);
		assert.deepEqual(upstreams.map(({requests}) => requests.length), [1, 1]);
		caller.destroy();
		await pause(settleMilliseconds);
		assert.deepEqual(upstreams.map(({closed}) => closed), [1, 1]);
	});
});

test('second send: what an upstream that was overtaken took teaches its load, and is no failure', async () => {
	await withEntry([after(500, whole), whole], true, async ({port, table}) => {
		const service = table.service('s');
		service.secondSends = secondSends();
		service.budget = createRetryBudget(0.15, 3);
		await call(port, requestText('/safe/x', 'a'), isWhole);
		const [{load: slow}, {load: quick}] = service.upstreams as [typeof service.upstreams[number], typeof service.upstreams[number]];
		assert.equal(slow.failureShare, 0);
		assert.ok(slow.isMeasured ? slow.latency > quick.latency : slow.latency >= 60, `${slow.latency}`);
		assert.equal(service.budget.balance, 3, 'retries of failed requests are left');
	});
});

const budgetCases: ReadonlyArray<{readonly name: string; readonly entries: number; readonly slack: number; readonly requests: number; readonly most: number}> = [
	{
		name: 'many requests', entries: 9, slack: 58, requests: 2000, most: (9 * 2000 * 0.1) + 9,
	},
	{
		name: 'few requests of many entries', entries: 67, slack: 166, requests: 60, most: (67 * 60 * 0.1) + 67,
	},
	{
		name: 'a slack that does not cover one for each entry', entries: 67, slack: 60, requests: 200, most: 0,
	},
];

for (const {name, entries, slack, requests, most} of budgetCases) {
	test(`second send: with retries within the budget of all instances: ${name}`, () => {
		let retries = 0;
		let seconds = 0;
		let secondsWhileFailing = 0;
		for (let entry = 0; entry < entries; entry += 1) {
			const table = new ServiceTable({...entrySettings, retries: {ratio: 0.2, slack}, secondSends: settings}, () => 0);
			const service = table.service('s');
			table.update({...emptyDirectory, applied: 1}, entries);
			const load = new UpstreamLoad(3);
			for (let request = 0; request < requests; request += 1) {
				recordFirstAttempt(service);
				service.secondSends!.recordAnswer(usualMilliseconds);
				const isFailing = request >= requests / 2;
				const verdict = service.secondSends!.judge({
					hasHead: false, attemptsLeft: 1, waiting: 0, loads: [load], alternative: load, left: 1000, retries: service.budget,
				}, 0);
				if (verdict === SecondSendVerdict.send) {
					service.secondSends!.recordSend();
					seconds += 1;
					secondsWhileFailing += isFailing ? 1 : 0;
				}

				retries += isFailing && tryRecordRetry(service) ? 1 : 0;
			}
		}

		assert.ok(seconds <= most, `${seconds} second sends of ${most}`);
		assert.ok(most === 0 || seconds > 0);
		assert.ok(secondsWhileFailing + retries <= (entries * requests / 2 * 0.2) + slack, `${secondsWhileFailing} second sends and ${retries} retries`);
	});
}
