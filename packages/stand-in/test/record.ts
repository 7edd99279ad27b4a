/**
 * The record of a session: what callers, operators and upstreams are answered,
 * line by line, for a golden file.
 */
import assert from 'node:assert/strict';
import path from 'node:path';
import {test} from 'node:test';
import {fileURLToPath} from 'node:url';
import {request} from 'undici';
import {
	type CommandEnded, type Deployment, type InstancePlan, repository, startDeployment,
} from '@dogwooddeck/stand-in/deployment';
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

/** What the operators' command line printed, in the order in which it came. */
export function printedLines(words: readonly string[], {output, code}: CommandEnded): readonly string[] {
	return [`$ dogwooddeckctl ${words.join(' ')}`, ...output.split('\n').filter(line => line !== ''), `exit code ${code}`];
}

/** The same of a command that prints on both streams: its lines are sorted, as either may come first. */
export function commandLines(words: readonly string[], {output, code}: CommandEnded): readonly string[] {
	return printedLines(words, {output: output.split('\n').sort().join('\n'), code});
}

/** Compares a record with its golden file, byte for byte after normalisation. */
export async function assertGolden(name: string, lines: readonly string[]): Promise<void> {
	const file = fileURLToPath(new URL(`../../test/golden/${name}.txt`, import.meta.url));
	const actual = masked(lines.join('\n') + '\n');
	assert.equal(actual, await golden(file, actual));
}

/** A session that is recorded. */
export type GoldenSession = {
	readonly name: string;
	/** The name of the golden file. */
	readonly file: string;
	readonly instances: readonly InstancePlan[];
	/** Gives the lines of the record. */
	readonly run: (deployment: Deployment) => Promise<readonly string[]>;
};

/** Makes a test of a session; a failed one prints the last lines of every instance. */
export function runGolden({name, file, instances, run}: GoldenSession): void {
	test(`golden session: ${name}`, {timeout: 180_000}, async () => {
		const deployment = await startDeployment(instances);
		try {
			await deployment.ready();
			await assertGolden(file, await run(deployment));
		} catch (error) {
			for (const {child} of deployment.instances) {
				console.log(`${child.name}:\n${child.output().split('\n').slice(-25).join('\n')}`);
			}

			throw error;
		} finally {
			await deployment.close();
		}
	});
}

/** Applies a folder of `trial`, and waits until it is in force on every instance. */
export async function applyTrial(deployment: Deployment, folder: string): Promise<void> {
	const applied = await deployment.control('apply', path.join(repository, 'packages/stand-in/trial', folder), '--wait');
	assert.equal(applied.code, 0, applied.output);
}
