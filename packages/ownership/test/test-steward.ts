/**
 * What a steward gives, counts and reports, case by case. The steward is `a`
 * in a zone of three; its silence ends at 1531 ms, and a longest deadline of
 * 800 ms makes it wait for 817 ms after its election.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	a, asked, b, c, delegated, election, granted, lease, record, refused, renewal, table, tick,
} from './steward-events.js';
import {createSteward, stepSteward} from '@dogwooddeck/ownership/steward';
import {type StewardEffect, type StewardEvent} from '@dogwooddeck/ownership/steward-state';
import {defaultLeaseTerms as terms} from '@dogwooddeck/ownership/terms';

function shown(effect: StewardEffect): readonly string[] {
	const texts = {
		askSupport: () => [],
		answerSupport: () => [effect.kind === 'answerSupport' && effect.answer.granted ? 'supports' : 'refuses'],
		answerLease: () => effect.kind === 'answerLease' ? [`${Math.round(effect.answer.holdMilliseconds)}/${Math.round(effect.answer.controlMilliseconds)}`] : [],
		renewSupport: () => [],
		askDelegation: () => effect.kind === 'askDelegation' ? [`drained ${effect.request.drained}`] : [],
	};
	return texts[effect.kind]();
}

const cases: ReadonlyArray<{readonly name: string; readonly events: readonly StewardEvent[]; readonly expected: readonly string[]}> = [
	{name: 'silent for one term after its start', events: [table(0, 10), asked(1500, b, 10), asked(1600, b, 10)], expected: ['refuses', 'supports']},
	{
		name: 'supports one candidate at a time',
		events: [table(0, 10), asked(1600, b, 10), asked(1700, c, 10), asked(1700, b, 10), asked(3200, c, 10), asked(3231, c, 10)],
		expected: ['supports', 'refuses', 'supports', 'refuses', 'supports'],
	},
	{name: 'takes no later life for the one that it supports', events: [table(0, 10), asked(1600, b, 10), asked(1700, record('b', 2), 10)], expected: ['supports', 'refuses']},
	{name: 'refuses a candidate that applied less', events: [table(0, 10), asked(1600, b, 9), asked(1600, c, 10)], expected: ['refuses', 'supports']},
	{name: 'goes on supporting a steward that falls behind', events: [table(0, 10), asked(1600, b, 10), table(1650, 11), asked(1700, b, 10)], expected: ['supports', 'supports']},
	{name: 'gives no lease without a majority', events: [table(0, 10), tick(1600), lease(1601, a, 10)], expected: ['0/0']},
	{name: 'gives no lease that rests on control without a delegation', events: [...election, lease(1602, a, 10)], expected: ['1000/0']},
	{name: 'counts no earlier life of a member', events: [table(0, 10), tick(1600), granted(1601, 1600, record('b', 2), 10), lease(1602, a, 10)], expected: ['0/0']},
	{name: 'ends leases with its support', events: [...election, lease(3000, a, 10), lease(3085, a, 10)], expected: ['85/0', '0/0']},
	{
		name: 'counts support from when it asked',
		events: [table(0, 10), tick(1600), granted(2500, 1600, b, 10), lease(3000, a, 10)],
		expected: ['85/0'],
	},
	{
		name: 'counts a delegation from when it asked, and ends leases with it',
		events: [...election, delegated(2300, 1650, 10), ...renewal(2400, 10), lease(2700, a, 10), lease(3135, a, 10)],
		expected: ['drained 0', '1000/435', '750/0'],
	},
	{name: 'loses its tenure with a member that leaves the roster', events: [...election, table(1700, 11, [a, c]), lease(1701, a, 11)], expected: ['0/0']},
	{name: 'refuses a lease to an older table than its own at the election', events: [...election, lease(1602, c, 9), lease(1603, c, 10)], expected: ['0/0', '1000/0']},
	{
		name: 'reports nothing before what its predecessors allowed is over',
		events: [...election, lease(1602, a, 10), ...renewal(1700, 10), tick(2400), tick(2650)],
		expected: ['1000/0', 'drained 0', 'drained 0', 'drained 10'],
	},
	{
		name: 'waits for a holder until its lease and its requests are over',
		events: [...election, lease(1700, c, 10, 5), ...renewal(2500, 10), ...renewal(3500, 10), tick(3536), tick(3600)],
		expected: ['1000/0', 'drained 5', 'drained 5', 'drained 10'],
	},
	{
		name: 'reports no more than a majority acknowledged',
		events: [...election, table(2400, 20), lease(2401, a, 20), lease(2402, c, 20), ...renewal(2500, 10), tick(2800), ...renewal(2900, 20), tick(3150)],
		expected: ['684/0', '683/0', 'drained 10', 'drained 10', 'drained 20'],
	},
	{
		name: 'takes a lease request of a supporter for an acknowledgement',
		events: [...election, table(2400, 20), tick(2401), lease(2402, a, 20), lease(2403, b, 20), tick(2700)],
		expected: ['drained 0', '683/0', '682/0', 'drained 20'],
	},
	{
		name: 'takes nothing for an acknowledgement once the support has run out',
		events: [
			...election, granted(1602, 1600, c, 10), ...renewal(2900, 10), table(3200, 20), lease(3201, a, 20), lease(3202, c, 20), tick(3203),
		],
		expected: ['drained 10', '1000/0', '1000/0', 'drained 10'],
	},
	{
		name: 'refuses a lease to an older table than it reported',
		events: [...election, table(2400, 20), lease(2402, a, 20), lease(2403, b, 20), tick(2700), lease(2701, c, 15), lease(2702, c, 20)],
		expected: ['683/0', '682/0', 'drained 20', '0/0', '383/0'],
	},
	{
		name: 'lets older tables catch up after a gap in its delegation',
		events: [...election, delegated(1620, 1610, 10), table(2900, 30), ...renewal(3000, 10), delegated(3500, 3400, 30), lease(3501, c, 25), lease(3502, c, 30)],
		expected: ['drained 10', '0/0', '983/983'],
	},
	{
		name: 'serves older tables while its delegation has no gap',
		events: [...election, delegated(1620, 1610, 10), table(2200, 30), ...renewal(2300, 10), delegated(2400, 2300, 30), lease(2501, c, 25)],
		expected: ['drained 0', '1000/1000'],
	},
	{
		name: 'begins anew after a pause',
		events: [...election, lease(1700, a, 10), ...renewal(2500, 10), tick(5000), granted(5001, 5000, b, 10), tick(5100), tick(5900)],
		expected: ['1000/0', 'drained 10', 'drained 0', 'drained 10'],
	},
	{name: 'takes no answer that belongs to its time before a pause', events: [...election, granted(4000, 2900, b, 10), granted(4000, 2900, c, 10), lease(4001, a, 10)], expected: ['0/0']},
	{
		name: 'takes no answer to a candidacy that it gave up',
		events: [table(0, 10), tick(1600), refused(1601, 1600, c, b), granted(1602, 1600, b, 10), lease(1603, a, 10), asked(1604, b, 10)],
		expected: ['0/0', 'supports'],
	},
	{name: 'stands no more once it resigned', events: [...election, {kind: 'resigned', now: 1602}, ...renewal(1900, 10), lease(3086, a, 10)], expected: ['drained 0', '0/0']},
];

for (const {name, events, expected} of cases) {
	test(`steward: ${name}`, () => {
		let state = createSteward(a, 0, terms);
		const effects = events.flatMap(event => {
			const next = stepSteward(state, event);
			state = next.state;
			return next.effects.flatMap(effect => shown(effect));
		});
		assert.deepEqual(effects, expected);
	});
}
