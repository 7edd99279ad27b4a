/**
 * Renewal of support, piggybacked on lease requests. `a` is steward since 1601 ms
 * by its own support and that of `b`, both until 3085 ms. A promise of support
 * lasts 1531 ms for the member that makes it and 1485 ms for the steward that
 * counts it.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type InstanceRecord} from '@dogwooddeck/model/registry';
import {
	a, supportRequested, b, c, election, supportGranted, leaseRequested, record, leaseRequestedWithRenewal, tableChanged, tick,
} from './steward-events.js';
import {stewardDueAt} from '@dogwooddeck/ownership/due';
import {createSteward, stepSteward} from '@dogwooddeck/ownership/steward';
import {type StewardEffect, type StewardEvent, type StewardState} from '@dogwooddeck/ownership/steward-state';
import {defaultLeaseTerms as terms} from '@dogwooddeck/ownership/terms';

const resigned: StewardEvent = {kind: 'resigned', now: 1602};
const leaseSent = (now: number, to: InstanceRecord): StewardEvent => ({kind: 'leaseSent', now, to});
const leaseAnswered = (now: number, steward: InstanceRecord, supportAskedAt?: number): StewardEvent => ({
	kind: 'leaseAnswered', now, answer: {
		steward, holdMilliseconds: 0, controlMilliseconds: 0, shares: [], ...(supportAskedAt !== undefined && {supportAskedAt}),
	},
});
const renewalBy = (now: number, instance: InstanceRecord, askedAt: number, steward = a) => leaseRequestedWithRenewal(now, instance, 10, {steward, askedAt});

const ticks = (...moments: readonly number[]) => moments.map(now => tick(now));

function describeEffect(effect: StewardEffect): readonly string[] {
	const texts = {
		askSupport: () => effect.kind === 'askSupport' ? [`asks ${effect.to.name}`] : [],
		answerSupport: () => [effect.kind === 'answerSupport' && effect.answer.granted ? 'supports' : 'refuses'],
		answerLease: () => effect.kind === 'answerLease' ? [`${Math.round(effect.answer.holdMilliseconds)} asked at ${effect.answer.supportAskedAt ?? 'no time'}`] : [],
		renewSupport: () => effect.kind === 'renewSupport' ? [`renews ${effect.renewal.askedAt}`] : [],
		askDelegation: () => effect.kind === 'askDelegation' ? [`drained ${effect.request.drained}`] : [],
	};
	return texts[effect.kind]();
}

function run(events: readonly StewardEvent[]): {readonly state: StewardState; readonly effects: readonly string[]} {
	let state = createSteward(a, 0, terms);
	const effects = events.flatMap(event => {
		const next = stepSteward(state, event);
		state = next.state;
		return next.effects.flatMap(effect => describeEffect(effect));
	});
	return {state, effects};
}

type Case = {readonly name: string; readonly events: readonly StewardEvent[]; readonly expected: readonly string[]};

const supporterOfB = [tableChanged(0, 10), supportRequested(1600, b, 10)];

const memberCases: readonly Case[] = [
	{
		name: 'renews with the next request, and its promise lasts from then',
		events: [...supporterOfB, leaseAnswered(1650, b, 77), leaseSent(1900, b), supportRequested(3200, c, 10), supportRequested(3430, c, 10), supportRequested(3431, c, 10)],
		expected: ['supports', 'renews 77', 'refuses', 'refuses', 'supports'],
	},
	{
		name: 'answers each request once',
		events: [...supporterOfB, leaseAnswered(1650, b, 77), leaseSent(1900, b), leaseSent(1925, b), leaseAnswered(1930, b, 77), leaseSent(2150, b), supportRequested(3431, c, 10)],
		expected: ['supports', 'renews 77', 'supports'],
	},
	{
		name: 'answers the newest of several requests that arrive out of order',
		events: [...supporterOfB, leaseAnswered(1650, b, 78), leaseAnswered(1651, b, 77), leaseSent(1900, b), leaseAnswered(1901, b, 77), leaseSent(1950, b)],
		expected: ['supports', 'renews 78'],
	},
	{
		name: 'does not renew support for an instance that it does not support',
		events: [...supporterOfB, leaseAnswered(1650, c, 77), leaseSent(1900, c), supportRequested(1901, c, 10)],
		expected: ['supports', 'refuses'],
	},
	{name: 'renews nothing with a lease request to another instance', events: [...supporterOfB, leaseAnswered(1650, b, 77), leaseSent(1900, c)], expected: ['supports']},
	{
		name: 'renews nothing with a lease request to another incarnation',
		events: [...supporterOfB, leaseAnswered(1650, b, 77), leaseSent(1900, record('b', 2))],
		expected: ['supports'],
	},
	{
		name: 'renews nothing once its promise has expired',
		events: [...supporterOfB, leaseAnswered(1650, b, 77), leaseSent(3131, b), supportRequested(3132, c, 10)],
		expected: ['supports', 'supports'],
	},
	{
		name: 'renews nothing after it switched to another candidate',
		events: [...supporterOfB, leaseAnswered(1650, b, 77), supportRequested(3200, c, 10), leaseSent(3201, b), supportRequested(3202, b, 10)],
		expected: ['supports', 'supports', 'refuses'],
	},
	{name: 'promises nothing during its first term', events: [tableChanged(0, 10), leaseAnswered(1, b, 77), leaseSent(250, b), supportRequested(251, b, 10)], expected: ['refuses']},
	{name: 'renews nothing without a request for support', events: [...supporterOfB, leaseAnswered(1650, b), leaseSent(1900, b)], expected: ['supports']},
];

/** The lease that `a` grants itself at 3000 ms is as long as its remaining support, which depends on a renewal by `b`. */
const remainingSupport = (...events: readonly StewardEvent[]) => [...election, ...ticks(1850, 2100, 2350), ...events, tick(2600), leaseRequested(3000, a, 10)];

