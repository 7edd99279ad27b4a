import assert from 'node:assert/strict';
import {test} from 'node:test';
import {emptyDirectory} from '@dogwooddeck/directory/state';
import {recordFirstAttempt, tryRecordRetry, ServiceTable} from '@dogwooddeck/entry/service-table';
import {type EntrySettings} from '@dogwooddeck/entry/settings';

const settings: EntrySettings = {
	name: 'entry',
	zone: 'z',
	regions: {z: 'r'},
	callers: {host: '127.0.0.1', port: 0},
	readiness: {host: '127.0.0.1', port: 0, path: '/'},
	seeds: [],
	fields: {
		requestIdentifier: 'request', deadline: 'deadline', expectedUpstream: 'expected', stamp: 'stamp', notRun: 'not-run', key: 'key', leaving: 'leaving',
	},
	retries: {ratio: 0.2, slack: 58},
	leavingGraceMilliseconds: 300,
	evacuationGraceMilliseconds: 300,
	graceMilliseconds: 1000,
};

/** The platform's retry budget: a fifth of the requests, plus 58. */
function allowed(requests: number): number {
	return (requests * 0.2) + 58;
}

type Case = {
	readonly name: string;
	/** The numbers of entries that each entry is notified of, in order, before requests come. */
	readonly entryCounts: readonly number[];
	readonly entries: number;
	/** Requests of each entry before all upstreams begin to fail, and after. */
	readonly before: number;
	readonly failing: number;
};

const cases: readonly Case[] = [
	{
		name: 'entries that know their number', entryCounts: [9], entries: 9, before: 400, failing: 100,
	},
	{
		name: 'entries that were notified of one entry at their start', entryCounts: [1, 9], entries: 9, before: 400, failing: 100,
	},
	{
		name: 'entries that have just been notified of the others', entryCounts: [1, 9], entries: 9, before: 0, failing: 30,
	},
	{
		name: 'many entries with few requests', entryCounts: [1, 67], entries: 67, before: 20, failing: 5,
	},
];

for (const {name, entryCounts, entries, before, failing} of cases) {
	test(`retry budget: ${name} stay within the service's`, () => {
		let retries = 0;
		for (let entry = 0; entry < entries; entry += 1) {
			const table = new ServiceTable(settings, () => 0);
			const service = table.service('s');
			for (const count of entryCounts) {
				table.update({...emptyDirectory, applied: 1}, count);
			}

			for (let request = 0; request < before; request += 1) {
				recordFirstAttempt(service);
			}

			for (let request = 0; request < failing; request += 1) {
				recordFirstAttempt(service);
				retries += tryRecordRetry(service) ? 1 : 0;
			}
		}

		assert.ok(retries <= allowed(entries * failing), `${retries} of ${allowed(entries * failing)}`);
	});
}
