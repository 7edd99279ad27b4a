import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	defaultContract, Importance, KeyLocation, type KeySource, type ServiceContract,
} from '@dogwooddeck/model/contract';
import {FailureKind} from '@dogwooddeck/model/failure';
import {deadlineOf} from '@dogwooddeck/routing/deadline';
import {
	createTargetIndex, matchService, readKey, type RequestHead, routeOf,
} from '@dogwooddeck/routing/target';

function contractOf(name: string, prefix: string, key: KeySource): ServiceContract {
	return {
		...defaultContract, name, prefix, key, routes: [
			{
				method: 'GET', path: '/*', idempotent: true, importance: Importance.low,
			},
			{
				method: 'POST', path: '/*/visits', idempotent: true, importance: Importance.high,
			},
		],
	};
}

const index = createTargetIndex([
	contractOf('bermrand/schedule', '/schedule', {place: KeyLocation.path, segment: 0}),
	contractOf('bermrand/booking', '/schedule/booking/', {place: KeyLocation.header, name: 'X-Verge'}),
	contractOf('valbrembo/catalogue', '/catalogue', {place: KeyLocation.query, name: 'hide'}),
]);

function headOf(path: string, headers: RequestHead['headers'] = {}, method = 'GET'): RequestHead {
	return {method, path, headers};
}

type KeyCase = {readonly name: string; readonly head: RequestHead; readonly service: string | undefined; readonly key?: string};

const keyCases: readonly KeyCase[] = [
	{
		name: 'a path segment', head: headOf('/schedule/verge-7/today?x=1'), service: 'bermrand/schedule', key: 'verge-7',
	},
	{
		name: 'percent-encoding of the same key', head: headOf('/schedule/verge%2D7'), service: 'bermrand/schedule', key: 'verge-7',
	},
	{
		name: 'invalid percent-encoding', head: headOf('/schedule/%zz'), service: 'bermrand/schedule',
	},
	{
		name: 'no segment', head: headOf('/schedule'), service: 'bermrand/schedule',
	},
	{
		name: 'the prefix with a slash', head: headOf('/schedule/'), service: 'bermrand/schedule',
	},
	{
		name: 'dot segments', head: headOf('/schedule/a/../b'), service: 'bermrand/schedule',
	},
	{
		name: 'encoded dot segments', head: headOf('/schedule/a/%2E%2e/b'), service: 'bermrand/schedule',
	},
	{
		name: 'empty segments', head: headOf('/schedule//a'), service: 'bermrand/schedule',
	},
	{
		name: 'a prefix matches whole segments only', head: headOf('/scheduled/a'), service: undefined,
	},
	{
		name: 'the longest prefix wins', head: headOf('/schedule/booking/1', {'x-verge': 'v'}), service: 'bermrand/booking', key: 'v',
	},
	{
		name: 'a repeated header', head: headOf('/schedule/booking', {'x-verge': ['v', 'w']}), service: 'bermrand/booking',
	},
	{
		name: 'a missing header', head: headOf('/schedule/booking'), service: 'bermrand/booking',
	},
	{
		name: 'a query parameter', head: headOf('/catalogue?a=1&hide=h%201'), service: 'valbrembo/catalogue', key: 'h 1',
	},
	{
		name: 'a repeated query parameter', head: headOf('/catalogue?hide=1&hide=2'), service: 'valbrembo/catalogue',
	},
];

for (const {name, head, service, key} of keyCases) {
	test(`target: ${name}`, () => {
		const target = matchService(index, head.path);
		assert.equal(target?.contract.name, service);
		if (target !== undefined) {
			const read = readKey(target, head);
			assert.equal(read.isOk ? read.value : read.error.kind, key ?? FailureKind.malformed);
		}
	});
}

const routeCases = [
	{
		method: 'GET', path: '/schedule/a', idempotent: true, importance: Importance.low,
	},
	{
		method: 'GET', path: '/schedule/a?b', idempotent: true, importance: Importance.low,
	},
	{
		method: 'GET', path: '/schedule/a/b', idempotent: false, importance: Importance.high,
	},
	{
		method: 'POST', path: '/schedule/a/visits', idempotent: true, importance: Importance.high,
	},
	{
		method: 'POST', path: '/schedule/a', idempotent: false, importance: Importance.high,
	},
	{
		method: 'DELETE', path: '/schedule/a', idempotent: false, importance: Importance.high,
	},
];

for (const {method, path, ...expected} of routeCases) {
	test(`target: the route ${method} ${path}`, () => {
		assert.deepEqual(routeOf(matchService(index, path)!, method, path), expected);
	});
}

const deadlineCases = [
	{requested: undefined, expected: 1600},
	{requested: '300', expected: 400},
	{requested: '90000', expected: 1600},
	{requested: 'soon', expected: 1600},
	{requested: '-1', expected: 1600},
];

for (const {requested, expected} of deadlineCases) {
	test(`deadline: a caller requests ${requested}`, () => {
		const contract = contractOf('s', '/s', {place: KeyLocation.path, segment: 0});
		assert.equal(deadlineOf(contract, headOf('/s/a', {'dogwooddeck-deadline': requested}), 100), expected);
	});
}
