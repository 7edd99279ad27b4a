/**
 * A process that a trial starts, and what it prints.
 */
import {type ChildProcess, spawn} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import {failure, FailureError, FailureKind} from '@dogwooddeck/model/failure';
import {type Milliseconds} from '@dogwooddeck/model/identifiers';

/** A process that was started. */
export type Child = {
	readonly name: string;
	readonly pid: number;
	/** All that it has printed. */
	readonly output: () => string;
	readonly running: () => boolean;
	readonly signal: (name: NodeJS.Signals) => void;
	/** Sends SIGTERM and waits for the end; gives the exit code. */
	readonly stop: () => Promise<number | undefined>;
	/** Sends SIGKILL and waits for the end. */
	readonly kill: () => Promise<void>;
};

/** Starts a script with Node.js. */
export function startChild(name: string, script: string, parameters: readonly string[], environment: Readonly<Record<string, string>> = {}): Child {
	const child: ChildProcess = spawn(process.execPath, ['--enable-source-maps', script, ...parameters], {
		stdio: ['ignore', 'pipe', 'pipe'],
		env: {...process.env, ...environment},
	});
	let output = '';
	const collect = (chunk: unknown) => {
		output += String(chunk);
	};

	child.stdout?.on('data', collect);
	child.stderr?.on('data', collect);

	const ended = once(child, 'exit');
	const running = () => child.exitCode === null && child.signalCode === null;
	return {
		name,
		pid: child.pid ?? 0,
		output: () => output,
		running,
		signal(signal) {
			child.kill(signal);
		},
		async stop() {
			if (running()) {
				child.kill('SIGTERM');
				await ended;
			}

			return child.exitCode ?? undefined;
		},
		async kill() {
			if (running()) {
				child.kill('SIGKILL');
				await ended;
			}
		},
	};
}

const pollMilliseconds: Milliseconds = 20;

/** Waits for a condition. Throws `deadlineExceeded` with the description when it doesn't come. */
export async function eventually<Value>(
	description: string,
	longest: Milliseconds,
	condition: () => Value | undefined | false | Promise<Value | undefined | false>,
): Promise<Value> {
	const end = performance.now() + longest;
	for (;;) {
		const value = await condition();
		if (value !== undefined && value !== false) {
			return value;
		}

		if (performance.now() > end) {
			throw new FailureError(failure(FailureKind.deadlineExceeded, `within ${longest} ms it did not come about that ${description}`));
		}

		await new Promise(resolve => {
			setTimeout(resolve, pollMilliseconds);
		});
	}
}
