import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {FailureKind} from '@dogwooddeck/model/failure';
import {Outcome} from '@dogwooddeck/model/outcome';
import {
	assertNothingRanTwice, type Change, change, names, operations, seed,
} from './claim-cases.js';
import {FakeClaimNetwork, operationOf} from './fake-claim-network.js';
import {operationId} from '@dogwooddeck/routing/claim';
import {holdersOf} from '@dogwooddeck/routing/claim-holders';
import {loadTextHash} from '@dogwooddeck/routing/text-hash';

const hash = await loadTextHash();
type Action = {readonly kind: keyof typeof actions; readonly name: string; readonly operation: string; readonly number: number};

const outcomes = [Outcome.ran, Outcome.notRun, Outcome.unknown] as const;

const actions = {
	begin(network: FakeClaimNetwork, action: Action) {
		network.begin(action.name, action.operation);
	},
	deliver(network: FakeClaimNetwork, action: Action) {
		network.deliver(action.number % Math.max(1, network.packets.length));
	},
	double(network: FakeClaimNetwork, action: Action) {
		network.deliver(action.number % Math.max(1, network.packets.length), true);
	},
	lose(network: FakeClaimNetwork, action: Action) {
		network.lose(action.number % Math.max(1, network.packets.length));
	},
	finish(network: FakeClaimNetwork, action: Action) {
		const run = network.runs[action.number % Math.max(1, network.runs.length)];
		if (run !== undefined) {
			network.finish(run, outcomes[action.number % outcomes.length]!);
		}
	},
	kill(network: FakeClaimNetwork, action: Action) {
		network.kill(action.name);
	},
	restart(network: FakeClaimNetwork, action: Action) {
		network.restart(action.name);
	},
	unseat(network: FakeClaimNetwork, action: Action) {
		network.unseat(action.name);
	},
	learn(network: FakeClaimNetwork, action: Action) {
		network.applyNextRoster(action.name);
	},
	advance(network: FakeClaimNetwork, action: Action) {
		network.advance(action.number);
	},
	settle(network: FakeClaimNetwork) {
		network.settle();
	},
};

const kinds: Array<{readonly weight: number; readonly arbitrary: fc.Arbitrary<keyof typeof actions>}> = [
	{weight: 6, arbitrary: fc.constant('begin')},
	{weight: 20, arbitrary: fc.constant('deliver')},
	{weight: 3, arbitrary: fc.constant('double')},
	{weight: 2, arbitrary: fc.constant('lose')},
	{weight: 3, arbitrary: fc.constant('finish')},
	{weight: 1, arbitrary: fc.constant('kill')},
	{weight: 1, arbitrary: fc.constant('restart')},
	{weight: 2, arbitrary: fc.constant('unseat')},
	{weight: 3, arbitrary: fc.constant('learn')},
	{weight: 1, arbitrary: fc.constant('advance')},
	{weight: 2, arbitrary: fc.constant('settle')},
];

const action: fc.Arbitrary<Action> = fc.record({
	kind: fc.oneof(...kinds),
	name: fc.constantFrom(...names),
	operation: fc.constantFrom(...operations),
	number: fc.nat({max: 40_000}),
});

/** Not-run is reported only if no send of the operation may have run. */
function assertReportedOutcomes(network: FakeClaimNetwork): void {
	const newest = network.decisions.at(-1);
	const isReportedNotRun = newest?.decision.kind === 'refuse' && newest.decision.outcome === Outcome.notRun;
	assert.ok(!isReportedNotRun || network.runs.every(run => run.operation !== newest.operation || run.outcome === Outcome.notRun), 'reported as not-run');
}

test('claims: no operation runs twice under any schedule of losses, restarts and delayed rosters', () => {
	let ran = 0;
	let refused = 0;
	fc.assert(fc.property(fc.array(action, {minLength: 20, maxLength: 120, size: 'max'}), schedule => {
		const network = new FakeClaimNetwork(hash);
		for (const next of schedule) {
			actions[next.kind](network, next);
			assertNothingRanTwice(network.runs);
			assertReportedOutcomes(network);
		}

		ran += network.runs.length;
		refused += network.decisions.length - network.runs.length;
	}), {seed, numRuns: 3000});
	console.log(`claims: seed ${seed}, ${ran} runs, ${refused} refusals and replays`);
	assert.ok(ran > 1000 && refused > 1000);
});

type LossCase = {
	readonly name: string;
	/** The instances that are lost after the first run began, or ended. */
	readonly lost: ReadonlyArray<'entry' | 'first holder' | 'second holder'>;
	/** Whether the others apply a roster without the lost instances, and records are copied. */
	readonly repaired: boolean;
	readonly ends?: Outcome;
	readonly expected: 'duplicate' | 'replay' | 'run' | FailureKind;
};

const lossCases: readonly LossCase[] = [
	{
		name: 'a resend while the operation runs', lost: [], repaired: false, expected: FailureKind.duplicate,
	},
	{
		name: 'a resend after the end', lost: [], repaired: false, ends: Outcome.ran, expected: 'replay',
	},
	{
		name: 'a resend after not-run', lost: [], repaired: false, ends: Outcome.notRun, expected: 'run',
	},
	{
		name: 'a resend after an unknown end', lost: [], repaired: false, ends: Outcome.unknown, expected: FailureKind.duplicate,
	},
	{
		name: 'the entry instance is lost while it runs', lost: ['entry'], repaired: false, expected: FailureKind.duplicate,
	},
	{
		name: 'the entry instance is lost after the end', lost: ['entry'], repaired: false, ends: Outcome.ran, expected: 'replay',
	},
	{
		name: 'the first holder is lost', lost: ['first holder'], repaired: false, ends: Outcome.ran, expected: 'replay',
	},
	{
		name: 'the second holder is lost', lost: ['second holder'], repaired: false, ends: Outcome.ran, expected: 'replay',
	},
	{
		name: 'the entry instance and a holder are lost', lost: ['entry', 'first holder'], repaired: false, ends: Outcome.ran, expected: 'replay',
	},
	{
		name: 'the second holder is lost right after the repair of the first', lost: ['first holder', 'second holder'], repaired: true, ends: Outcome.ran, expected: 'replay',
	},
	{
		name: 'both holders are lost at once', lost: ['first holder', 'second holder'], repaired: false, ends: Outcome.ran, expected: FailureKind.claimUnavailable,
	},
];

