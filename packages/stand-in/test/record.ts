/**
 * The record of a session: what callers, operators and upstreams are answered,
 * line by line, for a golden file.
 */
import assert from 'node:assert/strict';
import {fileURLToPath} from 'node:url';
import {request} from 'undici';
import {type CommandEnded} from '@dogwooddeck/stand-in/deployment';
import {golden, masked} from '@dogwooddeck/stand-in/golden';

/** A request as a caller sends it. */
export type CallerRequest = {
	readonly method: 'GET' | 'POST';
	readonly path: string;
	readonly headers?: Readonly<Record<string, string>>;
	readonly body?: string;
};

/** An answer as its receiver has it; undefined: the connection broke before it was whole. */
export type Received = {
	readonly status: number;
	readonly headers: readonly string[];
	readonly body: string;
} | undefined;

/** Header fields that say nothing of this system, and differ with the moment. */
const passing: ReadonlySet<string> = new Set(['connection', 'date', 'keep-alive']);

/** Sends a request to one address and waits for the whole answer. */
export async function receive(address: string, {method, path, headers = {}, body}: CallerRequest): Promise<Received> {
	try {
		const answer = await request(`http://${address}${path}`, {
			method, headers: {...headers}, ...(body === undefined ? {} : {body}),
		});
		const text = await answer.body.text();
		const fields = Object.entries(answer.headers).filter(([name]) => !passing.has(name)).map(([name, value]) => `${name}: ${String(value)}`);
		return {status: answer.statusCode, headers: fields.sort(), body: text};
	} catch {
		return undefined;
	}
}

/** An answer as lines of a record. */
export function answerLines(answer: Received): readonly string[] {
	return answer === undefined
		? ['the connection broke before the answer was whole']
		: [String(answer.status), ...answer.headers, answer.body];
}

/** What the operators' command line printed; the lines are sorted, as two streams give them, and progress is left out, as its number varies. */
export function commandLines(words: readonly string[], {output, code}: CommandEnded): readonly string[] {
	const lines = output.split('\n').filter(line => line !== '' && !/in force on \d of \d/v.test(line)).sort();
	return [`$ dogwooddeckctl ${words.join(' ')}`, ...lines, `exit code ${code}`];
}

/** Compares a record with its golden file, byte for byte after normalisation. */
export async function assertGolden(name: string, lines: readonly string[]): Promise<void> {
	const file = fileURLToPath(new URL(`../../test/golden/${name}.txt`, import.meta.url));
	const actual = masked(lines.join('\n') + '\n');
	assert.equal(actual, await golden(file, actual));
}
