import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	packRanges, packRows, unpackRanges, unpackRows,
} from '@dogwooddeck/key-lease/packing';
import {
	changeSpans, type KeyRange, type KeySpan, type UpstreamIncarnation, unassignedRanges, subtractSpans,
} from '@dogwooddeck/key-lease/range';
import {reportKeys, rowsToSend} from '@dogwooddeck/key-lease/report';

const upstream: UpstreamIncarnation = {id: 'a', born: 1};
const otherUpstream: UpstreamIncarnation = {id: 'b', born: 2};

function range(from: number, to: number, fields: Partial<KeyRange> = {}): KeyRange {
	return {
		from, to, fence: 7, holder: upstream, told: true, handover: '', ...fields,
	};
}

const table = [range(0, 99), range(100, 199, {holder: otherUpstream}), range(200, 299, {releasingSince: 9}), range(300, 399, {handover: 't'})];

const reports: ReadonlyArray<{readonly name: string; readonly holds: ReadonlyArray<KeySpan & {readonly fence: number}>; readonly missing: readonly KeySpan[]; readonly tokens: readonly string[]}> = [
	{
		name: 'all its keys', holds: [{from: 0, to: 99, fence: 7}, {from: 200, to: 399, fence: 7}], missing: [], tokens: ['', ''],
	},
	{
		name: 'no keys', holds: [], missing: [{from: 0, to: 99}, {from: 200, to: 299}, {from: 300, to: 399}], tokens: ['', 't'],
	},
	{
		name: 'some of its keys, unsorted', holds: [{from: 350, to: 399, fence: 7}, {from: 10, to: 19, fence: 7}, {from: 200, to: 299, fence: 7}], missing: [{from: 0, to: 9}, {from: 20, to: 99}, {from: 300, to: 349}], tokens: ['', 't'],
	},
	{
		name: 'keys of another upstream as well', holds: [{from: 0, to: 399, fence: 7}], missing: [], tokens: ['', ''],
	},
];

for (const {name, holds, missing, tokens} of reports) {
	test(`report: an upstream that lists ${name}`, () => {
		const report = reportKeys(table, {
			life: upstream, sequence: 1, holds, released: [],
		});
		assert.deepEqual(report.missing, missing);
		assert.deepEqual(rowsToSend(table, report).map(({handover}) => handover), tokens);
	});
}

const digests: ReadonlyArray<{readonly name: string; readonly ranges: readonly KeyRange[]; readonly isSame: boolean}> = [
	{name: 'the same table', ranges: [...table], isSame: true},
	{name: 'changed keys of another upstream', ranges: [table[0]!, range(100, 199, {holder: otherUpstream, fence: 8}), table[2]!, table[3]!], isSame: true},
	{name: 'a higher fence', ranges: [range(0, 99, {fence: 8}), ...table.slice(1)], isSame: false},
	{name: 'a recalled row', ranges: [range(0, 99, {releasingSince: 3}), ...table.slice(1)], isSame: false},
	{name: 'one row missing', ranges: table.slice(1), isSame: false},
];

for (const {name, ranges, isSame} of digests) {
	test(`report: the digest with ${name} ${isSame ? 'stays the same' : 'changes'}`, () => {
		const keys = {
			life: upstream, sequence: 1, holds: [], released: [],
		};
		assert.equal(reportKeys(ranges, keys).digest === reportKeys(table, keys).digest, isSame);
	});
}

const tables: ReadonlyArray<readonly KeyRange[]> = [unassignedRanges, table, []];

for (const ranges of tables) {
	test(`packing: a table of ${ranges.length} ranges survives a round trip`, () => {
		assert.deepEqual(unpackRanges(packRanges(ranges)), ranges);
	});
}

test('packing: rows survive a round trip', () => {
	const rows = [{from: 1, to: 2, holder: upstream}, {
		from: 3, to: 4, holder: otherUpstream, handover: '',
	}, {
		from: 5, to: 6, holder: upstream, handover: 't',
	}];
	assert.deepEqual(unpackRows(packRows(rows)), rows);
});

const differences: ReadonlyArray<{readonly others: readonly KeySpan[]; readonly rest: readonly KeySpan[]}> = [
	{others: [], rest: [{from: 10, to: 19}]},
	{others: [{from: 0, to: 30}], rest: []},
	{others: [{from: 0, to: 10}, {from: 19, to: 25}], rest: [{from: 11, to: 18}]},
	{others: [{from: 12, to: 13}, {from: 13, to: 15}], rest: [{from: 10, to: 11}, {from: 16, to: 19}]},
	{others: [{from: 20, to: 30}], rest: [{from: 10, to: 19}]},
];

for (const {others, rest} of differences) {
	test(`spans: 10-19 without ${others.map(({from, to}) => `${from}-${to}`).join(', ')}`, () => {
		assert.deepEqual(subtractSpans({from: 10, to: 19}, others), rest);
	});
}

test('spans: changing many spans at once equals changing them one by one', () => {
	const spans = [{from: 350, to: 360}, {from: 0, to: 0}, {from: 50, to: 249}, {from: 260, to: 260}];
	const change = (changed: KeyRange) => ({...changed, fence: 20});
	let one: readonly KeyRange[] = table;
	for (const span of spans) {
		one = changeSpans(one, [span], change);
	}

	assert.deepEqual(changeSpans(table, spans, change), one);
});
