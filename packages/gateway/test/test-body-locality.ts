import assert from 'node:assert/strict';
import {test} from 'node:test';
import {BodySize} from '@dogwooddeck/directory/item';
import {keepLocal} from '@dogwooddeck/gateway/body-locality';
import {Distance} from '@dogwooddeck/gateway/upstream-selection';

const {sameZone, sameRegion, otherRegion} = Distance;

const cases: ReadonlyArray<{readonly name: string; readonly size: BodySize; readonly distances: readonly Distance[]; readonly kept: readonly Distance[]}> = [
	{
		name: 'ordinary bodies may be sent anywhere', size: BodySize.ordinary, distances: [sameZone, sameRegion, otherRegion], kept: [sameZone, sameRegion, otherRegion],
	},
	{
		name: 'large bodies stay in the region', size: BodySize.large, distances: [sameZone, sameRegion, otherRegion], kept: [sameZone, sameRegion],
	},
	{
		name: 'large bodies use another zone of the region', size: BodySize.large, distances: [otherRegion, sameRegion], kept: [sameRegion],
	},
	{
		name: 'large bodies leave a region without available upstreams', size: BodySize.large, distances: [otherRegion, otherRegion], kept: [otherRegion, otherRegion],
	},
	{
		name: 'nothing is available', size: BodySize.large, distances: [], kept: [],
	},
];

for (const {
	name, size, distances, kept,
} of cases) {
	test(`body locality: ${name}`, () => {
		assert.deepEqual(keepLocal(distances.map(distance => ({distance})), size).map(({distance}) => distance), kept);
	});
}
