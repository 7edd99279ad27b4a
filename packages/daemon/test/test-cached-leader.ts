/**
 * Checks which leader the cache returns: the one that the local voter follows
 * comes before one that answered, and this instance is returned only while it
 * leads.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createCachedLeader} from '@dogwooddeck/daemon/cached-leader';

const cases: ReadonlyArray<{readonly name: string; readonly answered?: string; readonly followed?: string; readonly expected: string | undefined}> = [
	{name: 'no instance has answered yet', expected: undefined},
	{name: 'the last instance that answered, if the voter follows none', answered: 'entry-2', expected: 'entry-2'},
	{
		name: 'the one that the voter follows, before one that answered', answered: 'entry-2', followed: 'entry-3', expected: 'entry-3',
	},
	{
		name: 'itself while it leads', answered: 'entry-1', followed: 'entry-1', expected: 'entry-1',
	},
	{name: 'not itself after it has stepped down', answered: 'entry-1', expected: undefined},
];

for (const {
	name, answered, followed, expected,
} of cases) {
	test(`cached leader: ${name}`, () => {
		const cachedLeader = createCachedLeader('entry-1', () => ({leader: () => followed}));
		if (answered !== undefined) {
			cachedLeader.recordAnswer(answered);
		}

		assert.equal(cachedLeader.leader(), expected);
	});
}