const stewardCases: readonly Case[] = [
	{
		name: 'requests support with each lease answer',
		events: [...election, leaseRequested(1650, b, 10), leaseRequested(1651, c, 9)],
		expected: ['asks b', 'asks c', '1000 asked at 1650', '0 asked at 1651'],
	},
	{
		name: 'requests no support with lease answers while it is not elected',
		events: [tableChanged(0, 10), tick(1600), leaseRequested(1601, b, 10)],
		expected: ['asks b', 'asks c', '0 asked at no time'],
	},
	{
		name: 'requests no support with lease answers once it resigned',
		events: [...election, resigned, leaseRequested(1603, b, 10)],
		expected: ['asks b', 'asks c', '1000 asked at no time'],
	},
];

const countedCase = (name: string, events: readonly StewardEvent[], milliseconds: number) => ({name, events, milliseconds});
const countedCases = [
	countedCase('without a renewal', remainingSupport(), 85),
	countedCase('from the time of the request, not of the renewal', remainingSupport(renewalBy(2500, b, 1650)), 135),
	countedCase('of a member that did not support it before', remainingSupport(renewalBy(2500, c, 1700)), 185),
	countedCase('of a renewal that arrives twice', remainingSupport(renewalBy(2500, b, 1700), renewalBy(2510, b, 1700)), 185),
	countedCase('of renewals that arrive out of order', remainingSupport(renewalBy(2500, b, 1900), renewalBy(2510, b, 1700)), 385),
	countedCase('for an earlier incarnation of the steward', remainingSupport(renewalBy(2500, b, 1900, record('a', 0))), 85),
	countedCase('for another steward', remainingSupport(renewalBy(2500, b, 1900, c)), 85),
	countedCase('requested at a time in the future', remainingSupport(renewalBy(2500, b, 2501)), 85),
	countedCase('by an earlier incarnation of a member', remainingSupport(renewalBy(2500, record('b', 0), 1900)), 85),
	countedCase('by a later incarnation of a member', remainingSupport(renewalBy(2500, record('b', 2), 1900)), 85),
	countedCase('after it resigned', remainingSupport(resigned, renewalBy(2500, b, 1900)), 85),
	countedCase('after its tenure', [...election, renewalBy(3100, b, 2900), leaseRequested(3101, a, 10)], 0),
];

