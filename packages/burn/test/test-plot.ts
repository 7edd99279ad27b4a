import assert from 'node:assert/strict';
import {test} from 'node:test';
import {plotPoints} from '@dogwooddeck/burn/plot';

const minuteMilliseconds = 60_000;
const minimumDistance = 12;

const cases: ReadonlyArray<{readonly name: string; readonly rates: ReadonlyArray<number | undefined>; readonly labels: readonly string[]; readonly bars: number}> = [
	{
		name: 'no requests at all', rates: [undefined, undefined], labels: ['0.0', '1.0'], bars: 0,
	},
	{
		name: 'low rates', rates: [0, 0.5, undefined, 1.5], labels: ['0.0', '1.0'], bars: 3,
	},
	{
		name: 'rates with room for three labels', rates: [5], labels: ['0.0', '5.0', '1.0'], bars: 1,
	},
	{
		name: 'a rate so high that the line at 1 coincides with the line at 0', rates: [400, 0], labels: ['400', '1.0'], bars: 2,
	},
];

for (const {name, rates, labels, bars} of cases) {
	test(`burn plot: ${name}`, () => {
		const points = rates.map((burnRate, position) => ({at: position * minuteMilliseconds, ...(burnRate === undefined ? {} : {burnRate})}));
		const svg = plotPoints(points, 'title');
		const written = [...svg.matchAll(/y="(?<height>[\d.]+)" text-anchor="end">(?<text>[\d.]+)</gv)].map(({groups}) => groups!);
		assert.deepEqual(written.map(({text}) => text), labels);
		assert.equal([...svg.matchAll(/<rect/gv)].length, bars);
		const heights = written.map(({height}) => Number(height)).sort((one, other) => one - other);
		assert.ok(heights.every((height, position) => position === 0 || height - heights[position - 1]! >= minimumDistance), 'labels overlap');
	});
}
