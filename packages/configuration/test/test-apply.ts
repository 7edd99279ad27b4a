import assert from 'node:assert/strict';
import {test} from 'node:test';
import {FailureKind} from '@dogwooddeck/model/failure';
import {applyConfiguration} from '../src/apply.js';
import {
	contractsOf, initialConfiguration, revisionOf, type ConfigurationCommand,
} from '../src/tree.js';
import {applied, contract, restarted} from './sample.js';

/** An answer in few words: the revision, or the kind of failure and the revision that stands. */
type Expected = number | string;

const schedule = contract('bermrand/schedule');
const booking = contract('bermrand/booking');

function founded(operation: string, operatorTokenHash: string): ConfigurationCommand {
	return {
		kind: 'founded', operation, operatorTokenHash, at: 0,
	};
}

const cases: ReadonlyArray<{
	readonly name: string;
	readonly commands: readonly ConfigurationCommand[];
	readonly expected: readonly Expected[];
	readonly services: readonly string[];
}> = [
	{
		name: 'the first of two changes with equal base wins',
		commands: [applied('operation-1', 0, [schedule]), applied('operation-2', 0, [booking])],
		expected: [1, `${FailureKind.conflict} 1`],
		services: ['bermrand/schedule'],
	},
	{
		name: 'an operation that is sent again gets the first answer',
		commands: [
			applied('operation-1', 0, [schedule]), applied('operation-2', 1, [schedule, booking]), applied('operation-1', 0, [schedule]),
		],
		expected: [1, 2, 1],
		services: ['bermrand/booking', 'bermrand/schedule'],
	},
	{
		name: 'a refusal that is sent again is refused again, also when it would pass now',
		commands: [
			applied('operation-1', 1, [schedule]), applied('operation-2', 0, [booking]), applied('operation-1', 1, [schedule]),
		],
		expected: [`${FailureKind.conflict} 0`, 2, `${FailureKind.conflict} 0`],
		services: ['bermrand/booking'],
	},
	{
		name: 'an operation that is sent again after 600 changes gets the first answer',
		commands: [
			applied('operation-0', 0, [schedule]),
			...Array.from({length: 600}, (_unused, number) => applied(`operation-${number + 1}`, number + 1, [booking])),
			applied('operation-0', 0, [schedule]),
		],
		expected: [1, ...Array.from({length: 600}, (_unused, number) => number + 2), 1],
		services: ['bermrand/booking'],
	},
	{
		name: 'a founding that is sent again gets the first answer, another one is a conflict',
		commands: [founded('founding-1', 'hash'), founded('founding-1', 'hash'), founded('founding-1', 'other'), founded('founding-2', 'hash')],
		expected: [1, 1, `${FailureKind.conflict} none`, `${FailureKind.conflict} none`],
		services: [],
	},
	{
		name: 'an operation with other content is a conflict',
		commands: [applied('operation-1', 0, [schedule]), applied('operation-1', 1, [booking])],
		expected: [1, `${FailureKind.conflict} none`],
		services: ['bermrand/schedule'],
	},
	{
		name: 'a service of another team is forbidden',
		commands: [applied('operation-1', 0, [contract('valbrembo/orders')])],
		expected: [`${FailureKind.forbidden} none`],
		services: [],
	},
	{
		name: 'a prefix of another team is refused',
		commands: [
			applied('operation-1', 0, [schedule]),
			applied('operation-1', 0, [contract('valbrembo/orders', {prefix: '/schedule/orders'})], 'valbrembo'),
		],
		expected: [1, `${FailureKind.settingsInvalid} none`],
		services: ['bermrand/schedule'],
	},
	{
		name: 'the number of slots never changes',
		commands: [applied('operation-1', 0, [schedule]), applied('operation-2', 1, [{...schedule, slots: 128}])],
		expected: [1, `${FailureKind.settingsInvalid} none`],
		services: ['bermrand/schedule'],
	},
];

for (const {name, commands, expected, services} of cases) {
	test(`configuration: ${name}`, () => {
		let state = initialConfiguration;
		const answers = commands.map((command, position) => {
			const next = applyConfiguration(restarted(state), command, position + 1);
			state = next.state;
			return next.answer.match<Expected>({
				Ok: accepted => accepted.revision,
				Err: refusal => `${refusal.kind} ${refusal.winningRevision ?? 'none'}`,
			});
		});
		assert.deepEqual(answers, expected);
		assert.deepEqual(contractsOf(state).map(service => service.name), services);
		assert.ok(revisionOf(state, 'bermrand') <= commands.length);
	});
}
