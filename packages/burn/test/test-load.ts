import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	loadImbalance, LoadRecorder, loadWindowMilliseconds, type UpstreamLoad,
} from '@dogwooddeck/burn/load';

const service = 'bermrand/booking';

function load(upstream: string, requests: number, of = service): UpstreamLoad {
	return {service: of, upstream, requests};
}

const imbalances: ReadonlyArray<{readonly name: string; readonly loads: readonly UpstreamLoad[]; readonly owners: number; readonly expected: number}> = [
	{
		name: 'no requests', loads: [], owners: 4, expected: 0,
	},
	{
		name: 'equal loads', loads: [load('a', 5), load('b', 5)], owners: 2, expected: 1,
	},
	{
		name: 'loads of two instances are summed', loads: [load('a', 60), load('b', 40), load('a', 40), load('b', 20)], owners: 2, expected: 1.25,
	},
	{
		name: 'an owner without requests counts', loads: [load('a', 10)], owners: 4, expected: 4,
	},
	{
		name: 'an owner that left counts while its requests do', loads: [load('a', 10), load('b', 10), load('c', 10)], owners: 2, expected: 1,
	},
	{
		name: 'other services do not count', loads: [load('a', 10), load('b', 10), load('a', 90, 'bermrand/schedule')], owners: 2, expected: 1,
	},
];

for (const {name, loads, owners, expected} of imbalances) {
	test(`load imbalance: ${name}`, () => {
		assert.equal(loadImbalance(loads, service, owners), expected);
	});
}

const recordings: ReadonlyArray<{readonly name: string; readonly sentAt: readonly number[]; readonly readAt: number; readonly expected: number}> = [
	{
		name: 'counts add up in one window', sentAt: [0, 1, 2], readAt: 3, expected: 3,
	},
	{
		name: 'the previous window still counts', sentAt: [0, loadWindowMilliseconds], readAt: loadWindowMilliseconds, expected: 2,
	},
	{
		name: 'the window before the previous one does not count', sentAt: [0, 2 * loadWindowMilliseconds], readAt: 2 * loadWindowMilliseconds, expected: 1,
	},
	{
		name: 'no counts are left after a long idle time', sentAt: [0], readAt: 10 * loadWindowMilliseconds, expected: 0,
	},
];

for (const {name, sentAt, readAt, expected} of recordings) {
	test(`load recorder: ${name}`, () => {
		const recorder = new LoadRecorder(0);
		for (const at of sentAt) {
			recorder.record(service, 'a', at);
		}

		assert.equal(recorder.loads(readAt).reduce((sum, {requests}) => sum + requests, 0), expected);
	});
}
