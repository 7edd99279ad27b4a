/**
 * Durable file writes: syncs the written content and the directory that
 * contains the file.
 */
import {
	open, readFile, rename, type FileHandle,
} from 'node:fs/promises';
import path from 'node:path';
import {failure, FailureError, FailureKind} from '@dogwooddeck/model/failure';

/** Creates the `storageDamaged` failure for a file whose content is corrupt. */
export function damagedFailure(file: string, offsetBytes: number, detail: string): FailureError {
	return new FailureError(failure(FailureKind.storageDamaged, detail, {location: {file, offsetBytes}}));
}

/** Syncs a folder, which makes its directory entries durable. */
export async function syncFolder(folder: string): Promise<void> {
	const handle = await open(folder, 'r');
	try {
		await handle.sync();
	} finally {
		await handle.close();
	}
}

/** Writes all bytes at a position, and continues after partial writes. */
export async function writeFully(handle: FileHandle, bytes: Uint8Array, position: number): Promise<void> {
	let written = 0;
	while (written < bytes.length) {
		const part = await handle.write(bytes, written, bytes.length - written, position + written);
		written += part.bytesWritten;
	}
}

/** Replaces a file atomically: a reader sees the old content or the new, never a part. */
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

/** Reads a file; returns undefined if it does not exist. */
export async function readIfExists(file: string): Promise<Uint8Array | undefined> {
	try {
		return await readFile(file);
	} catch (error) {
		if ((error as NodeJS.ErrnoException).code === 'ENOENT') {
			return undefined;
		}

		throw error;
	}
}
