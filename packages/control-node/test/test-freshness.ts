import assert from 'node:assert/strict';
import {test} from 'node:test';
import {isRecent, type RecencyInputs} from '@dogwooddeck/control-node/freshness';

const inputs: RecencyInputs = {
	now: 10_000, isConfirmedLeader: false, leaderContactAt: 9900, lagMilliseconds: 0,
};

const cases: ReadonlyArray<{readonly name: string; readonly fields: Partial<RecencyInputs>; readonly isRecent: boolean}> = [
	{name: 'a follower in contact with its leader and up to date', fields: {}, isRecent: true},
	{name: 'the leader', fields: {isConfirmedLeader: true, leaderContactAt: undefined}, isRecent: true},
	{name: 'a follower without contact to its leader', fields: {leaderContactAt: 9400}, isRecent: false},
	{name: 'a follower without a leader', fields: {leaderContactAt: undefined}, isRecent: false},
	{name: 'a follower that has briefly lacked an entry', fields: {lagMilliseconds: 400}, isRecent: true},
	{name: 'a follower in contact with its leader that receives no entries', fields: {lagMilliseconds: 600}, isRecent: false},
];

for (const {name, fields, isRecent: expected} of cases) {
	test(`freshness: ${name} is ${expected ? '' : 'not '}recent`, () => {
		assert.equal(isRecent({...inputs, ...fields}), expected);
	});
}
