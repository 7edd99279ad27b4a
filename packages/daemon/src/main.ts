/**
 * The daemon's command line: `run` and `found`.
 */
import {readFile} from 'node:fs/promises';
import process from 'node:process';
import {
	failure, type Failure, FailureKind, toFailure,
} from '@dogwooddeck/model/failure';
import {EventName} from '@dogwooddeck/telemetry/event';
import {createLog, type Log} from '@dogwooddeck/telemetry/log';
import {
	binary, command, option, run, string, subcommands,
} from 'cmd-ts';
import {err, ok, type Result} from 'true-myth/result';
import {ExitCode, exitCodeOf} from './exit-code.js';
import {bootstrap} from './bootstrap.js';
import {type Instance, startInstance} from './instance.js';
import {loadSettings} from './settings.js';

/** The version of both binaries. */
export const version = '0.1.0';

const settingsOption = option({
	type: string, long: 'settings', short: 's', description: 'the instance\'s settings, a TOML file',
});

function exitWith(failed: Failure): never {
	const problems = failed.problems?.slice(1).map(({file, path, reason}) => `dogwooddeck: ${file}: ${path}: ${reason}\n`) ?? [];
	process.stderr.write(`dogwooddeck: ${failed.kind}: ${failed.detail}\n${problems.join('')}`);
	process.exit(exitCodeOf(failed.kind)); // eslint-disable-line unicorn/no-process-exit
}

function writeLine(line: string): void {
	process.stdout.write(`${line}\n`);
}

function stopOnSignals(instance: Instance, log: Log): void {
	let stopping = false;
	async function stop(): Promise<void> {
		if (stopping) {
			return;
		}

		stopping = true;
		try {
			await instance.stop();
			process.exitCode = ExitCode.ok;
		} catch (error) {
			log.error(EventName.instanceFailed, toFailure(error));
			process.exitCode = ExitCode.internal;
		}

		process.exit(); // eslint-disable-line unicorn/no-process-exit
	}

	process.on('SIGTERM', () => {
		void stop();
	});
	process.on('SIGINT', () => {
		void stop();
	});
}

const runCommand = command({
	name: 'run',
	description: 'Runs an instance until SIGTERM, which stops it without closing a request early.',
	args: {settings: settingsOption},
	async handler({settings: file}) {
		const settings = await loadSettings(file);
		if (settings.isErr) {
			return exitWith(settings.error);
		}

		const log = createLog(settings.value.name, writeLine);
		try {
			const instance = await startInstance(settings.value, log, failed => {
				log.error(EventName.storageFailed, failed);
				process.exit(exitCodeOf(failed.kind)); // eslint-disable-line unicorn/no-process-exit
			});
			stopOnSignals(instance, log);
		} catch (error) {
			exitWith(toFailure(error));
		}
	},
});

async function readToken(file: string): Promise<Result<string, Failure>> {
	try {
		const text = await readFile(file, 'utf8');
		return ok(text.trim());
	} catch (error) {
		return err(failure(FailureKind.settingsInvalid, `${file}: ${(error as Error).message}`));
	}
}

const bootstrapCommand = command({
	name: 'found',
	description: 'Bootstraps a deployment in the empty data folder of one voter. Done once for a deployment; the other voters join.',
	args: {
		settings: settingsOption,
		tokenFile: option({type: string, long: 'operator-token-file', description: 'a file with the operators\' token'}),
	},
	async handler({settings: file, tokenFile}) {
		const settings = await loadSettings(file);
		const token = await readToken(tokenFile);
		if (settings.isErr || token.isErr) {
			return exitWith(settings.isErr ? settings.error : token.unwrapOrElse(failed => failed) as Failure);
		}

		const bootstrapped = await bootstrap(settings.value, token.value);
		if (bootstrapped.isErr) {
			return exitWith(bootstrapped.error);
		}

		process.stdout.write(`founded: ${settings.value.name} is the first voter\n`);
	},
});

/** Runs the command line. */
export async function main(parameters: readonly string[]): Promise<void> {
	const commands = subcommands({name: 'dogwooddeck', version, cmds: {run: runCommand, found: bootstrapCommand}});
	await run(binary(commands), [...parameters]);
}