/** `b` acknowledged 10 and `c` nothing, so that a majority has acknowledged 20 only if the renewal counts. */
const acknowledged = (renewal: StewardEvent) => [...election, tableChanged(2400, 20), tick(2401), leaseRequested(2402, a, 20), renewal, tick(2700)];

const acknowledgedCases = [
	{name: 'with the support that it renews', events: acknowledged(leaseRequestedWithRenewal(2403, c, 20, {steward: a, askedAt: 1700})), drained: 20},
	{name: 'with none that was requested before the tenure', events: acknowledged(leaseRequestedWithRenewal(2403, c, 20, {steward: a, askedAt: 1600})), drained: 10},
	{name: 'with none for an earlier incarnation', events: acknowledged(leaseRequestedWithRenewal(2403, c, 20, {steward: record('a', 0), askedAt: 1700})), drained: 10},
	{name: 'with no support', events: acknowledged(leaseRequested(2403, c, 20)), drained: 10},
];

const roundCases: readonly Case[] = [
	{name: 'requests support of all members in an election', events: [tableChanged(0, 10), tick(1600), tick(1850)], expected: ['asks b', 'asks c', 'asks b', 'asks c']},
	{name: 'requests support only of members that have not renewed', events: [...election, ...ticks(1850, 2100)], expected: ['asks b', 'asks c', 'asks c', 'asks c']},
	{
		name: 'requests support as soon as a renewal is overdue',
		events: [...election, ...ticks(1850, 2100, 2149, 2150)],
		expected: ['asks b', 'asks c', 'asks c', 'asks c', 'asks b', 'asks c'],
	},
	{
		name: 'makes no calls to supporters that renew with lease requests',
		events: [...election, supportGranted(1602, 1600, c, 10), ...ticks(1850), renewalBy(2000, b, 1750), renewalBy(2000, c, 1750), ...ticks(2100, 2150, 2299)],
		expected: ['asks b', 'asks c', '1000 asked at 2000', '1000 asked at 2000'],
	},
	{
		name: 'continues to request support of an unresponsive member, once a round',
		events: [...election, ...ticks(1850, 2100, 2150, 2175, 2400)],
		expected: ['asks b', 'asks c', 'asks c', 'asks c', 'asks b', 'asks c', 'asks b', 'asks c'],
	},
	{
		name: 'requests support of a newcomer before it is seated',
		events: [...election, leaseRequested(1700, record('d'), 10), ...ticks(1850), renewalBy(1851, record('d'), 1700), ...ticks(2100)],
		expected: ['asks b', 'asks c', '1000 asked at 1700', 'asks c', 'asks d', '1000 asked at 1851', 'asks c'],
	},
];

for (const {name, events, expected} of [...memberCases, ...stewardCases, ...roundCases]) {
	test(`renewal: ${name}`, () => {
		assert.deepEqual(run(events).effects.filter(effect => !effect.startsWith('drained')), expected);
	});
}

for (const {name, events, milliseconds} of countedCases) {
	test(`renewal: counts support ${name}`, () => {
		const last = run(events).effects.findLast(effect => effect.includes('asked at'));
		assert.equal(last?.split(' ')[0], `${milliseconds}`);
	});
}

for (const {name, events, drained} of acknowledgedCases) {
	test(`renewal: acknowledges ${name}`, () => {
		const last = run(events).effects.findLast(effect => effect.startsWith('drained'));
		assert.equal(last, `drained ${drained}`);
	});
}

test('renewal: a tick is due when a renewal becomes overdue, before the next round', () => {
	const {state} = run([...election, ...ticks(1850, 2100)]);
	assert.equal(stewardDueAt({...state, delegationRequestedAt: Infinity}, 2101), 2150);
});
