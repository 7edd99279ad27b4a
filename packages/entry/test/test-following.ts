import assert from 'node:assert/strict';
import {test} from 'node:test';
import {Distance} from '@dogwooddeck/gateway/selection';
import {type FollowedControl, Wanted, wantedOf} from '@dogwooddeck/entry/directory-follower';

const now = 10_000;

function control(distance: Distance | undefined, fields: Partial<FollowedControl> = {}): FollowedControl {
	return {
		...(distance === undefined ? {} : {distance}), isOpen: true, hasHeard: true, heardAt: now - 100, freshAt: now - 100, ...fields,
	};
}

const own = control(Distance.sameZone);
const near = control(Distance.sameRegion);
const far = control(Distance.otherRegion);

const cases: ReadonlyArray<{readonly name: string; readonly control: FollowedControl; readonly others: readonly FollowedControl[]; readonly wanted: Wanted}> = [
	{
		name: 'one of the own zone', control: own, others: [near, far], wanted: Wanted.changes,
	},
	{
		name: 'one that has not said where it stands', control: control(undefined), others: [own], wanted: Wanted.presence,
	},
	{
		name: 'one of the region beside one of the own zone', control: near, others: [own], wanted: Wanted.nothing,
	},
	{
		name: 'one of the region where the own zone has none', control: near, others: [far], wanted: Wanted.changes,
	},
	{
		name: 'another region beside a near one', control: far, others: [near], wanted: Wanted.nothing,
	},
	{
		name: 'another region while the near one is silent', control: far, others: [control(Distance.sameRegion, {heardAt: now - 2000})], wanted: Wanted.changes,
	},
	{
		name: 'another region while the near one has lost the leader', control: far, others: [control(Distance.sameRegion, {freshAt: now - 800})], wanted: Wanted.changes,
	},
	{
		name: 'another region during a short election', control: far, others: [control(Distance.sameRegion, {freshAt: now - 600})], wanted: Wanted.nothing,
	},
	{
		name: 'another region while the near one is not connected', control: far, others: [control(Distance.sameRegion, {isOpen: false})], wanted: Wanted.changes,
	},
	{
		name: 'another region while one of two near ones is well', control: far, others: [control(Distance.sameZone, {freshAt: now - 800}), near], wanted: Wanted.nothing,
	},
];

for (const {name, control: asked, others, wanted} of cases) {
	test(`following: ${name}: ${wanted}`, () => {
		assert.equal(wantedOf(asked, [asked, ...others], now), wanted);
	});
}
