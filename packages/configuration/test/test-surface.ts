/**
 * What arrives from outside: tokens, bodies of requests, problem bodies.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type ServiceContract} from '@dogwooddeck/model/contract';
import {failure, FailureKind, type Failure} from '@dogwooddeck/model/failure';
import {type Result} from 'true-myth/result';
import * as v from 'valibot';
import {applyConfiguration} from '../src/apply.js';
import {
	authorityOf, hashToken, requireOperator, requireTeam,
} from '../src/authority.js';
import {checkContract, contractProblems} from '../src/contract-check.js';
import {contractFileSchema} from '../src/contract-schema.js';
import {
	parseApplyRequest, parseDrainRequest, parseMoveRequest, parseTokenRequest, parseZoneDeclareLostRequest,
} from '../src/messages.js';
import {failureOfProblem, problemOfFailure} from '../src/problem.js';
import {parseDuration, parseSize} from '../src/quantity.js';
import {initialConfiguration, type ConfigurationCommand} from '../src/tree.js';
import {contract} from './sample.js';

const quantities: ReadonlyArray<readonly [text: string, duration: number | undefined, size: number | undefined]> = [
	['1500 ms', 1500, undefined],
	['2 s', 2000, undefined],
	['1.5 s', 1500, undefined],
	['1 MiB', undefined, 1_048_576],
	['0.3 B', undefined, undefined],
	['2s', undefined, undefined],
	['2', undefined, undefined],
	['-2 s', undefined, undefined],
	['2 constructor', undefined, undefined],
	['1 S', undefined, undefined],
	['99999999999999 d', undefined, undefined],
];

for (const [text, duration, size] of quantities) {
	test(`quantity: ${text}`, () => {
		assert.deepEqual([parseDuration(text), parseSize(text)], [duration, size]);
	});
}

const commands: readonly ConfigurationCommand[] = [
	{
		kind: 'founded', operation: 'founding-1', operatorTokenHash: hashToken('operator'), at: 0,
	},
	{
		kind: 'tokenSet', team: 'bermrand', operation: 'token-of-bermrand', tokenHash: hashToken('first'), at: 0,
	},
	{
		kind: 'tokenSet', team: 'bermrand', operation: 'token-again', tokenHash: hashToken('second'), at: 0,
	},
	{
		kind: 'founded', operation: 'founding-2', operatorTokenHash: hashToken('usurper'), at: 0,
	},
];

const rights: ReadonlyArray<readonly [token: string, team: string, forTeam: string, forOperator: string]> = [
	['operator', 'bermrand', 'given', 'given'],
	['second', 'bermrand', 'given', FailureKind.forbidden],
	['second', 'valbrembo', FailureKind.forbidden, FailureKind.forbidden],
	['first', 'bermrand', FailureKind.unauthenticated, FailureKind.unauthenticated],
	['usurper', 'bermrand', FailureKind.unauthenticated, FailureKind.unauthenticated],
	['', 'bermrand', FailureKind.unauthenticated, FailureKind.unauthenticated],
];

function kindOf(result: Result<unknown, Failure>): string {
	return result.match({Ok: () => 'given', Err: refusal => refusal.kind});
}

for (const [token, team, forTeam, forOperator] of rights) {
	test(`authority: the token "${token}" for ${team}`, () => {
		const state = commands.reduce((before, command, index) => applyConfiguration(before, command, index + 1).state, initialConfiguration);
		const authority = authorityOf(state, hashToken(token));
		assert.equal(kindOf(authority.andThen(known => requireTeam(known, team))), forTeam);
		assert.equal(kindOf(authority.andThen(known => requireOperator(known))), forOperator);
		assert.ok(!JSON.stringify(state).includes('"second"'), 'the state holds a token');
	});
}

const operation = 'operation-1';
const wanted = {
	team: 'bermrand', operation, base: 0, services: [contract('bermrand/schedule')],
};

const bodies: ReadonlyArray<{
	readonly name: string;
	readonly parse: (body: unknown) => Result<unknown, Failure>;
	readonly body: unknown;
	readonly expected: readonly string[];
}> = [
	{
		name: 'apply', parse: parseApplyRequest, body: wanted, expected: [],
	},
	{
		name: 'apply with no body', parse: parseApplyRequest, body: undefined, expected: [': missing'],
	},
	{
		name: 'apply with wrong fields',
		parse: parseApplyRequest,
		body: {
			...wanted, base: -1, services: [{...contract('bermrand/schedule'), slots: 0, sloths: 1}], extra: true,
		},
		expected: [
			'base: expected a whole number from 0 to 9007199254740991',
			'services.0.slots: expected a whole number from 1 to 65536',
			'services.0.sloths: unknown key',
			'extra: unknown key',
		],
	},
	{
		name: 'apply with too many services',
		parse: parseApplyRequest,
		body: {...wanted, services: Array.from({length: 257}, () => contract('bermrand/schedule'))},
		expected: ['services: expected at most 256 items'],
	},
	{
		name: 'apply with a team that is no name',
		parse: parseApplyRequest,
		body: {...wanted, team: '__proto__'},
		expected: ['team: expected a name of lower-case letters, digits and hyphens that starts with a letter, at most 63 characters'],
	},
	{
		name: 'declare-lost of a zone whose name every object has',
		parse: parseZoneDeclareLostRequest,
		body: {zone: 'constructor', operation, confirm: ''},
		expected: ['zone: expected a name of lower-case letters, digits and hyphens that starts with a letter, at most 63 characters'],
	},
	{
		name: 'move',
		parse: parseMoveRequest,
		body: {
			service: 'bermrand/schedule', slot: 1.5, upstream: 'server 1', operation: 'x',
		},
		expected: [
			'slot: expected a whole number from 0 to 131072',
			'upstream: expected an upstream\'s name',
			'operation: expected an operation identifier of 8 to 64 letters, digits and "-_.:"',
		],
	},
	{
		name: 'drain', parse: parseDrainRequest, body: {service: 'bermrand/schedule', upstream: 'server-1', operation}, expected: [],
	},
	{
		name: 'declare-lost', parse: parseZoneDeclareLostRequest, body: {zone: 'noord-a', operation}, expected: ['confirm: missing'],
	},
	{
		name: 'token',
		parse: parseTokenRequest,
		body: {team: 'bermrand', operation, token: 'short'},
		expected: ['token: expected a token of 24 to 256 letters, digits and "-_.~"'],
	},
];

for (const {name, parse, body, expected} of bodies) {
	test(`body: ${name}`, () => {
		const problems = parse(body).match({Ok: () => [], Err: refusal => refusal.problems ?? []});
		assert.deepEqual(problems.map(problem => `${problem.path}: ${problem.reason}`), expected);
		assert.ok(problems.every(problem => problem.file === 'request'));
	});
}

const route = {method: 'GET', idempotent: true, importance: 'high'} as const;

const reserves: ReadonlyArray<{readonly value: unknown; readonly isTaken: boolean}> = [
	{value: 0, isTaken: true},
	{value: 1, isTaken: true},
	{value: 1.1, isTaken: false},
	{value: -0.1, isTaken: false},
	{value: '0.2', isTaken: false},
];

for (const {value, isTaken} of reserves) {
	test(`contract: a reserve of ${JSON.stringify(value)} is ${isTaken ? 'taken' : 'refused'}`, () => {
		const file = {
			prefix: '/schedule', key: {place: 'path', segment: 0}, limits: [{
				name: 'reads', amount: 1, unit: 'leafing', cut_reserve: value,
			}],
		};
		assert.equal(v.safeParse(contractFileSchema, file).success, isTaken);
	});
}

const contracts: ReadonlyArray<{readonly name: string; readonly more: Partial<ServiceContract>; readonly expected: readonly string[]}> = [
	{
		name: 'a route that stands twice',
		more: {routes: [{...route, path: '/*'}, {...route, path: '/*', idempotent: false}]},
		expected: ['routes.1: "GET /*" stands twice'],
	},
	{
		name: 'a route behind a wider one',
		more: {routes: [{...route, path: '/*/*'}, {...route, path: '/*/orders'}, {...route, method: 'POST', path: '/*/orders'}]},
		expected: ['routes.1.path: is never reached: routes.0, "/*/*", comes first'],
	},
	{
		name: 'a wider route behind a route', more: {routes: [{...route, path: '/*/orders'}, {...route, path: '/*/*'}]}, expected: [],
	},
	{
		name: 'a route without the key\'s segment',
		more: {key: {place: 'path', segment: 1}, routes: [{...route, path: '/*'}]},
		expected: ['routes.0.path: has no segment 1, where the key stands'],
	},
	{
		name: 'an objective past the longest deadline',
		more: {
			objectives: [{
				name: 'fast', target: 0.9, withinMilliseconds: 1501, periodDays: 28,
			}],
		},
		expected: ['objectives.0.within: is longer than the longest deadline, 1500 ms'],
	},
	{
		name: 'a limit in an undeclared unit',
		more: {limits: [{name: 'reads', amount: 1, unit: 'leafing'}]},
		expected: ['limits.0.unit: the unit "leafing" is not declared under units'],
	},
];

