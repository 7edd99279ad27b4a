/**
 * Requests of operators and upstreams that must be rejected: each fails with its kind,
 * the configuration doesn't change, and the instance stays ready.
 */
import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import {defaultContract} from '@dogwooddeck/model/contract';
import {FailureKind} from '@dogwooddeck/model/failure';
import {
	keys, type OneInstance, operatorToken, startOne,
} from './one-instance.js';

const bermrandToken = 'bermrand-token-of-the-test-00001';
const valbremboToken = 'valbrembo-token-of-the-test-0001';
const service = {
	name: 'bermrand/schedule',
	prefix: '/schedule',
	key: {place: 'path', segment: 0},
};

let one: OneInstance;

before(async () => {
	one = await startOne();
	for (const [team, token] of [['bermrand', bermrandToken], ['valbrembo', valbremboToken]]) {
		const set = await one.send('POST', '/operator/token', {token: operatorToken, body: {team, token, operation: `token-of-${team}`}});
		assert.equal(set.status, 200, JSON.stringify(set.body));
	}
});

after(async () => {
	await one.stop();
	assert.deepEqual(one.failures, []);
});

const apply = {
	team: 'bermrand', operation: 'operation-1', base: 0, services: [],
};
const announcement = {
	service: 'bermrand/schedule', name: 'viewer-1', incarnation: 1, region: 'noord', zone: 'noord-a', address: '127.0.0.1:9', leaving: false, load: 0,
};
const move = {
	service: 'bermrand/schedule', slot: 0, upstream: 'viewer-1', operation: 'operation-2',
};
const drain = {service: 'bermrand/schedule', upstream: 'viewer-1', operation: 'operation-3'};
const declareLost = {zone: 'noord-z', operation: 'operation-4', confirm: 'the upstreams of noord-z are stopped'};

type Case = {
	readonly name: string;
	readonly method?: 'GET' | 'POST';
	readonly where: string;
	readonly token?: string;
	readonly author?: string;
	readonly body?: unknown;
	readonly kind: FailureKind;
};

