/**
 * Whatever JSON arrives, a parser gives a result and throws nothing.
 */
import assert from 'node:assert/strict';
import {env} from 'node:process';
import {test} from 'node:test';
import {type Failure} from '@dogwooddeck/model/failure';
import * as fc from 'fast-check';
import {type Result} from 'true-myth/result';
import {checkContract} from '../src/contract-check.js';
import {
	parseApplyRequest, parseDrainRequest, parseMoveRequest, parseTokenRequest, parseZoneDeclareLostRequest,
} from '../src/messages.js';
import {failureOfProblem} from '../src/problem.js';
import {contract} from './sample.js';

const seed = Number(env.DOGWOODDECK_SEED ?? 20_261_204);

const valid = {
	team: 'bermrand',
	operation: 'operation-1',
	base: 0,
	services: [contract('bermrand/schedule')],
	service: 'bermrand/schedule',
	upstream: 'server-1',
	prefix: '/schedule',
	key: {place: 'path', segment: 0},
};

/** Any JSON, or a valid body with one field replaced by any JSON. */
const hostile = fc.oneof(
	fc.jsonValue(),
	fc.tuple(fc.constantFrom(...Object.keys(valid), '__proto__', 'constructor'), fc.jsonValue())
		.map(([key, value]) => Object.defineProperty({...valid}, key, {value, enumerable: true})),
	fc.tuple(fc.constantFrom(...Object.keys(valid.services[0]!)), fc.jsonValue())
		.map(([key, value]) => ({...valid, services: [{...valid.services[0], [key]: value}]})),
);

const parsers: ReadonlyArray<readonly [name: string, parse: (body: unknown) => Result<unknown, Failure>]> = [
	['apply', parseApplyRequest],
	['move', parseMoveRequest],
	['drain', parseDrainRequest],
	['declare-lost', parseZoneDeclareLostRequest],
	['token', parseTokenRequest],
	['contract file', content => checkContract({file: 'schedule.toml', service: 'bermrand/schedule', content})],
];

for (const [name, parse] of parsers) {
	test(`hostile: ${name} (seed ${seed})`, () => {
		fc.assert(fc.property(hostile, body => {
			const problems = parse(body).match({Ok: () => undefined, Err: refusal => refusal.problems});
			assert.ok(problems === undefined || problems.length > 0, 'a refusal says why');
		}), {seed, numRuns: 500});
	});
}

test(`hostile: a problem body (seed ${seed})`, () => {
	fc.assert(fc.property(fc.integer({min: 100, max: 999}), hostile, (status, body) => {
		assert.ok(failureOfProblem(status, body).kind.length > 0);
	}), {seed, numRuns: 500});
});
