import assert from 'node:assert/strict';
import {once} from 'node:events';
import {get, type IncomingMessage} from 'node:http';
import {test, type TestContext} from 'node:test';
import {request} from 'undici';
import {Outcome} from '@dogwooddeck/model/outcome';
import {AttemptObservation} from '@dogwooddeck/routing/outcome';
import {Entry, type EntrySettings} from './entry.js';
import {Fault} from '@dogwooddeck/stand-in/fault';
import {startUpstream, type StandInUpstream} from '@dogwooddeck/stand-in/upstream';

type Met = {readonly status: number; readonly outcome: string | undefined; readonly body: string} | 'broken';

async function setUp(t: TestContext, settings: Partial<EntrySettings>): Promise<{readonly upstream: StandInUpstream; readonly entry: Entry}> {
	const upstream = await startUpstream({answerBytes: 200});
	const entry = await new Entry({
		upstreamAddress: () => upstream.address, deadlineMilliseconds: 400, idempotent: false, attempts: 1, ...settings,
	}).start();
	t.after(async () => {
		await entry.stop();
		await upstream.stop();
	});
	return {upstream, entry};
}

async function call(address: string, operation: string, method: 'GET' | 'POST' = 'POST'): Promise<Met> {
	try {
		const answer = await request(`http://${address}/verge/1`, {method, headers: {'stand-in-operation': operation}, body: method === 'POST' ? 'booking' : null});
		const body = await answer.body.text();
		return {status: answer.statusCode, outcome: answer.headers['dogwooddeck-outcome'] as string | undefined, body};
	} catch {
		return 'broken';
	}
}

type Case = {
	readonly fault: Fault;
	readonly status: number | 'broken';
	readonly outcome?: Outcome;
	readonly seen: readonly AttemptObservation[];
	readonly ran: number;
};

const cases: readonly Case[] = [
	{
		fault: Fault.none, status: 200, outcome: Outcome.ran, seen: [AttemptObservation.wholeAnswer], ran: 1,
	},
	{
		fault: Fault.refuse, status: 502, outcome: Outcome.notRun, seen: [AttemptObservation.refusedConnection], ran: 0,
	},
	{
		fault: Fault.shed, status: 503, outcome: Outcome.notRun, seen: [AttemptObservation.shed], ran: 0,
	},
	{
		fault: Fault.stall, status: 504, outcome: Outcome.unknown, seen: [AttemptObservation.deadlinePassedAfterFirstByte], ran: 0,
	},
	{
		fault: Fault.runAndStall, status: 504, outcome: Outcome.unknown, seen: [AttemptObservation.deadlinePassedAfterFirstByte], ran: 1,
	},
	{
		fault: Fault.resetBeforeRun, status: 502, outcome: Outcome.unknown, seen: [AttemptObservation.closedAfterFirstByte], ran: 0,
	},
	{
		fault: Fault.resetAfterRun, status: 502, outcome: Outcome.unknown, seen: [AttemptObservation.closedAfterFirstByte], ran: 1,
	},
	{
		fault: Fault.closeAfterRun, status: 502, outcome: Outcome.unknown, seen: [AttemptObservation.closedAfterFirstByte], ran: 1,
	},
	{
		fault: Fault.cutLength, status: 'broken', seen: [AttemptObservation.cutAnswer], ran: 1,
	},
	{
		fault: Fault.cutChunks, status: 'broken', seen: [AttemptObservation.cutAnswer], ran: 1,
	},
	{
		fault: Fault.late, status: 200, outcome: Outcome.ran, seen: [AttemptObservation.wholeAnswer], ran: 1,
	},
	{
		fault: Fault.unbounded, status: 502, outcome: Outcome.unknown, seen: [AttemptObservation.unboundedAnswer], ran: 1,
	},
	{
		fault: Fault.unboundedCut, status: 502, outcome: Outcome.unknown, seen: [AttemptObservation.unboundedAnswer], ran: 1,
	},
	{
		fault: Fault.closeIdle, status: 200, outcome: Outcome.ran, seen: [AttemptObservation.wholeAnswer], ran: 1,
	},
];

