/**
 * The leases that a steward grants, the support that it counts and the drained
 * index that it reports. The steward is `a` in a zone of three. It promises no
 * support before 1531 ms, and a longest deadline of 800 ms makes it wait for
 * 817 ms after its election before it reports a drained index.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	a, supportRequested, b, c, delegationGranted, election, supportGranted, leaseRequested, record, supportRefused, renewalRound, tableChanged, tick,
} from './steward-events.js';
import {createSteward, stepSteward} from '@dogwooddeck/ownership/steward';
import {type StewardEffect, type StewardEvent} from '@dogwooddeck/ownership/steward-state';
import {defaultLeaseTerms as terms} from '@dogwooddeck/ownership/terms';

function describeEffect(effect: StewardEffect): readonly string[] {
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
	{name: 'supports no candidate for one term after its start', events: [tableChanged(0, 10), supportRequested(1500, b, 10), supportRequested(1600, b, 10)], expected: ['refuses', 'supports']},
	{
		name: 'supports one candidate at a time',
		events: [tableChanged(0, 10), supportRequested(1600, b, 10), supportRequested(1700, c, 10), supportRequested(1700, b, 10), supportRequested(3200, c, 10), supportRequested(3231, c, 10)],
		expected: ['supports', 'refuses', 'supports', 'refuses', 'supports'],
	},
	{
		name: 'refuses a later incarnation of the candidate that it supports',
		events: [tableChanged(0, 10), supportRequested(1600, b, 10), supportRequested(1700, record('b', 2), 10)],
		expected: ['supports', 'refuses'],
	},
	{name: 'refuses a candidate that applied less', events: [tableChanged(0, 10), supportRequested(1600, b, 9), supportRequested(1600, c, 10)], expected: ['refuses', 'supports']},
	{
		name: 'continues to support a steward that falls behind',
		events: [tableChanged(0, 10), supportRequested(1600, b, 10), tableChanged(1650, 11), supportRequested(1700, b, 10)],
		expected: ['supports', 'supports'],
	},
	{name: 'grants no lease without a majority', events: [tableChanged(0, 10), tick(1600), leaseRequested(1601, a, 10)], expected: ['0/0']},
	{name: 'grants no control lease without a delegation', events: [...election, leaseRequested(1602, a, 10)], expected: ['1000/0']},
	{
		name: 'counts no support of another incarnation of a member',
		events: [tableChanged(0, 10), tick(1600), supportGranted(1601, 1600, record('b', 2), 10), leaseRequested(1602, a, 10)],
		expected: ['0/0'],
	},
	{name: 'grants no lease beyond the end of its support', events: [...election, leaseRequested(3000, a, 10), leaseRequested(3085, a, 10)], expected: ['85/0', '0/0']},
	{
		name: 'counts support from when it sent the request',
		events: [tableChanged(0, 10), tick(1600), supportGranted(2500, 1600, b, 10), leaseRequested(3000, a, 10)],
		expected: ['85/0'],
	},
	{
		name: 'counts a delegation from when it sent the request, and ends control leases with it',
		events: [...election, delegationGranted(2300, 1650, 10), ...renewalRound(2400, 10), leaseRequested(2700, a, 10), leaseRequested(3135, a, 10)],
		expected: ['drained 0', '1000/435', '750/0'],
	},
	{name: 'loses its tenure when a supporter that it needs leaves the roster', events: [...election, tableChanged(1700, 11, [a, c]), leaseRequested(1701, a, 11)], expected: ['0/0']},
	{name: 'refuses a lease to an older table than its own at the election', events: [...election, leaseRequested(1602, c, 9), leaseRequested(1603, c, 10)], expected: ['0/0', '1000/0']},
	{
		name: 'reports nothing as drained until requests allowed by earlier stewards have expired',
		events: [...election, leaseRequested(1602, a, 10), ...renewalRound(1700, 10), tick(2400), tick(2650)],
		expected: ['1000/0', 'drained 0', 'drained 0', 'drained 10'],
	},
	{
		name: 'waits for a holder until its lease and its requests have expired',
		events: [...election, leaseRequested(1700, c, 10, 5), ...renewalRound(2500, 10), ...renewalRound(3500, 10), tick(3536), tick(3600)],
		expected: ['1000/0', 'drained 5', 'drained 5', 'drained 10'],
	},
	{
		name: 'reports no more than a majority acknowledged',
		events: [...election, tableChanged(2400, 20), leaseRequested(2401, a, 20), leaseRequested(2402, c, 20), ...renewalRound(2500, 10), tick(2800), ...renewalRound(2900, 20), tick(3150)],
		expected: ['684/0', '683/0', 'drained 10', 'drained 10', 'drained 20'],
	},
	{
		name: 'counts a lease request of a supporter as an acknowledgement',
		events: [...election, tableChanged(2400, 20), tick(2401), leaseRequested(2402, a, 20), leaseRequested(2403, b, 20), tick(2700)],
		expected: ['drained 0', '683/0', '682/0', 'drained 20'],
	},
	{
		name: 'counts no acknowledgement once the support has expired',
		events: [
			...election, supportGranted(1602, 1600, c, 10), ...renewalRound(2900, 10), tableChanged(3200, 20), leaseRequested(3201, a, 20), leaseRequested(3202, c, 20), tick(3203),
		],
		expected: ['drained 10', '1000/0', '1000/0', 'drained 10'],
	},
	{
		name: 'refuses a lease to an instance whose table is older than the drained index that it reported',
		events: [...election, tableChanged(2400, 20), leaseRequested(2402, a, 20), leaseRequested(2403, b, 20), tick(2700), leaseRequested(2701, c, 15), leaseRequested(2702, c, 20)],
		expected: ['683/0', '682/0', 'drained 20', '0/0', '383/0'],
	},
	{
		name: 'refuses leases to older tables after a gap in its delegation',
		events: [
			...election,
			delegationGranted(1620, 1610, 10),
			tableChanged(2900, 30),
			...renewalRound(3000, 10),
			delegationGranted(3500, 3400, 30),
			leaseRequested(3501, c, 25),
			leaseRequested(3502, c, 30),
		],
		expected: ['drained 10', '0/0', '983/983'],
	},
	{
		name: 'grants leases to older tables while its delegation has no gap',
		events: [...election, delegationGranted(1620, 1610, 10), tableChanged(2200, 30), ...renewalRound(2300, 10), delegationGranted(2400, 2300, 30), leaseRequested(2501, c, 25)],
		expected: ['drained 0', '1000/1000'],
	},
	{
		name: 'starts a new tenure after a pause',
		events: [...election, leaseRequested(1700, a, 10), ...renewalRound(2500, 10), tick(5000), supportGranted(5001, 5000, b, 10), tick(5100), tick(5900)],
		expected: ['1000/0', 'drained 10', 'drained 0', 'drained 10'],
	},
	{
		name: 'ignores answers to requests from before a pause',
		events: [...election, supportGranted(4000, 2900, b, 10), supportGranted(4000, 2900, c, 10), leaseRequested(4001, a, 10)],
		expected: ['0/0'],
	},
	{
		name: 'ignores answers for a candidacy that it withdrew',
		events: [tableChanged(0, 10), tick(1600), supportRefused(1601, 1600, c, b), supportGranted(1602, 1600, b, 10), leaseRequested(1603, a, 10), supportRequested(1604, b, 10)],
		expected: ['0/0', 'supports'],
	},
	{name: 'does not renew its tenure once it resigned', events: [...election, {kind: 'resigned', now: 1602}, ...renewalRound(1900, 10), leaseRequested(3086, a, 10)], expected: ['drained 0', '0/0']},
];

for (const {name, events, expected} of cases) {
	test(`steward: ${name}`, () => {
		let state = createSteward(a, 0, terms);
		const effects = events.flatMap(event => {
			const next = stepSteward(state, event);
			state = next.state;
			return next.effects.flatMap(effect => describeEffect(effect));
		});
		assert.deepEqual(effects, expected);
	});
}
