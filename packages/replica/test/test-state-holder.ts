/**
 * Catching up from another instance: entries are applied in order and once, and listeners are notified once for a batch.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type CatchUp} from '@dogwooddeck/model/catch-up';
import {ok} from 'true-myth/result';
import {createStateHolder, type ReplicatedMachine} from '@dogwooddeck/replica/state-holder';

type WordsState = {readonly applied: number; readonly words: readonly string[]};

const machine: ReplicatedMachine<WordsState, undefined> = {
	empty: {applied: 0, words: []},
	apply: ({words}, payload, index) => ({state: {applied: index, words: [...words, payload]}, answers: [ok(undefined)]}),
	encode: state => JSON.stringify(state),
	decode: data => ok(JSON.parse(data) as WordsState),
};

const fullState = {index: 2, data: JSON.stringify({applied: 2, words: ['a', 'b']})};

const cases: ReadonlyArray<{readonly name: string; readonly received: readonly CatchUp[]; readonly words: readonly string[]; readonly notifications: number}> = [
	{
		name: 'several entries are announced to listeners at once', received: [{entries: [{index: 1, payload: 'a'}, {index: 2, payload: 'b'}, {index: 3, payload: 'c'}]}], words: ['a', 'b', 'c'], notifications: 1,
	},
	{
		name: 'entries that were applied before are not announced', received: [{entries: [{index: 1, payload: 'a'}]}, {entries: [{index: 1, payload: 'other'}]}], words: ['a'], notifications: 1,
	},
	{
		name: 'entries after a gap are not applied', received: [{entries: [{index: 2, payload: 'b'}]}], words: [], notifications: 0,
	},
	{
		name: 'a full state and the entries after it', received: [{state: fullState, entries: [{index: 3, payload: 'c'}]}], words: ['a', 'b', 'c'], notifications: 2,
	},
	{
		name: 'an older full state is ignored', received: [{state: fullState, entries: [{index: 3, payload: 'c'}]}, {state: fullState, entries: []}], words: ['a', 'b', 'c'], notifications: 2,
	},
];

for (const {name, received, words, notifications} of cases) {
	test(`state holder: ${name}`, () => {
		const holder = createStateHolder(machine);
		let notified = 0;
		holder.listen(() => {
			notified += 1;
		});
		for (const catchUp of received) {
			holder.catchUp(catchUp);
		}

		assert.deepEqual(holder.state().words, words);
		assert.equal(notified, notifications);
	});
}
