/**
 * Schemas that take no unknown key, and the problems that a parse found, each
 * with its file and path.
 */
import {
	failure, FailureKind, type Failure, type SettingsProblem,
} from '@dogwooddeck/model/failure';
import {err, ok, type Result} from 'true-myth/result';
import * as v from 'valibot';

/** An object with just these keys. Unlike valibot's own strict object, it reports every unknown key. */
export function strictObject<const Entries extends v.ObjectEntries>(entries: Entries): v.StrictObjectSchema<Entries, undefined> {
	return v.objectWithRest(entries, v.never('unknown key')) as unknown as v.StrictObjectSchema<Entries, undefined>;
}

function reasonOf(issue: v.BaseIssue<unknown>): string {
	if (issue.kind === 'schema' && issue.received === 'undefined' && issue.type !== 'never') {
		return 'missing';
	}

	return issue.message.replace(/^Invalid type: /u, '').replace(/^Expected/u, 'expected').replace(/ but received/u, ', found');
}

function problemOf(file: string, issue: v.BaseIssue<unknown>): SettingsProblem {
	return {file, path: v.getDotPath(issue) ?? '', reason: reasonOf(issue)};
}

/** The failure that carries problems; its sentence names the first of them. */
export function problemsFailure(problems: readonly SettingsProblem[], kind: FailureKind = FailureKind.settingsInvalid): Failure {
	const first = problems[0];
	const place = first === undefined ? 'settings' : [first.file, first.path].filter(part => part !== '').join(': ');
	const more = problems.length > 1 ? ` (and ${problems.length - 1} more)` : '';
	return failure(kind, `${place}: ${first?.reason ?? 'invalid'}${more}`, {problems});
}

/** Parses a value by a schema; all problems are reported at once. */
export function parseStrictly<Schema extends v.GenericSchema>(
	schema: Schema,
	value: unknown,
	file: string,
): Result<v.InferOutput<Schema>, Failure> {
	const parsed = v.safeParse(schema, value);
	return parsed.success
		? ok(parsed.output)
		: err(problemsFailure(parsed.issues.map(issue => problemOf(file, issue))));
}
