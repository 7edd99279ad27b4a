/**
 * Losses beyond what claims tolerate: both holders of an operation are lost before their
 * copies arrive. Then no instance may run the operation again within a lifetime.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {FailureKind} from '@dogwooddeck/model/failure';
import {Outcome} from '@dogwooddeck/model/outcome';
import {
	assertNothingRanTwice, names, operations, seed,
} from './claim-cases.js';
import {FakeClaimNetwork, operationOf} from './fake-claim-network.js';
import {operationId} from '@dogwooddeck/routing/claim';
import {holdersOf} from '@dogwooddeck/routing/claim-holders';
import {loadTextHash} from '@dogwooddeck/routing/text-hash';

const hash = await loadTextHash();

type LossCase = {
	readonly name: string;
	/** Whether the copies after the first loss arrive before the second. */
	readonly copiesArrive: boolean;
	readonly waits: readonly number[];
	readonly expected: 'replay' | 'run' | FailureKind;
};

const lossCases: readonly LossCase[] = [
	{
		name: 'the copies arrived before the second loss', copiesArrive: true, waits: [1000, 20_000, 20_000], expected: 'replay',
	},
	{
		name: 'the copies never arrived, shortly after', copiesArrive: false, waits: [1000], expected: FailureKind.claimUnavailable,
	},
	{
		name: 'the copies never arrived, late in the lifetime', copiesArrive: false, waits: [1000, 20_000, 20_000], expected: FailureKind.claimUnavailable,
	},
	{
		name: 'the copies never arrived, a lifetime later', copiesArrive: false, waits: [1000, 20_000, 60_000], expected: 'run',
	},
];

function runOnce(network: FakeClaimNetwork, entry: string, operation: string): void {
	network.begin(entry, operation);
	network.settle();
	const run = network.runs.find(other => other.entry === entry && other.operation === operation);
	if (run !== undefined) {
		network.finish(run, Outcome.ran);
	}

	network.settle();
}

function lose(network: FakeClaimNetwork, name: string, copiesArrive: boolean): void {
	network.kill(name);
	network.unseat(name);
	for (const other of network.live) {
		network.applyNextRoster(other);
	}

	if (copiesArrive) {
		network.settle();
	} else {
		network.packets = [];
	}
}

for (const {name, copiesArrive, waits, expected} of lossCases) {
	test(`claims beyond copies: ${name}`, () => {
		const network = new FakeClaimNetwork(hash);
		const holders = holdersOf(network.rosters[0]!, operationId(operationOf('one')), hash).map(seat => seat.name);
		const entry = names.find(candidate => !holders.includes(candidate))!;
		runOnce(network, entry, 'one');
		for (const holder of holders) {
			lose(network, holder, copiesArrive);
		}

		for (const wait of waits) {
			network.advance(wait);
			network.settle();
		}

		network.begin(entry, 'one');
		network.settle();
		const {decision} = network.decisions.at(-1)!;
		assert.equal(decision.kind === 'refuse' ? decision.failure.kind : decision.kind, expected);
	});
}

for (const [wait, expected] of [[10_000, FailureKind.claimUnavailable], [60_000, 'run']] as const) {
	test(`claims beyond copies: all instances restart at once, and a resend follows ${wait} ms later`, () => {
		const network = new FakeClaimNetwork(hash, 2, true);
		runOnce(network, 'a', 'one');
		for (const name of names) {
			network.kill(name);
		}

		for (const name of names) {
			network.restart(name);
		}

		for (const name of names) {
			for (const _roster of network.rosters) {
				network.applyNextRoster(name);
			}
		}

		for (const step of [1000, 1000, 1000, wait]) {
			network.advance(step);
		}

		network.begin('a', 'one');
		network.settle();
		const {decision} = network.decisions.at(-1)!;
		assert.equal(decision.kind === 'refuse' ? decision.failure.kind : decision.kind, expected);
		assert.ok(decision.kind !== 'refuse' || (decision.failure.retryAfterMilliseconds ?? 0) > 40_000);
	});
}

type Loss = {
	readonly name: string;
	readonly kind: 'restart' | 'unseat';
	/** The instances that apply the roster only together with a later one. */
	readonly late: readonly string[];
	/** Which packets are lost, and the times by which the clock advances afterwards. */
	readonly lost: readonly boolean[];
	readonly waits: readonly number[];
};

const loss: fc.Arbitrary<Loss> = fc.record({
	name: fc.constantFrom(...names),
	kind: fc.constantFrom('restart', 'unseat'),
	late: fc.subarray([...names], {maxLength: 2}),
	lost: fc.array(fc.boolean(), {minLength: 12, maxLength: 12}),
	waits: fc.array(fc.constantFrom(10, 1000, 4000), {maxLength: 3}),
});

function learnAll(network: FakeClaimNetwork, late: readonly string[] = []): void {
	for (const name of network.live.filter(other => !late.includes(other))) {
		for (const _roster of network.rosters) {
			network.applyNextRoster(name);
		}
	}
}

function applyLoss(network: FakeClaimNetwork, {name, kind, late, lost, waits}: Loss): void {
	network.kill(name);
	network[kind](name);
	learnAll(network, late);
	for (const isLost of lost) {
		network[isLost ? 'lose' : 'deliver'](0);
	}

	for (const wait of waits) {
		network.advance(wait);
	}
}