for (const {fault, status, outcome, seen, ran} of cases) {
	for (const method of ['GET', 'POST'] as const) {
		test(`upstream client: ${method} met by ${fault}`, async t => {
			const {upstream, entry} = await setUp(t, {});
			await upstream.order({fault, delayMilliseconds: 30});
			const met = await call(entry.address, 'one', method);
			assert.equal(met === 'broken' ? met : met.status, status);
			assert.equal(met === 'broken' ? undefined : met.outcome, outcome);
			assert.deepEqual(entry.attempts.map(attempt => attempt.seen), seen);
			assert.equal(upstream.ran.get('one') ?? 0, ran);
		});
	}
}

test('upstream client: a reset at once is not-run only where no byte was handed over', async t => {
	const {upstream, entry} = await setUp(t, {});
	await upstream.order({fault: Fault.resetOnConnect});
	const met = await call(entry.address, 'one');
	assert.ok(met !== 'broken' && [AttemptObservation.closedBeforeFirstByte, AttemptObservation.closedAfterFirstByte, AttemptObservation.refusedConnection].includes(entry.attempts[0]!.seen as 'refused-connection'));
	assert.equal(upstream.ran.size, 0);
});

test('upstream client: a request whose lease ended before the first byte is not sent', async t => {
	const {upstream, entry} = await setUp(t, {holdsLease: () => false});
	const met = await call(entry.address, 'one');
	assert.ok(met !== 'broken' && met.outcome === Outcome.notRun);
	assert.equal(upstream.ran.size, 0);
	assert.ok(entry.attempts.length > 1 && entry.attempts.every(attempt => attempt.seen === AttemptObservation.leaseLost));
});

test('upstream client: an answer that comes after the deadline goes nowhere', async t => {
	const {upstream, entry} = await setUp(t, {deadlineMilliseconds: 50});
	await upstream.order({fault: Fault.late, delayMilliseconds: 100, requests: 1});
	const late = await call(entry.address, 'late');
	const next = await call(entry.address, 'next');
	assert.ok(late !== 'broken' && late.status === 504);
	assert.ok(next !== 'broken' && next.body.includes('"operation":"next"'));
});

test('upstream client: a kept connection that closed under a non-idempotent GET is not used twice', async t => {
	const {upstream, entry} = await setUp(t, {});
	await upstream.order({fault: Fault.closeIdle});
	for (let count = 0; count < 50; count++) {
		await call(entry.address, `get-${count}`, 'GET');
	}

	assert.ok([...upstream.ran.values()].every(times => times === 1));
	assert.equal(entry.attempts.length, 50);
});

test('upstream client: a body larger than the bound is refused and nothing is sent', async t => {
	const {upstream, entry} = await setUp(t, {});
	const answer = await request(`http://${entry.address}/verge/1`, {method: 'POST', body: 'x'.repeat(2000)});
	const problem = await answer.body.json() as {readonly kind: string; readonly outcome: string};
	assert.deepEqual([answer.statusCode, problem.kind, problem.outcome], [413, 'too-large', Outcome.notRun]);
	assert.equal(upstream.connections, 0);
});

test('upstream client: a caller can neither set nor see the fields of this system', async t => {
	const {upstream, entry} = await setUp(t, {});
	const headers = {
		'dogwooddeck-fence': '99', 'dogwooddeck-outcome': 'forged', connection: 'close, x-only-here', 'x-only-here': '1',
	};
	const [answer] = await once(get(`http://${entry.address}/verge/1`, {headers}), 'response') as [IncomingMessage];
	answer.resume();
	assert.equal(answer.headers['dogwooddeck-outcome'], Outcome.ran);
	assert.deepEqual(upstream.lastHeaders['dogwooddeck-fence'], '7');
	assert.equal(upstream.lastHeaders['x-only-here'], undefined);
});