function lose(network: FakeClaimNetwork, name: string, repaired: boolean): void {
	network.kill(name);
	if (repaired) {
		network.unseat(name);
		for (const other of network.live) {
			network.applyNextRoster(other);
		}

		network.settle();
	}
}

for (const {name, lost, repaired, ends, expected} of lossCases) {
	test(`claims: ${name}`, () => {
		const network = new FakeClaimNetwork(hash);
		const [first, second] = holdersOf(network.rosters[0]!, operationId(operationOf('one')), hash);
		const [entry, other] = names.filter(candidate => candidate !== first?.name && candidate !== second?.name);
		const places = {entry: entry!, 'first holder': first!.name, 'second holder': second!.name};
		network.begin(entry!, 'one');
		network.settle();
		if (ends !== undefined) {
			network.finish(network.runs[0]!, ends);
			network.settle();
		}

		for (const place of lost) {
			lose(network, places[place], repaired);
		}

		network.begin(other!, 'one');
		network.settle();
		const {decision} = network.decisions.at(-1)!;
		assert.equal(decision.kind === 'refuse' ? decision.failure.kind : decision.kind, expected);
		if (decision.kind === 'replay') {
			assert.deepEqual(decision.answer, network.runs[0]!.answer);
		}
	});
}

test('claims: a lost copy is resent, so that the record survives the loss of the other holder', () => {
	const network = new FakeClaimNetwork(hash);
	const [first, second] = holdersOf(network.rosters[0]!, operationId(operationOf('one')), hash);
	const entry = names.find(candidate => candidate !== first?.name && candidate !== second?.name);
	network.begin(entry!, 'one');
	network.settle();
	network.finish(network.runs[0]!, Outcome.ran);
	network.settle();
	network.kill(first!.name);
	network.unseat(first!.name);
	for (const name of network.live) {
		network.applyNextRoster(name);
	}

	network.packets = [];
	network.advance(1000);
	network.settle();
	lose(network, second!.name, true);
	network.begin(network.live[0]!, 'one');
	network.settle();
	assert.equal(network.decisions.at(-1)!.decision.kind, 'replay');
});

/** Loses the packets that `lossy` marks and delivers the others; a lost request is reported as unreachable. */
function settleWithLosses(network: FakeClaimNetwork, lossy: readonly boolean[]): void {
	for (const isLost of lossy) {
		if (isLost) {
			network.lose(0);
		} else {
			network.deliver(0);
		}
	}

	network.settle();
}

function applyChange(network: FakeClaimNetwork, next: Change): void {
	network.kill(next.name);
	if (next.kind === 'restart') {
		network.restart(next.name);
	} else {
		network.unseat(next.name);
	}

	for (const name of network.live) {
		network.applyNextRoster(name);
	}

	settleWithLosses(network, next.lossy);
	for (const milliseconds of [1000, 2000]) {
		network.advance(milliseconds);
		network.settle();
	}
}

test('claims: single seat changes, each after all copies arrived, need no earlier rosters', () => {
	let replayed = 0;
	fc.assert(fc.property(fc.array(change, {minLength: 2, maxLength: 12}), changes => {
		const network = new FakeClaimNetwork(hash, 1);
		for (const next of changes) {
			for (const entry of network.live) {
				network.begin(entry, next.operation);
				network.settle();
				network.finish(network.runs.at(-1)!, Outcome.ran);
				network.settle();
			}

			applyChange(network, next);
		}

		assertNothingRanTwice(network.runs);
		replayed += network.decisions.filter(({decision}) => decision.kind === 'replay').length;
	}), {seed, numRuns: 500});
	console.log(`claims: seed ${seed}, ${replayed} replays across seat changes`);
	assert.ok(replayed > 5000);
});

test('claims: a single seat change keeps at least one holder of every operation', () => {
	fc.assert(fc.property(fc.string(), fc.constantFrom(...names), fc.boolean(), (operationKey, name, isRestart) => {
		const {seats} = new FakeClaimNetwork(hash).rosters[0]!;
		const remaining = seats.filter(seat => seat.name !== name);
		const removed = seats.find(seat => seat.name === name)!;
		const before = holdersOf({index: 1, seats}, operationKey, hash);
		const after = holdersOf({index: 2, seats: isRestart ? [...remaining, {...removed, incarnation: 2}] : remaining}, operationKey, hash);
		assert.ok(before.some(seat => after.some(other => other.name === seat.name && other.incarnation === seat.incarnation)));
	}), {seed, numRuns: 2000});
});

test('claims: the holders are in different zones, and every instance computes the same ones', () => {
	fc.assert(fc.property(fc.string(), operationKey => {
		const network = new FakeClaimNetwork(hash);
		const {seats} = network.rosters[0]!;
		const one = holdersOf({index: 1, seats}, operationKey, hash);
		const other = holdersOf({index: 1, seats: [...seats].reverse()}, operationKey, hash);
		assert.deepEqual(one, other);
		assert.equal(new Set(one.map(seat => seat.zone)).size, 2);
	}), {seed});
});
