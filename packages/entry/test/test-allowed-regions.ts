import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type DirectoryState} from '@dogwooddeck/directory/state';
import {
	call, directoryOf, type Entry, hasHead, requestText, type Upstream, whole, withEntry,
} from './scenario.js';

/** The entry's settings name the region `r` for zone `z`, and none for this one. */
const ownZone = 'z';
const unnamedZone = 'unnamed';

type Case = {
	readonly name: string;
	readonly path: string;
	readonly allowedRegions?: readonly string[];
	/** The zones of the upstreams `u0` and so on; `u0` holds all keys. */
	readonly zones: readonly string[];
	readonly expected: string;
	/** Which upstreams got the request. */
	readonly reached: readonly number[];
};

const refused = '503';
const cases: readonly Case[] = [
	{
		name: 'all regions are allowed', path: '/once/', zones: [unnamedZone], expected: '200', reached: [1],
	},
	{
		name: 'the own region is allowed', path: '/once/', allowedRegions: ['r'], zones: [unnamedZone, ownZone], expected: '200', reached: [0, 1],
	},
	{
		name: 'no upstream is in an allowed region', path: '/once/', allowedRegions: ['q'], zones: [ownZone, ownZone], expected: refused, reached: [0, 0],
	},
	{
		name: 'an upstream whose region is unknown is in none that is allowed', path: '/safe/', allowedRegions: ['r'], zones: [unnamedZone], expected: refused, reached: [0],
	},
	{
		name: 'the holder of the key is in another region', path: '/keyed/', allowedRegions: ['r'], zones: [unnamedZone, ownZone], expected: refused, reached: [0, 0],
	},
	{
		name: 'the holder of the key is in the allowed region', path: '/keyed/', allowedRegions: ['r'], zones: [ownZone, unnamedZone], expected: '200', reached: [1, 0],
	},
];

function directoryWith(upstreams: readonly Upstream[], {zones, allowedRegions}: Case): DirectoryState {
	const directory = directoryOf(upstreams);
	const route = Object.fromEntries(Object.entries(directory.items.route).map(([name, item]) => [
		name, {...item, value: {...item.value!, ...(allowedRegions === undefined ? {} : {allowedRegions})}},
	]));
	const records = Object.entries(directory.upstreams).map(([id, record], position) => [id, {...record, zone: zones[position]!}] as const);
	return {
		...directory, applied: 2, items: {...directory.items, route}, upstreams: Object.fromEntries(records),
	};
}

async function reachedBy(entry: Entry, upstreams: readonly Upstream[], tested: Case): Promise<string> {
	entry.table.update(directoryWith(upstreams, tested), 1);
	const text = requestText(tested.path, 'a', tested.path === '/once/' ? 'POST' : 'GET').replace('\r\n\r\n', '\r\nKey: 7\r\n\r\n');
	return call(entry.port, text, hasHead);
}

for (const tested of cases) {
	test(`allowed regions: ${tested.name}`, async () => {
		await withEntry(tested.zones.map(() => whole), true, async (entry, upstreams) => {
			const received = await reachedBy(entry, upstreams, tested);
			assert.equal(received.split(' ')[1], tested.expected);
			assert.deepEqual(upstreams.map(({requests}) => requests.length), tested.reached);
			assert.equal(/retry-after/iv.test(received), tested.expected === refused, 'a refusal says when to come back');
		});
	});
}
