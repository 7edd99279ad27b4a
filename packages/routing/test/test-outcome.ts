import assert from 'node:assert/strict';
import {test} from 'node:test';
import {Outcome} from '@dogwooddeck/model/outcome';
import {maySendAgain, Seen, observationRules} from '@dogwooddeck/routing/outcome';

type Case = {readonly seen: Seen; readonly outcome: Outcome; readonly idempotentAgain: boolean; readonly otherAgain: boolean};

const cases: readonly Case[] = [
	{
		seen: Seen.refusedConnection, outcome: Outcome.notRun, idempotentAgain: true, otherAgain: true,
	},
	{
		seen: Seen.closedBeforeFirstByte, outcome: Outcome.notRun, idempotentAgain: true, otherAgain: true,
	},
	{
		seen: Seen.leaseLost, outcome: Outcome.notRun, idempotentAgain: true, otherAgain: true,
	},
	{
		seen: Seen.shed, outcome: Outcome.notRun, idempotentAgain: true, otherAgain: true,
	},
	{
		seen: Seen.deadlinePassedBeforeFirstByte, outcome: Outcome.notRun, idempotentAgain: false, otherAgain: false,
	},
	{
		seen: Seen.cancelledBeforeFirstByte, outcome: Outcome.notRun, idempotentAgain: false, otherAgain: false,
	},
	{
		seen: Seen.unsendable, outcome: Outcome.notRun, idempotentAgain: false, otherAgain: false,
	},
	{
		seen: Seen.closedAfterFirstByte, outcome: Outcome.unknown, idempotentAgain: true, otherAgain: false,
	},
	{
		seen: Seen.deadlinePassedAfterFirstByte, outcome: Outcome.unknown, idempotentAgain: false, otherAgain: false,
	},
	{
		seen: Seen.cancelledAfterFirstByte, outcome: Outcome.unknown, idempotentAgain: false, otherAgain: false,
	},
	{
		seen: Seen.cutAnswer, outcome: Outcome.unknown, idempotentAgain: true, otherAgain: false,
	},
	{
		seen: Seen.foreignAnswer, outcome: Outcome.unknown, idempotentAgain: true, otherAgain: false,
	},
	{
		seen: Seen.unboundedAnswer, outcome: Outcome.unknown, idempotentAgain: false, otherAgain: false,
	},
	{
		seen: Seen.wholeAnswer, outcome: Outcome.ran, idempotentAgain: false, otherAgain: false,
	},
];

for (const {seen, outcome, idempotentAgain, otherAgain} of cases) {
	test(`outcome: ${seen}`, () => {
		assert.equal(observationRules[seen].outcome, outcome);
		assert.equal(maySendAgain(seen, true), idempotentAgain);
		assert.equal(maySendAgain(seen, false), otherAgain);
	});
}

test('outcome: the table of cases holds everything that can be seen', () => {
	assert.deepEqual(cases.map(entry => entry.seen).sort(), Object.values(Seen).sort());
});
