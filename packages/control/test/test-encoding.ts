/**
 * Tests the encoding of lists with one item for each slot, in log entries and
 * snapshots: decoding restores them, and each owner is written once.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type Assignment, AssignmentPhase} from '@dogwooddeck/model/assignment';
import {FailureKind} from '@dogwooddeck/model/failure';
import {applyEntry} from '@dogwooddeck/control/apply';
import {type ControlCommand, decodeCommands, encodeCommands} from '@dogwooddeck/control/command';
import {
	type ControlState, decodeControl, emptyControl, encodeControl,
} from '@dogwooddeck/control/state';

const service = 'team/service';
const one = {service, name: 'one', incarnation: 1};
const two = {service, name: 'two', incarnation: 7};

const commands: ReadonlyArray<readonly [name: string, command: ControlCommand]> = [
	['grants of several owners and revocations', {
		kind: 'assignmentsGranted', service, grants: [{slot: 0, owner: one}, {slot: 1, owner: two, revokedAt: 9}, {slot: 4, owner: one}],
	}],
	['no grants', {kind: 'assignmentsGranted', service, grants: []}],
	['releases', {kind: 'assignmentsReleased', service, releases: [{slot: 2, revokedAt: 5}, {slot: 3, revokedAt: 6}]}],
	['a command without slots', {kind: 'serviceClosed', service}],
];

for (const [name, command] of commands) {
	test(`entry: ${name}`, () => {
		const read = decodeCommands(encodeCommands([command]));
		assert.deepEqual(read.unwrapOr([]), [command]);
	});
}

test('entry: the slots of one owner share it', () => {
	const read = decodeCommands(encodeCommands([commands[0]![1]])).unwrapOr([])[0];
	assert.ok(read?.kind === 'assignmentsGranted');
	assert.equal(read.grants[0]!.owner, read.grants[2]!.owner);
});

const broken: ReadonlyArray<readonly [name: string, grants: unknown]> = [
	['not a list', 7],
	['absent', undefined],
	['ungrouped slots', [{slot: 0, owner: one}]],
	['steps that aren\'t numbers', [{common: {owner: one}, steps: ['0']}]],
	['common fields that are a list', [{common: [], steps: [0]}]],
];

for (const [name, grants] of broken) {
	test(`entry: groups that can't be decoded reject only their own command: ${name}`, () => {
		const payload = JSON.stringify([{kind: 'assignmentsGranted', service, grants}, {
			kind: 'serviceOpened', service, slots: 1, policy: {},
		}]);
		const {answers} = applyEntry(emptyControl, payload, 1);
		assert.deepEqual(answers.map(answer => answer.isOk ? 'ok' : answer.error.kind), [FailureKind.malformed, 'ok']);
	});
}

function stateWith(assignments: readonly Assignment[]): ControlState {
	return {...emptyControl, ownership: {...emptyControl.ownership, services: {[service]: {service, assignments, pinned: []}}}};
}

const assignments: readonly Assignment[] = Array.from({length: 64}, (_, slot): Assignment => [
	{phase: AssignmentPhase.vacant, slot} as const,
	{
		phase: AssignmentPhase.granted, slot, owner: one, fence: 3,
	} as const,
	{
		phase: AssignmentPhase.revoking, slot, owner: two, fence: 3, revokedAt: 4,
	} as const,
][slot % 3]!);

const snapshots: ReadonlyArray<readonly [name: string, state: ControlState]> = [
	['all phases', stateWith(assignments)],
	['no slot', stateWith([])],
];

for (const [name, state] of snapshots) {
	test(`snapshot: ${name}`, () => {
		const read = decodeControl(encodeControl(state)).unwrapOr(emptyControl);
		assert.deepEqual(read, state);
		assert.equal(encodeControl(read), encodeControl(state));
	});
}

const gaps: ReadonlyArray<readonly [name: string, groups: unknown]> = [
	['a slot is missing', [{common: {phase: 'vacant'}, steps: [0, 2]}]],
	['a duplicate slot', [{common: {phase: 'vacant'}, steps: [0, 0]}]],
	['ungrouped assignments', [{phase: 'vacant', slot: 0}]],
	['absent', undefined],
];

for (const [name, groups] of gaps) {
	test(`snapshot: rejected: ${name}`, () => {
		const {ownership} = emptyControl;
		const text = JSON.stringify({...emptyControl, ownership: {...ownership, services: {[service]: {service, assignments: groups, pinned: []}}}});
		assert.equal(decodeControl(text).isErr, true);
	});
}
