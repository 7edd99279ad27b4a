import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {type DirectoryState} from '@dogwooddeck/directory/state';
import {type ColdCapacity} from '@dogwooddeck/directory/item';
import {findRoute} from '@dogwooddeck/gateway/route-table';
import {
	call, directoryOf, hasHead, requestText, type Upstream, whole, withEntry,
} from './scenario.js';
import {type ColdSources} from '@dogwooddeck/entry/cold-upstreams';
import {UpstreamChoice} from '@dogwooddeck/entry/upstream-choice';

const coldMilliseconds = 400;
const capacity: ColdCapacity = {milliseconds: coldMilliseconds, requestsPerSecond: 5};
const ample: ColdCapacity = {milliseconds: coldMilliseconds, requestsPerSecond: 10_000};

type Change = {
	readonly coldCapacity?: ColdCapacity | undefined;
	/** The upstreams whose records say cold, and those with a later incarnation. */
	readonly cold?: readonly string[];
	readonly reborn?: readonly string[];
	readonly evacuatedZones?: readonly string[];
};

function changed(upstreams: readonly Upstream[], {coldCapacity, cold = [], reborn = [], evacuatedZones = []}: Change): DirectoryState {
	const state = directoryOf(upstreams);
	const service = Object.fromEntries(Object.entries(state.items.service).map(([name, item]) => [name, {...item, value: {...item.value!, ...(coldCapacity === undefined ? {} : {coldCapacity})}}]));
	const records = Object.values(state.upstreams).map(record => ({
		...record, service: 's', cold: cold.includes(record.id), born: reborn.includes(record.id) ? 2 : 1,
	}));
	const next = {
		...state, items: {...state.items, service}, upstreams: Object.fromEntries(records.map(record => [record.id, record])), evacuatedZones: Object.fromEntries(evacuatedZones.map(zone => [zone, 1])),
	};
	return next;
}

type PathCase = {
	readonly name: string;
	readonly upstreams: number;
	/** The directories that follow each other. */
	readonly changes: readonly Change[];
	readonly sources?: Partial<ColdSources>;
	readonly waitMilliseconds?: number;
	readonly path?: string;
	/** The statuses of requests in a row, and how many each upstream receives. */
	readonly statuses: readonly number[];
	readonly received: readonly number[];
};

const leased: Partial<ColdSources> = {fractionOf: () => 1};

const cases: readonly PathCase[] = [
	{
		name: 'a cold upstream of a service without a cold capacity', upstreams: 1, changes: [{cold: ['u0']}], statuses: [200, 200, 200], received: [3],
	},
	{
		name: 'a new incarnation of a service without a cold capacity', upstreams: 1, changes: [{}, {reborn: ['u0']}], statuses: [200, 200], received: [2],
	},
	{
		name: 'a warm upstream', upstreams: 1, changes: [{coldCapacity: capacity}], statuses: [200, 200], received: [2],
	},
	{
		name: 'a cold upstream without its lease', upstreams: 1, changes: [{coldCapacity: capacity, cold: ['u0']}], statuses: [503, 503], received: [0],
	},
	{
		name: 'a cold upstream beside a warm one', upstreams: 2, changes: [{coldCapacity: capacity, cold: ['u0']}], statuses: [200, 200, 200], received: [0, 3],
	},
	{
		name: 'a cold upstream with its lease', upstreams: 1, changes: [{coldCapacity: ample, cold: ['u0']}], sources: leased, statuses: [200, 200], received: [2],
	},
	{
		name: 'a lease that is lost', upstreams: 1, changes: [{coldCapacity: ample, cold: ['u0']}], sources: {fractionOf: () => 0}, statuses: [503], received: [0],
	},
	{
		name: 'a new incarnation that says it is warm', upstreams: 1, changes: [{coldCapacity: capacity}, {coldCapacity: capacity, reborn: ['u0']}], statuses: [503], received: [0],
	},
	{
		name: 'a new incarnation, after its cold time', upstreams: 1, changes: [{coldCapacity: capacity}, {coldCapacity: capacity, reborn: ['u0']}], waitMilliseconds: coldMilliseconds + 50, statuses: [200, 200], received: [2],
	},
	{
		name: 'a zone that is in use again', upstreams: 1, changes: [{coldCapacity: capacity, evacuatedZones: ['z']}, {coldCapacity: capacity}], statuses: [503], received: [0],
	},
	{
		name: 'another zone that is in use again', upstreams: 1, changes: [{coldCapacity: capacity, evacuatedZones: ['y']}, {coldCapacity: capacity}], statuses: [200], received: [1],
	},
	{
		name: 'a record that says cold, without contact for its cold time', upstreams: 1, changes: [{coldCapacity: capacity, cold: ['u0']}], sources: {contactAt: () => performance.now() - coldMilliseconds - 1}, statuses: [200], received: [1],
	},
];

