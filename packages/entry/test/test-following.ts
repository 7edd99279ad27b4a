import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type FollowedControl, shouldFollow} from '@dogwooddeck/entry/directory-follower';

const now = 10_000;

function control(isNear: boolean | undefined, fields: Partial<FollowedControl> = {}): FollowedControl {
	return {
		...(isNear === undefined ? {} : {isNear}), isOpen: true, hasHeard: true, heardAt: now - 100, isFresh: true, ...fields,
	};
}

const near = control(true);
const far = control(false);

const cases: ReadonlyArray<{readonly name: string; readonly control: FollowedControl; readonly others: readonly FollowedControl[]; readonly follows: boolean}> = [
	{
		name: 'one of the own region', control: near, others: [far], follows: true,
	},
	{
		name: 'one that has not said where it stands', control: control(undefined), others: [near], follows: true,
	},
	{
		name: 'another region beside a near one', control: far, others: [near], follows: false,
	},
	{
		name: 'another region while the near one is silent', control: far, others: [control(true, {heardAt: now - 2000})], follows: true,
	},
	{
		name: 'another region while the near one has lost the leader', control: far, others: [control(true, {isFresh: false})], follows: true,
	},
	{
		name: 'another region while the near one is not connected', control: far, others: [control(true, {isOpen: false})], follows: true,
	},
	{
		name: 'another region while one of two near ones is well', control: far, others: [control(true, {isFresh: false}), near], follows: false,
	},
];

for (const {name, control: asked, others, follows} of cases) {
	test(`following: ${name} is ${follows ? '' : 'not '}followed`, () => {
		assert.equal(shouldFollow(asked, [asked, ...others], now), follows);
	});
}
