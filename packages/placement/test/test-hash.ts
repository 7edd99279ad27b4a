/** Tests that keys map to fixed slots. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createSlotHash} from '@dogwooddeck/placement/hash';

const hash = await createSlotHash();

const cases: ReadonlyArray<{readonly key: string; readonly slots: number; readonly expected: number}> = [
	{key: '', slots: 256, expected: 5},
	{key: 'verge-17', slots: 256, expected: 47},
	{key: 'verge-17', slots: 1, expected: 0},
	{key: 'Côte-é-漢', slots: 1024, expected: 986},
];

for (const {key, slots, expected} of cases) {
	test(`slot of "${key}" among ${slots}`, () => {
		assert.equal(hash(key, slots), expected);
	});
}
