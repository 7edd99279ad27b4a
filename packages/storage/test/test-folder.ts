import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {
	mkdtemp, readFile, rm, stat, truncate, writeFile,
} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {test} from 'node:test';
import {bootstrapFolder} from '@dogwooddeck/consensus/bootstrap';
import {type LogEntry, type Snapshot} from '@dogwooddeck/consensus/message';
import {type Failure} from '@dogwooddeck/model/failure';
import {openFolder, type OpenFolder, type PersistRequest} from '@dogwooddeck/storage/folder';

async function withFolder(use: (folder: string) => Promise<void>): Promise<void> {
	const folder = await mkdtemp(path.join(tmpdir(), 'dogwooddeck-storage-'));
	try {
		await use(folder);
	} finally {
		await rm(folder, {recursive: true});
	}
}

async function openOrFail(folder: string, found = false): Promise<OpenFolder> {
	const result = await openFolder(folder, {found});
	assert.ok(result.isOk, JSON.stringify(result));
	return result.value;
}

async function openFailure(folder: string, found = false): Promise<Failure> {
	const result = await openFolder(folder, {found});
	assert.ok(result.isErr);
	return result.error;
}

function entry(index: number, term = 1, payload = `p${index}`): LogEntry {
	return {index, term, body: {kind: 'command', payload}};
}

function request(term: number, entries: readonly LogEntry[], snapshot?: Snapshot): PersistRequest {
	return {hardState: {term}, entries, ...(snapshot === undefined ? {} : {snapshot})};
}

function snapshotAt(index: number, term = 1): Snapshot {
	return {
		index, term, voterSet: {voters: [], learners: []}, data: `state ${index}`,
	};
}

async function persistAll(folder: string, requests: readonly PersistRequest[], found = false): Promise<void> {
	const {storage} = await openOrFail(folder, found);
	for (const result of await Promise.all(requests.map(async one => storage.persist(one)))) {
		assert.ok(result.isOk, JSON.stringify(result));
	}

	await storage.close();
}

/** Persists each request with an open and a close of its own, so that each has its own synced frame. */
async function persistEach(folder: string, requests: readonly PersistRequest[]): Promise<void> {
	for (const one of requests) {
		await persistAll(folder, [one]);
	}
}

const histories: ReadonlyArray<{
	readonly name: string;
	readonly requests: readonly PersistRequest[];
	readonly entries: readonly LogEntry[];
	readonly snapshot?: Snapshot;
	readonly term: number;
}> = [
	{
		name: 'a term alone', requests: [request(7, [])], entries: [], term: 7,
	},
	{
		name: 'appends', requests: [request(1, [entry(1)]), request(1, [entry(2), entry(3)])], entries: [entry(1), entry(2), entry(3)], term: 1,
	},
	{
		name: 'a conflict that replaces entries', requests: [request(1, [entry(1), entry(2), entry(3)]), request(2, [entry(2, 2)])], entries: [entry(1), entry(2, 2)], term: 2,
	},
	{
		name: 'a conflict from the first entry on', requests: [request(1, [entry(1), entry(2)]), request(2, [entry(1, 2)])], entries: [entry(1, 2)], term: 2,
	},
	{
		name: 'a snapshot of the voter itself',
		requests: [request(1, [entry(1), entry(2), entry(3)]), request(1, [], snapshotAt(2)), request(1, [entry(4)])],
		entries: [entry(3), entry(4)], snapshot: snapshotAt(2), term: 1,
	},
	{
		name: 'a snapshot that is ahead of the log',
		requests: [request(1, [entry(1)]), request(3, [], snapshotAt(9, 2)), request(3, [entry(10, 3)])],
		entries: [entry(10, 3)], snapshot: snapshotAt(9, 2), term: 3,
	},
	{
		name: 'a snapshot that conflicts with the log', requests: [request(1, [entry(1), entry(2), entry(3)]), request(2, [], snapshotAt(2, 2))], entries: [], snapshot: snapshotAt(2, 2), term: 2,
	},
];

for (const {name, requests, entries, snapshot, term} of histories) {
	for (const [manner, persist] of [['together', persistAll], ['one by one', persistEach]] as const) {
		test(`state persisted ${manner} is restored: ${name}`, async () => withFolder(async folder => {
			await persist(folder, requests);
			const {saved, storage, fresh} = await openOrFail(folder);
			assert.deepEqual(saved, {hardState: {term}, entries, ...(snapshot === undefined ? {} : {snapshot})});
			assert.equal(fresh, false);
			await storage.close();
		}));
	}
}

const writes = [request(1, [entry(1)]), request(1, [entry(2)]), request(2, [entry(3, 2)])];

async function fileLength(file: string): Promise<number> {
	const {size} = await stat(file);
	return size;
}

