import assert from 'node:assert/strict';
import process from 'node:process';
import {test} from 'node:test';
import fc from 'fast-check';
import {Pool} from 'undici';
import {Outcome} from '@dogwooddeck/model/outcome';
import {loadTextHash} from '@dogwooddeck/routing/text-hash';
import {createDesks, Entry} from './entry.js';
import {Fault, type FaultOrder} from '@dogwooddeck/stand-in/fault';
import {startUpstream, type StandInUpstream} from '@dogwooddeck/stand-in/upstream';

const seed = Number(process.env.TEST_SEED ?? 20_261_204);
const hash = await loadTextHash();

type Answer = {readonly operation: string; readonly outcome: string | undefined; readonly status: number | undefined; readonly body: string};

const faultsWithAnswers = Object.values(Fault).filter(fault => fault !== Fault.refuse && fault !== Fault.resetOnConnect);
const orders: fc.Arbitrary<FaultOrder> = fc.record({
	fault: fc.constantFrom(...faultsWithAnswers, Fault.none, Fault.none, Fault.refuse, Fault.resetOnConnect),
	requests: fc.integer({min: 1, max: 3}),
	delayMilliseconds: fc.integer({min: 0, max: 80}),
});

async function call(pool: Pool, operation: string, headers: Readonly<Record<string, string>> = {}): Promise<Answer> {
	try {
		const answer = await pool.request({
			path: '/verge/1', method: 'POST', headers: {'stand-in-operation': operation, ...headers}, body: 'booking',
		});
		const body = await answer.body.text();
		return {
			operation, status: answer.statusCode, outcome: answer.headers['dogwooddeck-outcome'] as string | undefined, body,
		};
	} catch {
		return {
			operation, status: undefined, outcome: undefined, body: '',
		};
	}
}

function assertTold(answer: Answer, upstream: StandInUpstream): void {
	const ran = upstream.ran.get(answer.operation) ?? 0;
	assert.ok(ran <= 1, `${answer.operation} ran ${ran} times`);
	if (answer.outcome === Outcome.notRun) {
		assert.equal(ran, 0, `${answer.operation} was told not-run`);
	}

	if (answer.status === 200) {
		assert.deepEqual([ran, answer.body.length], [1, 200]);
		assert.equal((JSON.parse(answer.body) as {readonly operation: string}).operation, answer.operation);
	}
}

/** Resends one after the other: what is told not-run has not run by then. */
async function callInTurn(pools: readonly Pool[], operation: string, upstream: StandInUpstream): Promise<Answer[]> {
	const answers: Answer[] = [];
	for (const pool of pools) {
		const answer = await call(pool, operation, {'idempotency-key': operation});
		assert.ok(answer.outcome !== Outcome.notRun || !upstream.ran.has(operation), `${operation} was told not-run`);
		answers.push(answer);
	}

	return answers;
}

async function runSchedule(schedule: readonly FaultOrder[], idempotent: boolean): Promise<{readonly answers: readonly Answer[]; readonly upstream: StandInUpstream}> {
	const upstream = await startUpstream({answerBytes: 200});
	const entry = await new Entry({
		upstreamAddress: () => upstream.address, deadlineMilliseconds: 60, idempotent, attempts: 3,
	}).start();
	const pool = new Pool(`http://${entry.address}`, {connections: 4});
	const answers: Answer[] = [];
	for (const [round, order] of schedule.entries()) {
		await upstream.order(order);
		answers.push(...await Promise.all([0, 1, 2].map(async caller => call(pool, `${round}-${caller}`))));
	}

	await pool.close();
	await entry.stop();
	await upstream.stop();
	return {answers, upstream};
}

test('requests: over seeded faults, not-run did not run, nothing ran twice, and each caller gets its own whole answer', async () => {
	const outcomes: Record<string, number> = {};
	await fc.assert(fc.asyncProperty(fc.array(orders, {minLength: 4, maxLength: 10}), async schedule => {
		const {answers, upstream} = await runSchedule(schedule, false);
		for (const answer of answers) {
			assertTold(answer, upstream);
			outcomes[answer.outcome ?? 'broken'] = (outcomes[answer.outcome ?? 'broken'] ?? 0) + 1;
		}
	}), {seed, numRuns: 25, endOnFailure: true});
	console.log(`requests: seed ${seed}, ${JSON.stringify(outcomes)}`);
});

test('requests: resent with an operation key through other entries while one is lost, nothing runs twice', async () => {
	const roster = {
		index: 1,
		seats: [{name: 'a', zone: 'noord-1'}, {name: 'b', zone: 'noord-2'}, {name: 'c', zone: 'zuid-1'}, {name: 'd', zone: 'zuid-2'}].map(seat => ({...seat, incarnation: 1})),
	};
	const tally = {replayed: 0, refused: 0, lost: 0};
	await fc.assert(fc.asyncProperty(fc.array(orders, {minLength: 3, maxLength: 6}), fc.nat({max: 3}), fc.nat({max: 5}), async (schedule, lostEntry, lostRound) => {
		const upstream = await startUpstream({answerBytes: 200});
		const {desks, lost} = createDesks(roster, hash);
		const entries = await Promise.all(roster.seats.map(async seat => new Entry({
			upstreamAddress: () => upstream.address, deadlineMilliseconds: 60, idempotent: false, attempts: 3, desk: desks.get(seat.name)!,
		}).start()));
		const pools = entries.map(entry => new Pool(`http://${entry.address}`, {connections: 4}));
		const live = new Set([0, 1, 2, 3]);
		for (const [round, order] of schedule.entries()) {
			await upstream.order(order);
			const operation = `operation-${round}`;
			const headers = {'idempotency-key': operation};
			const first = call(pools[lostEntry]!, operation, headers);
			if (round === lostRound && live.delete(lostEntry)) {
				lost.add(roster.seats[lostEntry]!.name);
				await entries[lostEntry]!.stop();
				tally.lost++;
			}

			const others = [...live].map(async position => call(pools[position]!, operation, headers));
			const answers = await Promise.all([first, ...others]);
			const again = await callInTurn([...live].map(position => pools[position]!), operation, upstream);
			for (const answer of [...answers, ...again].filter(come => come.status === 200)) {
				assert.equal((JSON.parse(answer.body) as {readonly operation: string}).operation, operation);
				tally.replayed++;
			}

			tally.refused += again.filter(answer => answer.status !== 200).length;
			assert.ok((upstream.ran.get(operation) ?? 0) <= 1, `${operation} ran ${upstream.ran.get(operation)} times`);
		}

		await Promise.all(pools.map(async pool => pool.close()));
		await Promise.all([...live].map(async position => entries[position]!.stop()));
		await upstream.stop();
	}), {seed, numRuns: 20, endOnFailure: true});
	console.log(`requests with operation keys: seed ${seed}, ${JSON.stringify(tally)}`);
	assert.ok(tally.replayed > 50 && tally.lost > 5);
});