for (const {name, more, expected} of contracts) {
	test(`contract: ${name}`, () => {
		const problems = contractProblems(contract('bermrand/schedule', more), 'schedule.toml');
		assert.deepEqual(problems.map(problem => `${problem.path}: ${problem.reason}`), expected);
	});
}

const servedAgain: ReadonlyArray<readonly [written: unknown, read: number | string | undefined]> = [
	[undefined, undefined],
	['4 s', 4000],
	['1 d', 86_400_000],
	['0 ms', 'schedule.toml: served_again_within: expected a duration such as "1500 ms" or "2 s", from 1 to 86400000 ms'],
	[4000, 'schedule.toml: served_again_within: expected a duration with its unit, such as "1500 ms"'],
];

for (const [written, expected] of servedAgain) {
	test(`contract: served_again_within = ${JSON.stringify(written)}`, () => {
		const content = {prefix: '/schedule', key: {place: 'path', segment: 0}, ...(written === undefined ? {} : {served_again_within: written})};
		const checked = checkContract({file: 'schedule.toml', service: 'bermrand/schedule', content});
		assert.equal(checked.match<unknown>({Ok: read => read.servedAgainWithinMilliseconds, Err: refusal => refusal.detail}), expected);
		const sent = parseApplyRequest({...wanted, services: checked.isOk ? [checked.value] : []});
		assert.equal(sent.match<unknown>({Ok: ({services}) => services[0]?.servedAgainWithinMilliseconds, Err: () => 'refused'}), checked.isOk ? expected : undefined);
	});
}

