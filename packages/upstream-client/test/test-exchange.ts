import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {test} from 'node:test';
import {AttemptObservation} from '@dogwooddeck/routing/outcome';
import {Abandoned, type AnswerSink, Exchange} from '@dogwooddeck/upstream-client/exchange';

type RecordedCalls = {
	readonly heads: number[];
	readonly ends: Array<[AttemptObservation, number | undefined]>;
	chunks: number;
	aborts: number;
};

type Step = (exchange: Exchange, calls: RecordedCalls) => void;

function recordingSink(calls: RecordedCalls, mayStart: boolean): AnswerSink {
	return {
		beforeFirstByte: () => mayStart,
		onHead(status) {
			calls.heads.push(status);
		},
		onChunk() {
			calls.chunks++;
			return true;
		},
		onEnd(observation, retryAfter) {
			calls.ends.push([observation, retryAfter]);
		},
	};
}

const connect: Step = (exchange, calls) => {
	exchange.onConnect(() => {
		calls.aborts++;
	});
};

function head(status: number, ...fields: readonly string[]): Step {
	return exchange => {
		exchange.onHeaders(status, fields.map(field => Buffer.from(field)));
	};
}

const chunk: Step = exchange => {
	exchange.onData(Buffer.from('part'));
};

const largeChunk: Step = exchange => {
	exchange.onData(Buffer.alloc(100_000));
};

const complete: Step = exchange => {
	exchange.onComplete();
};

function fail(code: string): Step {
	return exchange => {
		exchange.onError({name: 'Error', message: code, code});
	};
}

function abandon(why: Abandoned): Step {
	return exchange => {
		exchange.abandon(why);
	};
}

/** `undici` may call `onConnect` again; the exchange refuses by throwing. */
const refusedConnect: Step = (exchange, calls) => {
	assert.throws(() => {
		connect(exchange, calls);
	});
};

type Case = {
	readonly name: string;
	readonly steps: readonly Step[];
	readonly seen: AttemptObservation;
	readonly method?: string;
	readonly mayStart?: boolean;
	readonly heads?: readonly number[];
	readonly aborts?: number;
	readonly retryAfter?: number;
};

const length = ['Content-Length', '4'];
const ok = head(200, ...length);

const cases: readonly Case[] = [
	{
		name: 'a complete answer', steps: [connect, ok, chunk, complete], seen: AttemptObservation.wholeAnswer, heads: [200],
	},
	{
		name: 'an informational head precedes the answer', steps: [connect, head(103), ok, chunk, complete], seen: AttemptObservation.wholeAnswer, heads: [200],
	},
	{
		name: 'a chunked answer', steps: [connect, head(200, 'Transfer-Encoding', 'gzip, chunked'), chunk, complete], seen: AttemptObservation.wholeAnswer, heads: [200],
	},
	{
		name: 'a transfer coding other than chunked', steps: [connect, head(200, 'Transfer-Encoding', 'gzip'), chunk], seen: AttemptObservation.unboundedAnswer, aborts: 1,
	},
	{
		name: 'neither a length nor chunked coding', steps: [connect, head(200), chunk, complete], seen: AttemptObservation.unboundedAnswer, aborts: 1,
	},
	{
		name: 'no length in an answer to HEAD', steps: [connect, head(200), complete], seen: AttemptObservation.wholeAnswer, method: 'HEAD', heads: [200],
	},
	{
		name: 'no length in an answer without content', steps: [connect, head(204), complete], seen: AttemptObservation.wholeAnswer, heads: [204],
	},
	{
		name: 'a body that ends early', steps: [connect, ok, fail('UND_ERR_SOCKET')], seen: AttemptObservation.cutAnswer, heads: [200],
	},
	{
		name: 'a status that is none', steps: [connect, head(0, ...length), chunk, complete], seen: AttemptObservation.closedAfterFirstByte,
	},
	{
		name: 'a status below the first', steps: [connect, head(99, ...length), chunk, complete], seen: AttemptObservation.closedAfterFirstByte,
	},
	{name: 'an end before the head', steps: [connect, fail('ECONNRESET')], seen: AttemptObservation.closedAfterFirstByte},
	{name: 'no connection', steps: [fail('ECONNREFUSED')], seen: AttemptObservation.refusedConnection},
	{name: 'no connection in time', steps: [fail('UND_ERR_CONNECT_TIMEOUT')], seen: AttemptObservation.refusedConnection},
	{name: 'an end before the first byte', steps: [fail('ECONNRESET')], seen: AttemptObservation.closedBeforeFirstByte},
	{name: 'a head that can\'t be sent', steps: [fail('UND_ERR_INVALID_ARG')], seen: AttemptObservation.unsendable},
	{
		name: 'a shed answer with Retry-After', steps: [connect, head(503, 'Retry-After', '2', 'Content-Length', '0'), complete], seen: AttemptObservation.shed, retryAfter: 2000,
	},
	{
		name: 'a shed answer whose body does not end', steps: [connect, head(503, ...length), chunk, largeChunk], seen: AttemptObservation.shed, aborts: 1,
	},
	{
		name: 'a lease that expired', steps: [refusedConnect], seen: AttemptObservation.leaseLost, mayStart: false,
	},
	{name: 'a retry by the library', steps: [connect, refusedConnect, fail('UND_ERR_SOCKET')], seen: AttemptObservation.closedAfterFirstByte},
	{name: 'cancelled while it waits for a connection', steps: [abandon(Abandoned.callerGone), refusedConnect], seen: AttemptObservation.cancelledBeforeFirstByte},
	{
		name: 'cancelled after the first byte', steps: [connect, abandon(Abandoned.callerGone), fail('UND_ERR_ABORTED')], seen: AttemptObservation.cancelledAfterFirstByte, aborts: 1,
	},
	{name: 'the deadline before the first byte', steps: [abandon(Abandoned.deadlinePassed), refusedConnect], seen: AttemptObservation.deadlinePassedBeforeFirstByte},
	{
		name: 'an answer after the deadline', steps: [connect, abandon(Abandoned.deadlinePassed), ok, chunk, complete], seen: AttemptObservation.deadlinePassedAfterFirstByte, aborts: 1,
	},
];

for (const {name, steps, seen, method = 'GET', mayStart = true, heads = [], aborts = 0, retryAfter} of cases) {
	test(`exchange: ${name}`, () => {
		const calls: RecordedCalls = {
			heads: [], ends: [], chunks: 0, aborts: 0,
		};
		const exchange = new Exchange(recordingSink(calls, mayStart), method, {isNotRun: status => status === 503}, 1000);
		for (const step of steps) {
			step(exchange, calls);
		}

		exchange.abandon(Abandoned.callerGone);
		exchange.onError({name: 'Error', message: 'closed', code: 'UND_ERR_CLOSED'});
		assert.deepEqual(calls.ends, [[seen, retryAfter]]);
		assert.deepEqual(calls.heads, heads);
		assert.equal(calls.aborts, aborts);
	});
}

test('exchange: its own timer ends it at the deadline', t => {
	t.mock.timers.enable({apis: ['setTimeout']});
	const calls: RecordedCalls = {
		heads: [], ends: [], chunks: 0, aborts: 0,
	};
	const exchange = new Exchange(recordingSink(calls, true), 'GET', {isNotRun: () => false}, 100);
	connect(exchange, calls);
	t.mock.timers.tick(99);
	assert.deepEqual(calls.ends, []);
	t.mock.timers.tick(1);
	assert.deepEqual([calls.ends, calls.aborts > 0], [[[AttemptObservation.deadlinePassedAfterFirstByte, undefined]], true]);
});
