/**
 * Claims during a network partition whose sides have different rosters: the seats change
 * on one side, and the other side, whose zones may keep their keys, does not learn of it.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {Outcome} from '@dogwooddeck/model/outcome';
import {
	assertNothingRanTwice, type Change, change, names, operations, seed,
} from './claim-cases.js';
import {FakeClaimNetwork} from './fake-claim-network.js';
import {loadTextHash} from '@dogwooddeck/routing/text-hash';

const hash = await loadTextHash();

type SidesCase = {readonly name: string; readonly inside: readonly string[]};

const sidesCases: readonly SidesCase[] = [
	{name: 'regions lose each other', inside: ['noord-1', 'noord-2']},
	{name: 'a zone is partitioned', inside: ['noord-1']},
];

const settlingMilliseconds = 20_000;

function resendEverywhere(network: FakeClaimNetwork): void {
	for (const operation of operations) {
		for (const entry of network.live) {
			network.begin(entry, operation);
			network.settle();
			for (const run of network.runs.slice(-1)) {
				network.finish(run, Outcome.ran);
			}

			network.settle();
		}
	}
}

/** Changes seats outside the partition alone; the inside does not learn of it. */
function changeOutside(network: FakeClaimNetwork, {kind, name}: Change): void {
	if (!network.isInside(name)) {
		network.kill(name);
		network[kind](name);
	}

	for (const other of network.live.filter(live => !network.isInside(live))) {
		network.applyNextRoster(other);
	}

	network.settle();
	network.advance(settlingMilliseconds / 2);
	network.advance(settlingMilliseconds / 2);
	network.settle();
}

function healAndLearn(network: FakeClaimNetwork): void {
	network.partition([]);
	for (const _roster of network.rosters) {
		for (const name of network.live) {
			network.applyNextRoster(name);
		}
	}

	network.settle();
}

for (const {name, inside} of sidesCases) {
	test(`claims: ${name}, the seats change on one side alone, and no operation runs on both sides`, () => {
		let ran = 0;
		fc.assert(fc.property(fc.array(change, {minLength: 1, maxLength: 2}), fc.constantFrom(...names), fc.boolean(), (changes, entry, beginsBeforePartition) => {
			const network = new FakeClaimNetwork(hash);
			if (beginsBeforePartition) {
				network.begin(entry, operations[0]);
				network.settle();
			}

			network.partition(inside);
			for (const next of changes) {
				resendEverywhere(network);
				changeOutside(network, next);
			}

			resendEverywhere(network);
			healAndLearn(network);
			resendEverywhere(network);
			assertNothingRanTwice(network.runs);
			ran += network.runs.length;
		}), {seed, numRuns: 500});
		console.log(`claims: seed ${seed}, ${ran} runs on two sides of a partition`);
		assert.ok(ran > 500);
	});
}

