import assert from 'node:assert/strict';
import {test} from 'node:test';
import {Outcome} from '@dogwooddeck/model/outcome';
import {maySendAgain, AttemptObservation, observationRules} from '@dogwooddeck/routing/outcome';

type Case = {readonly seen: AttemptObservation; readonly outcome: Outcome; readonly idempotentRetry: boolean; readonly otherAgain: boolean};

const cases: readonly Case[] = [
	{
		seen: AttemptObservation.refusedConnection, outcome: Outcome.notRun, idempotentRetry: true, otherAgain: true,
	},
	{
		seen: AttemptObservation.closedBeforeFirstByte, outcome: Outcome.notRun, idempotentRetry: true, otherAgain: true,
	},
	{
		seen: AttemptObservation.leaseLost, outcome: Outcome.notRun, idempotentRetry: true, otherAgain: true,
	},
	{
		seen: AttemptObservation.shed, outcome: Outcome.notRun, idempotentRetry: true, otherAgain: true,
	},
	{
		seen: AttemptObservation.deadlinePassedBeforeFirstByte, outcome: Outcome.notRun, idempotentRetry: false, otherAgain: false,
	},
	{
		seen: AttemptObservation.cancelledBeforeFirstByte, outcome: Outcome.notRun, idempotentRetry: false, otherAgain: false,
	},
	{
		seen: AttemptObservation.unsendable, outcome: Outcome.notRun, idempotentRetry: false, otherAgain: false,
	},
	{
		seen: AttemptObservation.closedAfterFirstByte, outcome: Outcome.unknown, idempotentRetry: true, otherAgain: false,
	},
	{
		seen: AttemptObservation.deadlinePassedAfterFirstByte, outcome: Outcome.unknown, idempotentRetry: false, otherAgain: false,
	},
	{
		seen: AttemptObservation.cancelledAfterFirstByte, outcome: Outcome.unknown, idempotentRetry: false, otherAgain: false,
	},
	{
		seen: AttemptObservation.cutAnswer, outcome: Outcome.unknown, idempotentRetry: true, otherAgain: false,
	},
	{
		seen: AttemptObservation.foreignAnswer, outcome: Outcome.unknown, idempotentRetry: true, otherAgain: false,
	},
	{
		seen: AttemptObservation.unboundedAnswer, outcome: Outcome.unknown, idempotentRetry: false, otherAgain: false,
	},
	{
		seen: AttemptObservation.wholeAnswer, outcome: Outcome.ran, idempotentRetry: false, otherAgain: false,
	},
];

for (const {seen, outcome, idempotentRetry: idempotentAgain, otherAgain} of cases) {
	test(`outcome: ${seen}`, () => {
		assert.equal(observationRules[seen].outcome, outcome);
		assert.equal(maySendAgain(seen, true), idempotentAgain);
		assert.equal(maySendAgain(seen, false), otherAgain);
	});
}

test('outcome: the cases cover every observation', () => {
	assert.deepEqual(cases.map(entry => entry.seen).sort(), Object.values(AttemptObservation).sort());
});