test('contract: a check that the caller adds is asked too', () => {
	const content = {prefix: '/schedule', key: {place: 'path', segment: 0}};
	const checked = checkContract({file: 'schedule.toml', service: 'bermrand/schedule', content}, [
		(read, file) => [{file, path: 'longest_deadline', reason: `${read.longestDeadlineMilliseconds} ms is too long`}],
	]);
	assert.equal(checked.match({Ok: () => '', Err: refusal => refusal.detail}), 'schedule.toml: longest_deadline: 1500 ms is too long');
});

for (const kind of Object.values(FailureKind)) {
	test(`problem: ${kind} is read back as it was written`, () => {
		const written = failure(kind, 'what is wrong', {winningRevision: 7, leader: 'entry-1', problems: [{file: 'a', path: 'b', reason: 'c'}]});
		const body = problemOfFailure(written);
		assert.deepEqual(failureOfProblem(body.status, structuredClone(body)), written);
		assert.ok(body.status >= 400);
	});
}

const foreign: ReadonlyArray<readonly [status: number, body: unknown, kind: FailureKind]> = [
	[401, undefined, FailureKind.unauthenticated],
	[503, '<html>', FailureKind.notReady],
	[500, {kind: 'unheard-of', detail: 'x'}, FailureKind.internal],
];

for (const [status, body, kind] of foreign) {
	test(`problem: a foreign body with status ${status}`, () => {
		assert.equal(failureOfProblem(status, body).kind, kind);
	});
}
