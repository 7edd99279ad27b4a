import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {failure, FailureKind} from '@dogwooddeck/model/failure';
import {Outcome} from '@dogwooddeck/model/outcome';
import {
	beginRequest, type RequestEffect, type RequestEvent, type RequestState, stepRequest,
} from '@dogwooddeck/routing/attempt';
import {allowsRetry, recordAttempt, createRetryBudget} from '@dogwooddeck/routing/budget';
import {AttemptObservation, observationRules} from '@dogwooddeck/routing/outcome';

const seed = 20_261_204;
const deadline = 1000;

function begin(idempotent: boolean): RequestState {
	return beginRequest({
		idempotent, deadline, retry: {attempts: 3, budgetRatio: 0.1, backoffMilliseconds: 50}, seed,
	}).state;
}

function run(idempotent: boolean, events: readonly RequestEvent[]): RequestEffect[] {
	let state = begin(idempotent);
	const effects: RequestEffect[] = [];
	for (const event of events) {
		const step = stepRequest(state, event);
		state = step.state;
		effects.push(...step.effects);
	}

	return effects;
}

const admitted: RequestEvent = {kind: 'admitted', now: 0};
const noOwner = failure(FailureKind.noOwner, 'the key has no owner', {retryAfterMilliseconds: 20});
const overloaded = failure(FailureKind.overloaded, 'full', {retryAfterMilliseconds: 20});

function observed(observation: AttemptObservation, overrides: Partial<Extract<RequestEvent, {kind: 'seen'}>> = {}): RequestEvent {
	return {
		kind: 'seen', now: 10, seen: observation, headPassed: false, budgetAllows: true, ...overrides,
	};
}

type Case = {readonly name: string; readonly idempotent: boolean; readonly events: readonly RequestEvent[]; readonly expected: readonly string[]};

const cases: readonly Case[] = [
	{
		name: 'a complete response', idempotent: false, events: [admitted, observed(AttemptObservation.wholeAnswer)], expected: ['send', 'complete'],
	},
	{
		name: 'not-run is retried', idempotent: false, events: [admitted, observed(AttemptObservation.shed), {kind: 'pause-over', now: 90}], expected: ['send', 'pause', 'admit'],
	},
	{
		name: 'unknown is not retried', idempotent: false, events: [admitted, observed(AttemptObservation.closedAfterFirstByte)], expected: ['send', 'refuse unknown'],
	},
	{
		name: 'unknown is retried on an idempotent route', idempotent: true, events: [admitted, observed(AttemptObservation.closedAfterFirstByte)], expected: ['send', 'pause'],
	},
	{
		name: 'the retry budget is spent', idempotent: true, events: [admitted, observed(AttemptObservation.shed, {budgetAllows: false})], expected: ['send', 'refuse not-run'],
	},
	{
		name: 'Retry-After ends past the deadline', idempotent: true, events: [admitted, observed(AttemptObservation.shed, {retryAfterMilliseconds: 5000})], expected: ['send', 'refuse not-run'],
	},
	{
		name: 'no time for a pause', idempotent: true, events: [admitted, observed(AttemptObservation.shed, {now: 999.9, retryAfterMilliseconds: 1})], expected: ['send', 'refuse not-run'],
	},
	{
		name: 'the response head was forwarded', idempotent: true, events: [admitted, observed(AttemptObservation.cutAnswer, {headPassed: true})], expected: ['send', 'break'],
	},
	{
		name: 'after an unknown outcome, not-run is never reported',
		idempotent: true,
		events: [
			admitted,
			observed(AttemptObservation.closedAfterFirstByte),
			{kind: 'pause-over', now: 200},
			{kind: 'refused', now: 200, failure: overloaded},
		],
		expected: ['send', 'pause', 'admit', 'refuse unknown'],
	},
	{
		name: 'no owner at the moment', idempotent: false, events: [{kind: 'refused', now: 0, failure: noOwner}, {kind: 'pause-over', now: 60}], expected: ['pause', 'admit'],
	},
	{
		name: 'overloaded is refused immediately', idempotent: false, events: [{kind: 'refused', now: 0, failure: overloaded}], expected: ['refuse not-run'],
	},
	{
		name: 'the deadline passes in the queue', idempotent: false, events: [{kind: 'deadline-passed', now: 1000}], expected: ['cancel', 'refuse not-run'],
	},
	{
		name: 'the deadline while sending is handled by the attempt',
		idempotent: false,
		events: [
			admitted,
			{kind: 'deadline-passed', now: 1000},
			observed(AttemptObservation.deadlinePassedAfterFirstByte, {now: 1000}),
		],
		expected: ['send', 'refuse unknown'],
	},
	{
		name: 'the caller disconnects', idempotent: false, events: [admitted, {kind: 'caller-gone', now: 5}, observed(AttemptObservation.cancelledAfterFirstByte)], expected: ['send', 'cancel'],
	},
	{
		name: 'a retry after a lost lease needs no budget', idempotent: false, events: [admitted, observed(AttemptObservation.leaseLost, {budgetAllows: false})], expected: ['send', 'pause'],
	},
	{
		name: 'at most three attempts',
		idempotent: true,
		events: [
			admitted,
			observed(AttemptObservation.shed),
			{kind: 'pause-over', now: 100},
			{kind: 'admitted', now: 100},
			observed(AttemptObservation.shed, {now: 110}),
			{kind: 'pause-over', now: 300},
			{kind: 'admitted', now: 300},
			observed(AttemptObservation.shed, {now: 310}),
		],
		expected: ['send', 'pause', 'admit', 'send', 'pause', 'admit', 'send', 'refuse not-run'],
	},
];

