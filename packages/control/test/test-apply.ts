import assert from 'node:assert/strict';
import {test} from 'node:test';
import {defaultContract, type ServiceContract} from '@dogwooddeck/model/contract';
import {FailureKind} from '@dogwooddeck/model/failure';
import {UpstreamPhase} from '@dogwooddeck/model/registry';
import {applyEntry} from '@dogwooddeck/control/apply';
import {type ControlCommand, encodeCommands} from '@dogwooddeck/control/command';
import {
	type ControlState, decodeControl, emptyControl, encodeControl,
} from '@dogwooddeck/control/state';

const contract: ServiceContract = {
	...defaultContract, name: 'team/service', prefix: '/service', key: {place: 'path', segment: 0}, slots: 4,
};

const subtree: ControlCommand = {
	kind: 'subtreeApplied', team: 'team', operation: 'operation-1', base: 0, services: [contract], author: '', at: 0,
};

const joined: ControlCommand = {
	kind: 'upstreamJoined',
	record: {
		service: contract.name, name: 'one', incarnation: 1, region: 'noord', zone: 'noord-a', address: '127.0.0.1:4', phase: UpstreamPhase.serving,
	},
};

const drain: ControlCommand = {kind: 'operatorAsked', operation: 'drain-0001', command: {kind: 'drainAsked', service: contract.name, upstream: 'one'}};

function applied(payloads: readonly string[]): {readonly state: ControlState; readonly last: readonly string[]} {
	let state = emptyControl;
	let lastResults: readonly string[] = [];
	for (const payload of payloads) {
		const next = applyEntry(state, payload, state.applied + 1);
		const restored = decodeControl(encodeControl(next.state));
		state = restored.unwrapOr(emptyControl);
		lastResults = next.answers.map(answer => answer.isOk ? `ok ${answer.value.index}` : answer.error.kind);
	}

	return {state, last: lastResults};
}

const cases: ReadonlyArray<{readonly name: string; readonly payloads: readonly string[]; readonly last: readonly string[]}> = [
	{name: 'an entry of several commands has a result for each', payloads: [encodeCommands([subtree, joined])], last: ['ok 1', 'ok 1']},
	{name: 'a payload of invalid JSON advances only the index', payloads: ['{'], last: [FailureKind.malformed]},
	{name: 'a command without its fields is rejected', payloads: ['[{"kind":"instanceSeated"}]'], last: [FailureKind.malformed]},
	{name: 'an operator\'s command without its fields is rejected', payloads: ['[{"kind":"operatorAsked","operation":"operation-1"}]'], last: [FailureKind.malformed]},
	{name: 'a zone named like a built-in object property is not found', payloads: ['[{"kind":"zoneReleased","zone":"constructor","reason":"declared-lost"}]'], last: [FailureKind.notFound]},
	{name: 'a command of an unknown kind is rejected', payloads: ['[{"kind":"constructor"}]'], last: [FailureKind.malformed]},
	{
		name: 'an operator\'s repeated command returns its first result, also after a snapshot',
		payloads: [encodeCommands([subtree, joined]), encodeCommands([drain]), encodeCommands([drain])],
		last: ['ok 2'],
	},
	{
		name: 'an operation identifier used for another command is a conflict',
		payloads: [encodeCommands([subtree, joined]), encodeCommands([drain]), encodeCommands([{
			kind: 'operatorAsked', operation: 'drain-0001', command: {kind: 'drainAsked', service: contract.name, upstream: 'two'},
		}])],
		last: [FailureKind.conflict],
	},
	{
		name: 'a move to an unknown upstream is rejected',
		payloads: [encodeCommands([subtree]), encodeCommands([{
			kind: 'moveWished', service: contract.name, slot: 0, upstream: 'one',
		}])],
		last: [FailureKind.notFound],
	},
];

const snapshots: ReadonlyArray<readonly [name: string, data: string, isState: boolean]> = [
	['the empty state', encodeControl(emptyControl), true],
	['a state without the fields of later versions', '{"applied":7}', true],
	['invalid JSON', '{', false],
	['a number', '7', false],
	['null', 'null', false],
	['a list', '[]', false],
	['a field that is null', '{"wishes":null}', false],
	['a list in place of an object', '{"ownership":[]}', false],
	['an object without its fields', '{"ownership":{}}', false],
];

for (const [name, data, isState] of snapshots) {
	test(`snapshot: ${name}`, () => {
		assert.equal(decodeControl(data).isOk, isState);
	});
}

for (const {name, payloads, last} of cases) {
	test(`apply: ${name}`, () => {
		const result = applied(payloads);
		assert.deepEqual(result.last, last);
		assert.equal(result.state.applied, payloads.length);
	});
}
