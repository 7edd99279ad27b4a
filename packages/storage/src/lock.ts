/**
 * Keeps a data folder to one process. The lock is a listening Unix-domain
 * socket in Linux's abstract namespace, named by the folder's device and inode:
 * the kernel gives it up when its process ends in any way, so that no lock is
 * ever left behind. A file in the folder tells who holds it, and is no lock.
 *
 * It keeps apart processes of one machine and one network namespace. It does
 * not where the folder is shared over a network, and not outside Linux.
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
import {readIfThere} from './files.js';

/** A folder that this process holds. */
export type FolderLock = {
	/** Gives the folder up. */
	readonly release: () => Promise<void>;
};

const holderFile = 'holder';
const holderForm = /^dogwooddeck holder 1 (?<processNumber>\d+) (?<startedAt>\d+)\n$/v;

/** The whole length of such a name: shorter ones are filled up by some versions of the runtime, and are then others. */
const socketNameBytes = 108;

/** The position of the start time among the fields of `/proc/PID/stat` that follow the command's name. */
const startedAtPosition = 19;

/** When a process started, in clock ticks since the machine did: with its number it names one life of it. */
async function startOf(processNumber: number): Promise<string | undefined> {
	try {
		const text = await readFile(`/proc/${processNumber}/stat`, 'utf8');
		return text.slice(text.lastIndexOf(')') + 2).split(' ')[startedAtPosition];
	} catch {
		return undefined;
	}
}

async function writeHolder(folder: string): Promise<void> {
	const startedAt = await startOf(process.pid);
	await writeFile(path.join(folder, holderFile), `dogwooddeck holder 1 ${process.pid} ${startedAt ?? 0}\n`);
}

/** The file may be that of an earlier holder, for the moment until the new one has written it. */
async function describeHolder(folder: string): Promise<string> {
	const bytes = await readIfThere(path.join(folder, holderFile));
	const {processNumber, startedAt} = holderForm.exec(new TextDecoder().decode(bytes))?.groups ?? {};
	const lives = processNumber !== undefined && await startOf(Number(processNumber)) === startedAt;
	return lives ? `process ${processNumber}, started at tick ${startedAt}` : 'a process that has not said yet which it is';
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

async function lock(folder: string): Promise<FolderLock> {
	if (process.platform !== 'linux') {
		return {
			async release() {
				// There was nothing to hold.
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
 * Takes a folder for this process alone, and makes it where it is missing. Fails with `conflict`,
 * which names the folder and its holder, and with `storageFailed`.
 */
export async function lockFolder(folder: string): Promise<Result<FolderLock, Failure>> {
	try {
		return ok(await lock(folder));
	} catch (error) {
		return err((error as NodeJS.ErrnoException).code === 'EADDRINUSE'
			? failure(FailureKind.conflict, `the data folder ${folder} is held by ${await describeHolder(folder)}`)
			: toFailure(error, FailureKind.storageFailed));
	}
}

/** As `lockFolder`, but throws a `FailureError`. */
export async function holdFolder(folder: string): Promise<FolderLock> {
	const held = await lockFolder(folder);
	if (held.isErr) {
		throw new FailureError(held.error);
	}

	return held.value;
}
