/**
 * Only one process at a time can open a data folder, and a process that has ended leaves no stale lock.
 */
import assert from 'node:assert/strict';
import {type ChildProcess, spawn} from 'node:child_process';
import {once} from 'node:events';
import {
	mkdtemp, rm, symlink, writeFile,
} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {after, test} from 'node:test';
import {FailureKind} from '@dogwooddeck/model/failure';
import {openFolder, type OpenFolder} from '@dogwooddeck/storage/folder';

const holderScript = 'const {openFolder} = await import("@dogwooddeck/storage/folder");'
	+ 'const opened = await openFolder(process.argv[1]); console.log(opened.isOk ? "held" : opened.error.detail); setInterval(() => {}, 1000);';

const children: ChildProcess[] = [];
after(() => {
	for (const child of children) {
		child.kill('SIGKILL');
	}
});

async function startHolder(folder: string): Promise<ChildProcess> {
	const child = spawn(process.execPath, ['--input-type=module', '--eval', holderScript, folder], {stdio: ['ignore', 'pipe', 'inherit'], cwd: import.meta.dirname});
	children.push(child);
	const output: readonly unknown[] = await once(child.stdout, 'data');
	assert.equal(String(output[0]), 'held\n');
	return child;
}

async function openOrFail(folder: string): Promise<OpenFolder> {
	const result = await openFolder(folder);
	assert.ok(result.isOk, JSON.stringify(result));
	return result.value;
}

async function assertRefused(folder: string, holder: number): Promise<void> {
	const result = await openFolder(folder);
	assert.ok(result.isErr, 'the folder was opened a second time');
	assert.equal(result.error.kind, FailureKind.conflict);
	assert.ok(result.error.detail.startsWith(`the data folder ${folder} is held by process ${holder}, started at tick `), result.error.detail);
}

async function assertReopens(folder: string): Promise<void> {
	const {storage} = await openOrFail(folder);
	await storage.close();
}

const cases: ReadonlyArray<{readonly name: string; readonly run: (folder: string) => Promise<void>}> = [
	{
		name: 'the same process',
		async run(folder) {
			const {storage} = await openOrFail(folder);
			await assertRefused(folder, process.pid);
			await storage.close();
			await assertReopens(folder);
		},
	},
	{
		name: 'another path to the folder',
		async run(folder) {
			const {storage} = await openOrFail(folder);
			await symlink(folder, `${folder}-link`);
			await assertRefused(`${folder}-link`, process.pid);
			await rm(`${folder}-link`);
			await storage.close();
		},
	},
	{
		name: 'a failed open releases the folder',
		async run(folder) {
			await writeFile(path.join(folder, 'identity'), 'no identity');
			const first = await openFolder(folder);
			assert.equal(first.isErr && first.error.kind, FailureKind.storageDamaged);
			await rm(path.join(folder, 'identity'));
			await assertReopens(folder);
		},
	},
	{
		name: 'only one of several concurrent opens succeeds',
		async run(folder) {
			const results = await Promise.all(Array.from({length: 8}, async () => openFolder(folder)));
			const held = results.filter(result => result.isOk);
			assert.equal(held.length, 1);
			await held[0]!.unwrapOr(undefined as unknown as OpenFolder).storage.close();
			await assertReopens(folder);
		},
	},
	{
		name: 'another process, stopped, then killed',
		async run(folder) {
			const child = await startHolder(folder);
			await assertRefused(folder, child.pid!);
			child.kill('SIGSTOP');
			await assertRefused(folder, child.pid!);
			child.kill('SIGKILL');
			await once(child, 'exit');
			await assertReopens(folder);
		},
	},
];

for (const {name, run} of cases) {
	test(`lock: ${name}`, async () => {
		const folder = await mkdtemp(path.join(tmpdir(), 'dogwooddeck-lock-'));
		try {
			await run(folder);
		} finally {
			await rm(folder, {recursive: true});
		}
	});
}
