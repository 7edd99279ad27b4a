/**
 * Writing files so that they last: what is written is synced, and so is the
 * folder that names it.
 */
import {
	open, readFile, rename, type FileHandle,
} from 'node:fs/promises';
import path from 'node:path';
import {failure, FailureError, FailureKind} from '@dogwooddeck/model/failure';

/** The failure of a file whose content can't be trusted. */
export function damaged(file: string, offsetBytes: number, detail: string): FailureError {
	return new FailureError(failure(FailureKind.storageDamaged, detail, {location: {file, offsetBytes}}));
}

/** Syncs a folder, so that the names in it last. */
export async function syncFolder(folder: string): Promise<void> {
	const handle = await open(folder, 'r');
	try {
		await handle.sync();
	} finally {
		await handle.close();
	}
}

/** Writes all of the bytes at a position, also where the system takes them in parts. */
export async function writeFully(handle: FileHandle, bytes: Uint8Array, position: number): Promise<void> {
	let written = 0;
	while (written < bytes.length) {
		const part = await handle.write(bytes, written, bytes.length - written, position + written);
		written += part.bytesWritten;
	}
}

/** Puts a whole file in place of another: a reader finds the old one or the new one, never a part. */
export async function replaceFile(file: string, bytes: Uint8Array): Promise<void> {
	const temporary = `${file}.new`;
	const handle = await open(temporary, 'w');
	try {
		await writeFully(handle, bytes, 0);
		await handle.sync();
	} finally {
		await handle.close();
	}

	await rename(temporary, file);
	await syncFolder(path.dirname(file));
}

/** Reads a file; undefined where there is none. */
export async function readIfThere(file: string): Promise<Uint8Array | undefined> {
	try {
		return await readFile(file);
	} catch (error) {
		if ((error as NodeJS.ErrnoException).code === 'ENOENT') {
			return undefined;
		}

		throw error;
	}
}
