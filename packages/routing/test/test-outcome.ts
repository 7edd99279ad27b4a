import assert from 'node:assert/strict';
import {test} from 'node:test';
import {Outcome} from '@dogwooddeck/model/outcome';
import {mayRetry, AttemptObservation, observationRules} from '@dogwooddeck/routing/outcome';

type Case = {readonly seen: AttemptObservation; readonly outcome: Outcome; readonly idempotentRetry: boolean; readonly otherRetry: boolean};

const cases: readonly Case[] = [
	{
		seen: AttemptObservation.refusedConnection, outcome: Outcome.notRun, idempotentRetry: true, otherRetry: true,
	},
	{
		seen: AttemptObservation.closedBeforeFirstByte, outcome: Outcome.notRun, idempotentRetry: true, otherRetry: true,
	},
	{
		seen: AttemptObservation.leaseLost, outcome: Outcome.notRun, idempotentRetry: true, otherRetry: true,
	},
	{
		seen: AttemptObservation.shed, outcome: Outcome.notRun, idempotentRetry: true, otherRetry: true,
	},
	{
		seen: AttemptObservation.deadlinePassedBeforeFirstByte, outcome: Outcome.notRun, idempotentRetry: false, otherRetry: false,
	},
	{
		seen: AttemptObservation.cancelledBeforeFirstByte, outcome: Outcome.notRun, idempotentRetry: false, otherRetry: false,
	},
	{
		seen: AttemptObservation.unsendable, outcome: Outcome.notRun, idempotentRetry: false, otherRetry: false,
	},
	{
		seen: AttemptObservation.closedAfterFirstByte, outcome: Outcome.unknown, idempotentRetry: true, otherRetry: false,
	},
	{
		seen: AttemptObservation.deadlinePassedAfterFirstByte, outcome: Outcome.unknown, idempotentRetry: false, otherRetry: false,
	},
	{
		seen: AttemptObservation.cancelledAfterFirstByte, outcome: Outcome.unknown, idempotentRetry: false, otherRetry: false,
	},
	{
		seen: AttemptObservation.cutAnswer, outcome: Outcome.unknown, idempotentRetry: true, otherRetry: false,
	},
	{
		seen: AttemptObservation.foreignAnswer, outcome: Outcome.unknown, idempotentRetry: true, otherRetry: false,
	},
	{
		seen: AttemptObservation.unboundedAnswer, outcome: Outcome.unknown, idempotentRetry: false, otherRetry: false,
	},
	{
		seen: AttemptObservation.wholeAnswer, outcome: Outcome.ran, idempotentRetry: false, otherRetry: false,
	},
];

for (const {seen, outcome, idempotentRetry: idempotentAgain, otherRetry: otherAgain} of cases) {
	test(`outcome: ${seen}`, () => {
		assert.equal(observationRules[seen].outcome, outcome);
		assert.equal(mayRetry(seen, true), idempotentAgain);
		assert.equal(mayRetry(seen, false), otherAgain);
	});
}

test('outcome: the cases cover every observation', () => {
	assert.deepEqual(cases.map(entry => entry.seen).sort(), Object.values(AttemptObservation).sort());
});