for (const {name, idempotent, events, expected} of cases) {
	test(`attempt: ${name}`, () => {
		assert.deepEqual(run(idempotent, events).map(effect => effect.kind === 'refuse' ? `refuse ${effect.outcome}` : effect.kind), expected);
	});
}

const anyEvent: fc.Arbitrary<(now: number) => RequestEvent> = fc.oneof(
	fc.constant((now: number): RequestEvent => ({kind: 'admitted', now})),
	fc.constantFrom(noOwner, overloaded).map(why => (now: number): RequestEvent => ({kind: 'refused', now, failure: why})),
	fc.constantFrom(...Object.values(AttemptObservation)).map(observation => (now: number): RequestEvent => observed(observation, {now})),
	fc.constant((now: number): RequestEvent => ({kind: 'pause-over', now})),
	fc.constant((now: number): RequestEvent => ({kind: 'deadline-passed', now})),
);

test('attempt: under any events, a non-idempotent request that may have run is neither retried nor reported as not-run, and no pause passes the deadline', () => {
	console.log(`attempt: seed ${seed}`);
	fc.assert(fc.property(fc.array(fc.tuple(anyEvent, fc.nat({max: 200})), {maxLength: 40}), fc.nat(), (events, jitter) => {
		let state = {...begin(false), seed: jitter};
		let mayHaveRun = false;
		let now = 0;
		for (const [eventAt, elapsed] of events) {
			now += elapsed;
			const event = eventAt(now);
			const wasSending = state.phase === 'sending';
			const step = stepRequest(state, event);
			state = step.state;
			mayHaveRun ||= wasSending && event.kind === 'seen' && observationRules[event.seen].outcome !== Outcome.notRun;
			for (const effect of step.effects) {
				assert.ok(!(effect.kind === 'send' && mayHaveRun), 'sent again');
				assert.ok(!(effect.kind === 'refuse' && effect.outcome === Outcome.notRun && mayHaveRun), 'reported as not-run');
				assert.ok(!(effect.kind === 'pause' && now + effect.milliseconds >= deadline), 'paused past the deadline');
			}
		}
	}), {seed, numRuns: 2000});
});

test('budget: retries stay within the ratio to first attempts', () => {
	let budget = createRetryBudget(0.1);
	let retries = 0;
	for (let count = 0; count < 1000; count++) {
		budget = recordAttempt(budget, {kind: 'first-attempt'}).state;
		if (allowsRetry(budget)) {
			budget = recordAttempt(budget, {kind: 'retry'}).state;
			retries++;
		}
	}

	assert.ok(retries >= 100 && retries <= 110, `${retries} retries`);
});
