/**
 * What a command prints: for a person, or as JSON for a program.
 */
import {type Failure} from '@dogwooddeck/model/failure';

/** The forms of output. */
export const OutputFormat = {
	text: 'text',
	json: 'json',
} as const;

/** One of the forms of output. */
export type OutputFormat = (typeof OutputFormat)[keyof typeof OutputFormat];

/** What a command found or did. */
export type CommandOutput = {
	readonly data: unknown;
	readonly lines: readonly string[];
};

const printers: Readonly<Record<OutputFormat, (output: CommandOutput) => string>> = {
	text: output => output.lines.join('\n'),
	json: output => JSON.stringify(output.data, undefined, 2),
};

/** A command's output in a form. */
export function printOutput(output: CommandOutput, format: OutputFormat): string {
	return printers[format](output);
}

function problemLines(failure: Failure): readonly string[] {
	const problems = failure.problems ?? [];
	return problems.map(({file, path, reason}) => `  ${[file, path, reason].filter(part => part !== '').join(': ')}`);
}

const failurePrinters: Readonly<Record<OutputFormat, (failure: Failure) => string>> = {
	text: failure => failure.problems === undefined || failure.problems.length === 0
		? `${failure.kind}: ${failure.detail}`
		: [`${failure.kind}:`, ...problemLines(failure)].join('\n'),
	json: failure => JSON.stringify(failure, undefined, 2),
};

/** A failure in a form. */
export function printFailure(failure: Failure, format: OutputFormat): string {
	return failurePrinters[format](failure);
}

/** Rows of text as aligned columns, under their heads. */
export function table(heads: readonly string[], rows: ReadonlyArray<readonly string[]>): readonly string[] {
	const all = [heads, ...rows];
	const widths = heads.map((_head, column) => Math.max(...all.map(row => row[column]?.length ?? 0)));
	return all.map(row => row.map((cell, column) => cell.padEnd(widths[column]!)).join('  ').trimEnd());
}
