/**
 * Golden files: the transcript of a session, compared byte for byte.
 */
import {mkdir, readFile, writeFile} from 'node:fs/promises';
import path from 'node:path';
import process from 'node:process';

/** Names what differs from run to run: each pattern is replaced by its name. */
export type Masks = ReadonlyArray<readonly [pattern: RegExp, name: string]>;

/** Incarnations, addresses, operation identifiers and log positions. */
export const commonMasks: Masks = [
	[/127\.0\.0\.1:\d+/gv, 'ADDRESS'],
	[/[\da-f]{8}-[\da-f]{4}-[\da-f]{4}-[\da-f]{4}-[\da-f]{12}/gv, 'IDENTIFIER'],
	[/\b1[78]\d{11}\b/gv, 'INCARNATION'],
	[/\b(revision|index|base|applied) \d+/gv, '$1 NUMBER'],
	[/\/tmp\/dogwooddeck-\w+/gv, 'FOLDER'],
	[/\d{4}-\d\d-\d\dT[\d:.]+Z/gv, 'TIME'],
	[/"fence":\d+/gv, '"fence":NUMBER'],
	[/^\d+ +TIME/gmv, 'NUMBER TIME'],
	[/[ \t]+$/gmv, ''],
];

/** A transcript with everything masked that differs from run to run. */
export function masked(transcript: string, masks: Masks = commonMasks): string {
	return masks.reduce((text, [pattern, name]) => text.replace(pattern, name), transcript);
}

/**
 * The text of a golden file. With `DOGWOODDECK_GOLDEN=write` in the environment
 * the file is written first: that is done on purpose, and read before it is committed.
 */
export async function golden(file: string, actual: string): Promise<string> {
	if (process.env.DOGWOODDECK_GOLDEN === 'write') {
		await mkdir(path.dirname(file), {recursive: true});
		await writeFile(file, actual);
	}

	return readFile(file, 'utf8');
}