type StartCase = {readonly name: string; readonly rostersAtStart: number; readonly adoptsView: boolean};

const startCases: readonly StartCase[] = [
	{name: 'all rosters are available at start', rostersAtStart: Infinity, adoptsView: false},
	{name: 'a view is adopted at start', rostersAtStart: Infinity, adoptsView: true},
	{name: 'two rosters are available at start', rostersAtStart: 2, adoptsView: true},
];

for (const {name, rostersAtStart, adoptsView} of startCases) {
	test(`claims beyond copies: no operation runs twice after any losses of instances and copies; ${name}`, () => {
		let runs = 0;
		let replays = 0;
		fc.assert(fc.property(fc.array(loss, {minLength: 2, maxLength: 5}), losses => {
			const network = new FakeClaimNetwork(hash, rostersAtStart, adoptsView);
			for (const [position, next] of losses.entries()) {
				for (const operation of operations) {
					runOnce(network, network.live[0]!, `${operation} ${position}`);
					runOnce(network, network.live[0]!, `${operation} 0`);
				}

				applyLoss(network, next);
			}

			learnAll(network);
			for (const entry of network.live) {
				for (const [position] of losses.entries()) {
					for (const operation of operations) {
						runOnce(network, entry, `${operation} ${position}`);
					}
				}
			}

			assertNothingRanTwice(network.runs);
			runs += network.runs.length;
			replays += network.decisions.filter(({decision}) => decision.kind === 'replay').length;
		}), {seed, numRuns: 500});
		console.log(`claims: seed ${seed}, ${runs} runs and ${replays} replays beyond what copies tolerate; ${name}`);
		assert.ok(runs > 2000 && replays > 4000);
	});
}

const moves = {
	learn(network: FakeClaimNetwork, name: string) {
		network.applyNextRoster(name);
	},
	deliver(network: FakeClaimNetwork, _name: string, number: number) {
		network.deliver(number % Math.max(1, network.packets.length));
	},
	drop(network: FakeClaimNetwork, _name: string, number: number) {
		network.lose(number % Math.max(1, network.packets.length));
	},
	ask(network: FakeClaimNetwork, name: string) {
		network.requestReports(name);
	},
	tell(network: FakeClaimNetwork) {
		network.deliverReports();
	},
	advance(network: FakeClaimNetwork, _name: string, number: number) {
		network.advance(number * 100);
	},
	resend(network: FakeClaimNetwork, name: string) {
		network.begin(name, 'one');
	},
	unseat(network: FakeClaimNetwork, name: string) {
		network.unseat(name);
	},
	lose(network: FakeClaimNetwork, name: string) {
		network.kill(name);
		network.unseat(name);
	},
	restart(network: FakeClaimNetwork, name: string) {
		network.kill(name);
		network.restart(name);
	},
};

const weights: Readonly<Record<keyof typeof moves, number>> = {
	learn: 10, deliver: 10, drop: 1, ask: 4, tell: 4, advance: 1, resend: 2, unseat: 2, lose: 1, restart: 1,
};

const move = fc.record({
	kind: fc.oneof(...Object.entries(weights).map(([kind, weight]) => ({weight, arbitrary: fc.constant(kind as keyof typeof moves)}))),
	name: fc.constantFrom(...names),
	number: fc.nat({max: 20}),
});

test('claims beyond copies: no operation runs twice under any order of seat changes, copies and reports', () => {
	let runs = 0;
	fc.assert(fc.property(fc.array(move, {minLength: 20, maxLength: 80, size: 'max'}), fc.boolean(), (schedule, adoptsView) => {
		const network = new FakeClaimNetwork(hash, adoptsView ? 2 : Infinity, adoptsView);
		for (const operation of operations) {
			runOnce(network, 'a', operation);
		}

		for (const {kind, name, number} of schedule) {
			moves[kind](network, name, number);
		}

		learnAll(network);
		network.settle();
		for (const entry of network.live) {
			for (const operation of operations) {
				runOnce(network, entry, operation);
			}
		}

		assertNothingRanTwice(network.runs);
		runs += network.runs.length;
	}), {seed, numRuns: 4000});
	console.log(`claims: seed ${seed}, ${runs} runs in any order`);
	assert.ok(runs >= 8000);
});

test('claims beyond copies: after a planned stop that waited for its report, nothing is refused', () => {
	fc.assert(fc.property(fc.array(fc.constantFrom(...names), {minLength: 1, maxLength: 6}), stopped => {
		const network = new FakeClaimNetwork(hash, 2, true);
		for (const [position, name] of stopped.entries()) {
			runOnce(network, network.live[0]!, `one ${position}`);
			network.unseat(name);
			learnAll(network);
			network.settle();
			network.advance(1000);
			network.advance(1000);
			assert.ok(network.live.every(other => network.missingReports(other).length === 0), 'a report is missing');
			network.kill(name);
			network.restart(name);
			learnAll(network);
			network.settle();
			network.advance(1000);
			network.advance(1000);
		}

		for (const [position] of stopped.entries()) {
			for (const entry of network.live) {
				network.begin(entry, `one ${position}`);
				network.settle();
				assert.equal(network.decisions.at(-1)!.decision.kind, 'replay');
			}
		}
	}), {seed, numRuns: 500});
});
