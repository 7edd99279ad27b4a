/**
 * An exclusive lock on a data folder. The lock is a listening Unix-domain
 * socket in Linux's abstract namespace, named by the folder's device and inode:
 * the kernel releases it when its process ends in any way, so no stale lock
 * remains. A file in the folder names the holder for diagnostics only.
 *
 * It excludes processes of the same machine and network namespace. It has no
 * effect between machines that share a folder over a network, nor outside Linux.
 */
import {once} from 'node:events';
import {
	mkdir, readFile, stat, writeFile,
} from 'node:fs/promises';
import {createServer, type Server} from 'node:net';
import path from 'node:path';
import process from 'node:process';
import {
	failure, FailureError, FailureKind, toFailure, type Failure,
} from '@dogwooddeck/model/failure';
import {err, ok, type Result} from 'true-myth/result';
import {readIfExists} from './files.js';

/** A lock on a folder that this process holds. */
export type FolderLock = {
	readonly release: () => Promise<void>;
};

const holderFile = 'holder';
const holderPattern = /^dogwooddeck holder 1 (?<processNumber>\d+) (?<startedAt>\d+)\n$/v;

/** The full length of an abstract socket name. Some versions of the runtime pad shorter names, which makes them different names. */
const socketNameBytes = 108;

/** The position of the start time among the fields of `/proc/PID/stat` that follow the command's name. */
const startTimeFieldIndex = 19;

/** Returns when a process started, in clock ticks since boot. With the process number it identifies one incarnation; undefined if it cannot be read. */
async function readStartTime(processNumber: number): Promise<string | undefined> {
	try {
		const text = await readFile(`/proc/${processNumber}/stat`, 'utf8');
		return text.slice(text.lastIndexOf(')') + 2).split(' ')[startTimeFieldIndex];
	} catch {
		return undefined;
	}
}

async function writeHolder(folder: string): Promise<void> {
	const startedAt = await readStartTime(process.pid);
	await writeFile(path.join(folder, holderFile), `dogwooddeck holder 1 ${process.pid} ${startedAt ?? 0}\n`);
}

/** Describes the holder. Until a new holder has written the file, it may name an earlier one. */
async function describeHolder(folder: string): Promise<string> {
	const bytes = await readIfExists(path.join(folder, holderFile));
	const {processNumber, startedAt} = holderPattern.exec(new TextDecoder().decode(bytes))?.groups ?? {};
	const isRunning = processNumber !== undefined && await readStartTime(Number(processNumber)) === startedAt;
	return isRunning ? `process ${processNumber}, started at tick ${startedAt}` : 'a process that has not yet written its process number';
}

async function socketName(folder: string): Promise<string> {
	const {dev, ino} = await stat(folder, {bigint: true});
	return `\0dogwooddeck-folder-${dev}-${ino}`.padEnd(socketNameBytes, '-');
}

async function listen(name: string): Promise<Server> {
	const server = createServer(socket => {
		socket.destroy();
	});
	server.unref();
	server.listen(name);
	await once(server, 'listening');
	return server;
}

async function acquireLock(folder: string): Promise<FolderLock> {
	if (process.platform !== 'linux') {
		return {
			async release() {
				// No lock was acquired.
			},
		};
	}

	await mkdir(folder, {recursive: true});
	const server = await listen(await socketName(folder));
	await writeHolder(folder);
	return {
		async release() {
			await new Promise(resolve => {
				server.close(resolve);
			});
		},
	};
}

/**
 * Locks a folder for this process, and creates it if it is missing. Fails with `conflict`,
 * which names the folder and its holder, or with `storageFailed`.
 */
export async function lockFolder(folder: string): Promise<Result<FolderLock, Failure>> {
	try {
		return ok(await acquireLock(folder));
	} catch (error) {
		return err((error as NodeJS.ErrnoException).code === 'EADDRINUSE'
			? failure(FailureKind.conflict, `the data folder ${folder} is held by ${await describeHolder(folder)}`)
			: toFailure(error, FailureKind.storageFailed));
	}
}

/** Like `lockFolder`, but throws a `FailureError`. */
export async function holdFolder(folder: string): Promise<FolderLock> {
	const held = await lockFolder(folder);
	if (held.isErr) {
		throw new FailureError(held.error);
	}

	return held.value;
}