for (const {
	name, upstreams: count, changes, sources, waitMilliseconds = 0, path = '/safe/', statuses, received,
} of cases) {
	test(`cold admission at an entry: ${name}`, async () => withEntry(Array.from({length: count}, () => whole), true, async (entry, upstreams) => {
		entry.table.cold.connect({
			fractionOf: () => 0, contactAt: () => performance.now() + 60_000, entryCount: () => 1, onSend: () => undefined, ...sources,
		});
		for (const change of changes) {
			entry.table.update(changed(upstreams, change), 1);
		}

		await pause(waitMilliseconds);
		const answers: string[] = [];
		for (const [position] of statuses.entries()) {
			answers.push(await call(entry.port, requestText(path, `r${position}`), hasHead));
		}

		assert.deepEqual(answers.map(text => Number(text.split(' ')[1])), statuses, answers.join('\n'));
		assert.deepEqual(upstreams.map(({requests}) => requests.length), received);
		for (const text of answers.filter(refused => refused.includes(' 503 '))) {
			assert.match(text, /upstreams-cold/v);
			assert.match(text, /retry-after: 0\.\d{3}|retry-after: [1-9]/iv);
		}
	}));
}

/** Entries, statuses of requests for the keys of a cold holder. */
const keyedCases: ReadonlyArray<{readonly name: string; readonly entryCount: number; readonly random: number; readonly coldCapacity: ColdCapacity | undefined; readonly status: number}> = [
	{
		name: 'without a cold capacity', entryCount: 1000, random: 0.9, coldCapacity: undefined, status: 200,
	},
	{
		name: 'in the turn of this entry', entryCount: 1000, random: 0, coldCapacity: capacity, status: 200,
	},
	{
		name: 'long before the turn of this entry', entryCount: 1000, random: 0.9, coldCapacity: capacity, status: 503,
	},
	{
		name: 'with few entries', entryCount: 1, random: 0.9, coldCapacity: ample, status: 200,
	},
];

for (const {name, entryCount, coldCapacity, random, status} of keyedCases) {
	test(`cold admission at an entry: the key of a cold holder, ${name}`, async () => withEntry([whole], true, async (entry, upstreams) => {
		entry.table.cold.connect({
			fractionOf: () => 0, contactAt: () => performance.now() + 60_000, entryCount: () => entryCount, onSend: () => undefined,
		});
		const state = changed(upstreams, {coldCapacity, cold: ['u0']});
		entry.table.update({...state, upstreams: {u0: {...state.upstreams.u0!, service: 'k'}}}, 1);
		const text = requestText('/keyed/', 'r').replace('\r\n\r\n', '\r\nKey: 7\r\n\r\n');
		const answered = await call(entry.port, text, hasHead);
		assert.equal(Number(answered.split(' ')[1]), status);
		assert.equal(upstreams[0]!.requests.length, status === 200 ? 1 : 0);
	}, {random: () => random, shareOf: () => 1}));
}

/** What changes between the choice of an upstream and the first byte of the request. */
const firstByteCases: ReadonlyArray<{readonly name: string; readonly before: Change; readonly after: Change; readonly holdsLease: readonly [boolean, boolean]; readonly mayStart: boolean}> = [
	{
		name: 'nothing', before: {coldCapacity: ample}, after: {coldCapacity: ample}, holdsLease: [false, false], mayStart: true,
	},
	{
		name: 'the upstream has become cold', before: {coldCapacity: ample}, after: {coldCapacity: ample, cold: ['u0']}, holdsLease: [false, false], mayStart: false,
	},
	{
		name: 'the upstream has become cold, and the lease is here', before: {coldCapacity: ample}, after: {coldCapacity: ample, cold: ['u0']}, holdsLease: [false, true], mayStart: true,
	},
	{
		name: 'the lease of a cold upstream is lost', before: {coldCapacity: ample, cold: ['u0']}, after: {coldCapacity: ample, cold: ['u0']}, holdsLease: [true, false], mayStart: false,
	},
	{
		name: 'the upstream has become warm, and its lease is lost', before: {coldCapacity: ample, cold: ['u0']}, after: {coldCapacity: ample}, holdsLease: [true, false], mayStart: true,
	},
];

for (const {name, before, after, holdsLease, mayStart} of firstByteCases) {
	test(`cold admission before the first byte: ${name}`, async () => withEntry([whole], true, async ({table}, upstreams) => {
		let [isThrottled] = holdsLease;
		table.cold.connect({
			fractionOf: () => isThrottled ? 1 : 0, contactAt: () => performance.now() + 60_000, entryCount: () => 1, onSend: () => undefined,
		});
		table.update(changed(upstreams, before), 1);
		const choice = new UpstreamChoice({table, entryCount: () => 1}, table.service('s'), findRoute(table.routes, 'a.example', '/safe/')!, undefined);
		choice.choose(performance.now());
		await pause(2);
		const chosen = choice.choose(performance.now())!;
		choice.recordSend(chosen, performance.now());
		table.update(changed(upstreams, after), 1);
		isThrottled = holdsLease[1];
		await pause(2);
		assert.equal(choice.mayStart(chosen, performance.now()), mayStart);
	}, {random: () => 1}));
}
