/**
 * More is lost than the claims tolerate: both holders of an operation are gone
 * before their copies arrived. Then nobody may run it again within a lifetime.
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
import {operationText} from '@dogwooddeck/routing/claim';
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
		network.learn(other);
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
		const holders = holdersOf(network.rosters[0]!, operationText(operationOf('one')), hash).map(seat => seat.name);
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

test('claims beyond copies: any two losses, with copies lost in any way, run nothing twice', () => {
	let runs = 0;
	const losses = fc.array(fc.record({
		name: fc.constantFrom(...names), returns: fc.boolean(), lost: fc.array(fc.boolean(), {minLength: 12, maxLength: 12}), wait: fc.constantFrom(10, 1000, 8000),
	}), {minLength: 2, maxLength: 5});
	fc.assert(fc.property(losses, changes => {
		const network = new FakeClaimNetwork(hash);
		for (const {name, returns, lost, wait} of changes) {
			for (const operation of operations) {
				runOnce(network, network.live[0]!, operation);
			}

			network.kill(name);
			network[returns ? 'restart' : 'unseat'](name);
			for (const other of network.live) {
				network.learn(other);
			}

			for (const isLost of lost) {
				network[isLost ? 'lose' : 'deliver'](0);
			}

			network.advance(wait);
		}

		for (const entry of network.live) {
			for (const operation of operations) {
				runOnce(network, entry, operation);
			}
		}

		assertNothingRanTwice(network.runs);
		runs += network.runs.length;
	}), {seed, numRuns: 2000});
	console.log(`claims: seed ${seed}, ${runs} runs beyond what copies tolerate`);
	assert.ok(runs > 2000);
});
