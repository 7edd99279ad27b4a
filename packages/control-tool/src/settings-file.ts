/**
 * Reads TOML files. Every failure names the file, the place and the reason.
 */
import {readFile} from 'node:fs/promises';
import {type Failure} from '@dogwooddeck/model/failure';
import {problemsFailure} from '@dogwooddeck/configuration/strict-schema';
import {parse, TomlError} from 'smol-toml';
import {err, ok, type Result} from 'true-myth/result';

const largestFileCharacters = 1_048_576;

const reasonsOfCode: Readonly<Record<string, string>> = {
	ENOENT: 'the file does not exist',
	EACCES: 'the file may not be read',
	EISDIR: 'is a folder, not a file',
	ENOTDIR: 'is not a folder',
};

/** Why a file or folder can't be read, as a sentence. */
export function readProblem(thrown: unknown): string {
	const code = thrown instanceof Error && 'code' in thrown ? String(thrown.code) : 'unknown';
	return reasonsOfCode[code] ?? `can't be read: ${code}`;
}

/** The failure of one file. */
export function fileFailure(file: string, reason: string, path = ''): Failure {
	return problemsFailure([{file, path, reason}]);
}

/** Reads a file as text. Fails with `settingsInvalid`. */
export async function readText(file: string): Promise<Result<string, Failure>> {
	try {
		const text = await readFile(file, 'utf8');
		return text.length > largestFileCharacters
			? err(fileFailure(file, `is larger than ${largestFileCharacters} characters`))
			: ok(text);
	} catch (error) {
		return err(fileFailure(file, readProblem(error)));
	}
}

/** Parses the text of a TOML file. Fails with `settingsInvalid`. */
export function parseToml(file: string, text: string): Result<unknown, Failure> {
	try {
		return ok(parse(text));
	} catch (error) {
		const reason = error instanceof Error ? error.message.split('\n', 1)[0]! : String(error);
		const path = error instanceof TomlError ? `line ${error.line}, column ${error.column}` : '';
		return err(fileFailure(file, reason, path));
	}
}

/** Reads and parses a TOML file. Fails with `settingsInvalid`. */
export async function readToml(file: string): Promise<Result<unknown, Failure>> {
	const text = await readText(file);
	return text.andThen(content => parseToml(file, content));
}