const cases: readonly Case[] = [
	{
		name: 'no token', where: '/operator/apply', body: apply, kind: FailureKind.unauthenticated,
	},
	{
		name: 'a wrong token', where: '/operator/apply', token: `${operatorToken}x`, body: apply, kind: FailureKind.unauthenticated,
	},
	{
		name: 'the announce key as operator', where: '/operator/apply', token: keys.announce, body: apply, kind: FailureKind.unauthenticated,
	},
	{
		name: 'a wrong token with a bad body', where: '/operator/apply', token: 'wrong', body: {}, kind: FailureKind.unauthenticated,
	},
	{
		name: 'another team\'s change', where: '/operator/apply', token: valbremboToken, body: apply, kind: FailureKind.forbidden,
	},
	{
		name: 'another team\'s move', where: '/operator/move', token: valbremboToken, body: move, kind: FailureKind.forbidden,
	},
	{
		name: 'another team\'s drain', where: '/operator/drain', token: valbremboToken, body: drain, kind: FailureKind.forbidden,
	},
	{
		name: 'another team\'s history', method: 'GET', where: '/operator/history?team=bermrand', token: valbremboToken, kind: FailureKind.forbidden,
	},
	{
		name: 'another team\'s owners', method: 'GET', where: '/operator/owners?service=bermrand/schedule', token: valbremboToken, kind: FailureKind.forbidden,
	},
	{
		name: 'a team that sets a token', where: '/operator/token', token: bermrandToken, body: {team: 'bermrand', operation: 'operation-5', token: valbremboToken}, kind: FailureKind.forbidden,
	},
	{
		name: 'a team that declares a zone lost', where: '/operator/zone-declare-lost', token: bermrandToken, body: declareLost, kind: FailureKind.forbidden,
	},
	{
		name: 'a move of an unknown service', where: '/operator/move', token: bermrandToken, body: move, kind: FailureKind.notFound,
	},
	{
		name: 'a drain in an unknown service', where: '/operator/drain', token: operatorToken, body: drain, kind: FailureKind.notFound,
	},
	{
		name: 'the owners of an unknown service', method: 'GET', where: '/operator/owners?service=bermrand/schedule', token: operatorToken, kind: FailureKind.notFound,
	},
	{
		name: 'the owners of a service named as a property of every object', method: 'GET', where: '/operator/owners?service=constructor', token: operatorToken, kind: FailureKind.notFound,
	},
	{
		name: 'no service in the query', method: 'GET', where: '/operator/owners', token: operatorToken, kind: FailureKind.malformed,
	},
	{
		name: 'an unknown zone', where: '/operator/zone-declare-lost', token: operatorToken, body: declareLost, kind: FailureKind.notFound,
	},
	{
		name: 'a zone named as a property of every object',
		where: '/operator/zone-declare-lost',
		token: operatorToken,
		body: {zone: 'constructor', operation: 'operation-6', confirm: 'the upstreams of constructor are stopped'},
		kind: FailureKind.settingsInvalid,
	},
	{
		name: 'a zone without the confirmation', where: '/operator/zone-declare-lost', token: operatorToken, body: {...declareLost, confirm: 'yes'}, kind: FailureKind.malformed,
	},
	{
		name: 'a base that is ahead', where: '/operator/apply', token: bermrandToken, body: {...apply, base: 7}, kind: FailureKind.conflict,
	},
	{
		name: 'a service of another team', where: '/operator/apply', token: valbremboToken, body: {...apply, team: 'valbrembo', services: [service]}, kind: FailureKind.settingsInvalid,
	},
	{
		name: 'a stated time until keys are served again that is below the computed bound',
		where: '/operator/apply',
		token: bermrandToken,
		body: {...apply, services: [{...defaultContract, ...service, servedAgainWithinMilliseconds: 3905}]},
		kind: FailureKind.settingsInvalid,
	},
	{
		name: 'a list in place of an object', where: '/operator/apply', token: bermrandToken, body: [apply], kind: FailureKind.settingsInvalid,
	},
	{
		name: 'an author of 10 KB', where: '/operator/apply', token: bermrandToken, author: 'a'.repeat(10_240), body: apply, kind: FailureKind.malformed,
	},
	{
		name: 'an announcement without token', where: '/announce', body: announcement, kind: FailureKind.unauthenticated,
	},
	{
		name: 'an announcement with the operators\' token', where: '/announce', token: operatorToken, body: announcement, kind: FailureKind.unauthenticated,
	},
	{
		name: 'an announcement of an unknown service', where: '/announce', token: keys.announce, body: announcement, kind: FailureKind.notFound,
	},
	...Object.entries({
		service: '__proto__', name: 'viewer 1', incarnation: -1, region: '', zone: 'constructor', address: 'localhost:80', leaving: 'no', load: 2,
	}).map(([field, value]) => ({
		name: `an announcement with a wrong ${field}`, where: '/announce', token: keys.announce, body: {...announcement, [field]: value}, kind: FailureKind.settingsInvalid,
	})),
	{
		name: 'an announcement with an additional field', where: '/announce', token: keys.announce, body: {...announcement, slots: 3}, kind: FailureKind.settingsInvalid,
	},
	{
		name: 'an announced port above 65535', where: '/announce', token: keys.announce, body: {...announcement, address: '127.0.0.1:99999'}, kind: FailureKind.settingsInvalid,
	},
];

async function observedState(): Promise<unknown> {
	const answers = await Promise.all(['configuration?team=bermrand', 'history?team=bermrand', 'configuration?team=valbrembo', 'members'].map(async path =>
		one.send('GET', `/operator/${path}`, {token: operatorToken})));
	return answers.map(({body}) => JSON.stringify(body).replaceAll(/"applied":\d+/gv, ''));
}

async function assertRejected({method = 'POST', where, kind, ...options}: Case): Promise<void> {
	const earlier = await observedState();
	const answer = await one.send(method, where, options);
	assert.equal((answer.body as {readonly kind?: string}).kind, kind, JSON.stringify(answer.body));
	assert.deepEqual(await observedState(), earlier);
	assert.equal(await one.ready(), true);
}

for (const bad of cases) {
	test(`a bad request is rejected: ${bad.name}`, async () => assertRejected(bad));
}
