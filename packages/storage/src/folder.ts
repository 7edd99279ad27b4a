/**
 * Opens and validates the data folder of one voter: its identity, log and
 * snapshot files.
 */
import {randomUUID} from 'node:crypto';
import {mkdir} from 'node:fs/promises';
import path from 'node:path';
import {bootstrapFolder} from '@dogwooddeck/consensus/bootstrap';
import {type SavedState} from '@dogwooddeck/consensus/voter-interface';
import {
	failure, FailureError, FailureKind, toFailure, type Failure,
} from '@dogwooddeck/model/failure';
import {err, ok, type Result} from 'true-myth/result';
import loadHash, {type XXHashAPI} from 'xxhash-wasm';
import {
	damagedFailure, readIfExists, replaceFile, syncFolder,
} from './files.js';
import {type FolderLock, holdFolder} from './lock.js';
import {
	openLogFile, readLogFile, replaceLogFile, type LogContent,
} from './log-file.js';
import {isEmpty, replayRecords} from './record.js';
import {readSnapshot} from './snapshot-file.js';
import {Storage} from './storage.js';

export {Storage, type PersistRequest} from './storage.js';

/** An open data folder. */
export type OpenFolder = {
	readonly storage: Storage;
	readonly saved: SavedState;
	/** Distinguishes this folder from one that was lost and created again. */
	readonly folderIdentity: string;
	/** Whether the folder holds no state yet. */
	readonly fresh: boolean;
};

type FolderPaths = {readonly folder: string; readonly identity: string; readonly log: string; readonly snapshot: string};

function pathsOf(folder: string): FolderPaths {
	return {
		folder,
		identity: path.join(folder, 'identity'),
		log: path.join(folder, 'log'),
		snapshot: path.join(folder, 'snapshot'),
	};
}

async function createFolder(folder: string): Promise<void> {
	await mkdir(folder, {recursive: true});
	await syncFolder(path.dirname(path.resolve(folder)));
}

async function readIdentity(file: string): Promise<string | undefined> {
	const bytes = await readIfExists(file);
	const text = bytes === undefined ? undefined : new TextDecoder().decode(bytes);
	if (text !== undefined && !/^dogwooddeck folder 1 [\w\-]+\n$/v.test(text)) {
		throw damagedFailure(file, 0, 'The file does not hold a folder identity of format 1.');
	}

	return text?.trim().split(' ').at(-1);
}

/** Writes the identity file last, so that a folder with an identity always has a log. */
async function createIdentity(file: string, found: boolean): Promise<string> {
	const identity = found ? bootstrapFolder : randomUUID();
	await replaceFile(file, new TextEncoder().encode(`dogwooddeck folder 1 ${identity}\n`));
	return identity;
}

type FolderContent = {
	readonly identity: string | undefined;
	readonly log: LogContent | undefined;
	readonly saved: SavedState;
};

async function readFolder(hash: XXHashAPI, paths: FolderPaths): Promise<FolderContent> {
	const identity = await readIdentity(paths.identity);
	const snapshot = await readSnapshot(hash, paths.snapshot);
	const log = await readLogFile(hash, paths.log);
	if (log === undefined && (identity !== undefined || snapshot !== undefined)) {
		throw damagedFailure(paths.log, 0, 'The log is missing.');
	}

	const saved = replayRecords(log?.records ?? [], snapshot);
	if (saved === undefined) {
		throw damagedFailure(paths.log, 0, 'Entries are missing between the snapshot and the log.');
	}

	if (identity === undefined && !isEmpty(saved)) {
		throw damagedFailure(paths.identity, 0, 'The folder holds a log but its identity is missing.');
	}

	return {identity, log, saved};
}

async function openLocked(folder: string, found: boolean, {release}: FolderLock): Promise<OpenFolder> {
	const paths = pathsOf(folder);
	const hash = await loadHash();
	const {identity, log, saved} = await readFolder(hash, paths);
	const fresh = isEmpty(saved);
	if (found && fresh && identity !== undefined && identity !== bootstrapFolder) {
		throw new FailureError(failure(FailureKind.conflict, 'The folder was opened before without bootstrapping a cluster; bootstrap with an empty folder.'));
	}

	const file = log === undefined ? await replaceLogFile(hash, paths.log, []) : await openLogFile(paths.log, log);
	const folderIdentity = identity ?? await createIdentity(paths.identity, found);
	const dependencies = {
		hash, logPath: paths.log, snapshotPath: paths.snapshot, release,
	};
	return {
		storage: new Storage(dependencies, file, saved), saved, folderIdentity, fresh,
	};
}

/** What ensures that only one process uses a folder. */
export const FolderLocking = {
	/** This process, with a lock that the kernel releases when the process ends. */
	own: 'own',
	/** The supervisor that starts the processes. For systems without Unix-domain sockets. */
	byOthers: 'by-others',
} as const;

export type FolderLocking = (typeof FolderLocking)[keyof typeof FolderLocking];

/** Options of `openFolder`: whether to bootstrap a cluster, and how the folder is locked. */
export type FolderOptions = {readonly found?: boolean; readonly locking?: FolderLocking};

const lockFunctions: Readonly<Record<FolderLocking, (folder: string) => Promise<FolderLock>>> = {
	[FolderLocking.own]: holdFolder,
	[FolderLocking.byOthers]: async () => ({
		async release() {
			// No lock was acquired.
		},
	}),
};

async function open(folder: string, {found = false, locking = FolderLocking.own}: FolderOptions): Promise<OpenFolder> {
	await createFolder(folder);
	const lock = await lockFunctions[locking](folder);
	try {
		return await openLocked(folder, found, lock);
	} catch (error) {
		await lock.release();
		throw error;
	}
}

/**
 * Opens a data folder, and creates it if it is missing. With `found` a new
 * folder gets the identity shared by all bootstrap voters; otherwise a random
 * one, which is in no voter set until an operator adds it.
 * This process holds the folder until its storage is closed.
 * Fails with `storageDamaged` (file and offset), `storageFailed` or `conflict`,
 * the last also if another process holds the folder.
 */
export async function openFolder(folder: string, options: FolderOptions = {}): Promise<Result<OpenFolder, Failure>> {
	try {
		return ok(await open(folder, options));
	} catch (error) {
		return err(toFailure(error, FailureKind.storageFailed));
	}
}
