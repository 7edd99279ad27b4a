/** Tests when an exhausted share is requested again at once. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {mayReceiveLargerShare, type ShareUse} from '@dogwooddeck/limits/growth';

const cases: ReadonlyArray<{readonly name: string; readonly use: ShareUse; readonly expected: boolean}> = [
	{
		name: 'a first share, granted for one request, is exhausted by a burst', expected: true, use: {
			share: 75, amount: 600, wantedAtGrant: 1, wanted: 76,
		},
	},
	{
		name: 'hardly more is wanted than when the share was granted', expected: false, use: {
			share: 75, amount: 600, wantedAtGrant: 76, wanted: 80,
		},
	},
	{
		name: 'no share is larger than the whole amount', expected: false, use: {
			share: 600, amount: 600, wantedAtGrant: 1, wanted: 601,
		},
	},
	{
		name: 'twice as much is wanted again', expected: true, use: {
			share: 75, amount: 600, wantedAtGrant: 76, wanted: 152,
		},
	},
];

for (const {name, use, expected} of cases) {
	test(`growth of a share: ${name}`, () => {
		assert.equal(mayReceiveLargerShare(use), expected);
	});
}

test('growth of a share: demands for an exhausted limit grow with the logarithm of what is wanted', () => {
	let wantedAtGrant = 1;
	let requestCount = 0;
	for (let wanted = 1; wanted <= 100_000; wanted++) {
		if (mayReceiveLargerShare({
			share: 50, amount: 200, wantedAtGrant, wanted,
		})) {
			requestCount += 1;
			wantedAtGrant = wanted;
		}
	}

	assert.equal(requestCount, 16);
});