async function frameEnds(folder: string): Promise<readonly number[]> {
	const ends: number[] = [];
	for (const one of writes) {
		await persistAll(folder, [one]);
		ends.push(await fileLength(path.join(folder, 'log')));
	}

	return ends;
}

test('a torn tail is truncated, at whichever byte it is torn', async () => withFolder(async folder => {
	const [, second = 0, third = 0] = await frameEnds(folder);
	const whole = await readFile(path.join(folder, 'log'));
	for (let length = second; length < third; length++) {
		await writeFile(path.join(folder, 'log'), whole.subarray(0, length));
		const {saved, storage} = await openOrFail(folder);
		assert.deepEqual(saved, {hardState: {term: 1}, entries: [entry(1), entry(2)]});
		await storage.close();
		assert.equal(await fileLength(path.join(folder, 'log')), second);
	}

	await persistAll(folder, [request(3, [entry(3, 3)])]);
	const {saved, storage} = await openOrFail(folder);
	assert.deepEqual(saved.entries, [entry(1), entry(2), entry(3, 3)]);
	await storage.close();
}));

test('damage before the tail is reported with file and offset, for every byte', async () => withFolder(async folder => {
	const [first = 0, second = 0] = await frameEnds(folder);
	const file = path.join(folder, 'log');
	const whole = await readFile(file);
	for (let offset = 0; offset < second; offset++) {
		const changed = Buffer.from(whole);
		changed[offset] = 255 - changed[offset]!;
		await writeFile(file, changed);
		const {kind, location} = await openFailure(folder);
		assert.equal(kind, 'storage-damaged');
		const format = 'dogwooddeck log 1\n'.length;
		assert.deepEqual(location, {file, offsetBytes: offset < format ? 0 : (offset < first ? format : first)});
	}
}));

const damageCases: ReadonlyArray<{readonly name: string; readonly damage: (folder: string) => Promise<void>; readonly file: string}> = [
	{name: 'no log', damage: async folder => rm(path.join(folder, 'log')), file: 'log'},
	{name: 'no identity', damage: async folder => rm(path.join(folder, 'identity')), file: 'identity'},
	{name: 'a truncated identity', damage: async folder => truncate(path.join(folder, 'identity'), 9), file: 'identity'},
	{name: 'a truncated snapshot', damage: async folder => truncate(path.join(folder, 'snapshot'), 40), file: 'snapshot'},
	{name: 'no snapshot', damage: async folder => rm(path.join(folder, 'snapshot')), file: 'log'},
	{name: 'a log of a later format', damage: async folder => writeFile(path.join(folder, 'log'), 'dogwooddeck log 2\n'), file: 'log'},
];

for (const {name, damage, file} of damageCases) {
	test(`a damaged folder is rejected: ${name}`, async () => withFolder(async folder => {
		await persistAll(folder, [request(1, [entry(1), entry(2), entry(3)]), request(1, [], snapshotAt(2))]);
		await damage(folder);
		const {kind, location} = await openFailure(folder);
		assert.equal(kind, 'storage-damaged');
		assert.equal(location?.file, path.join(folder, file));
	}));
}

test('a crash between writing the snapshot and compacting the log loses nothing', async () => withFolder(async folder => {
	await persistAll(folder, [request(1, [entry(1), entry(2), entry(3)])]);
	const longLog = await readFile(path.join(folder, 'log'));
	await persistAll(folder, [request(1, [], snapshotAt(2))]);
	await writeFile(path.join(folder, 'log'), longLog);
	const {saved, storage} = await openOrFail(folder);
	assert.deepEqual(saved, {hardState: {term: 1}, entries: [entry(3)], snapshot: snapshotAt(2)});
	await storage.close();
}));

test('a folder keeps its identity, and one created after a loss gets another', async () => withFolder(async folder => {
	const identities: string[] = [];
	for (const lost of [false, false, true]) {
		if (lost) {
			await rm(folder, {recursive: true});
		}

		const {folderIdentity, fresh, storage} = await openOrFail(folder);
		assert.equal(fresh, true);
		identities.push(folderIdentity);
		await storage.close();
	}

	assert.equal(identities[0], identities[1]);
	assert.notEqual(identities[1], identities[2]);
	const {kind} = await openFailure(folder, true);
	assert.equal(kind, 'conflict');
}));

test('bootstrap voters share an identity, and bootstrap only once', async () => withFolder(async folder => {
	await persistAll(folder, [request(1, [entry(1)])], true);
	const {folderIdentity, fresh, storage} = await openOrFail(folder, true);
	assert.equal(folderIdentity, bootstrapFolder);
	assert.equal(fresh, false);
	await storage.close();
	const refused = await storage.persist(request(1, []));
	assert.ok(refused.isErr);
}));
