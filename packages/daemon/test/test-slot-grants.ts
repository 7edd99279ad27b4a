/**
 * The grants in the answer to an announcement.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type ControlState, emptyControl} from '@dogwooddeck/control/state';
import {type Assignment, AssignmentPhase} from '@dogwooddeck/model/assignment';
import {type UpstreamIdentity} from '@dogwooddeck/model/identifiers';
import {grantsOf} from '../src/slot-grants.js';

const service = 'team/service';
const one = {service, name: 'one', incarnation: 1};
const two = {service, name: 'two', incarnation: 1};

function granted(slot: number, owner: UpstreamIdentity, fence: number): Assignment {
	return {
		phase: AssignmentPhase.granted, slot, owner, fence,
	};
}

function revoking(slot: number, owner: UpstreamIdentity, fence: number): Assignment {
	return {
		phase: AssignmentPhase.revoking, slot, owner, fence, revokedAt: fence + 1,
	};
}

function stateWith(assignments: readonly Assignment[]): ControlState {
	return {...emptyControl, ownership: {...emptyControl.ownership, services: {[service]: {service, assignments, pinned: []}}}};
}

const before = stateWith([granted(0, one, 3), granted(1, two, 3), granted(2, one, 3)]);
const after = stateWith([granted(0, two, 5), revoking(1, two, 3), granted(2, one, 3)]);

const cases: ReadonlyArray<readonly [name: string, state: ControlState, upstream: UpstreamIdentity, fences: ReadonlyArray<readonly [slot: number, fence: number]>]> = [
	['all slots of an owner', before, one, [[0, 3], [2, 3]]],
	['of another owner', before, two, [[1, 3]]],
	['after a slot was moved to another owner', after, one, [[2, 3]]],
	['after one slot was granted and another is being revoked', after, two, [[0, 5]]],
	['of the earlier state again', before, one, [[0, 3], [2, 3]]],
	['of a later incarnation', before, {...one, incarnation: 2}, []],
	['of an unknown service', emptyControl, one, []],
];

for (const [name, state, upstream, fences] of cases) {
	test(`grants of an announcement: ${name}`, () => {
		assert.deepEqual(grantsOf(state, upstream), fences.map(([slot, fence]) => ({slot, fence})));
	});
}
