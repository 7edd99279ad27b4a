/**
 * The command line `dogwooddeckctl`: its commands, and how a command's outcome
 * becomes output and an exit code.
 */
import process from 'node:process';
import {toFailure} from '@dogwooddeck/model/failure';
import {runSafely, subcommands} from 'cmd-ts';
import {err} from 'true-myth/result';
import {applyCommand, planCommand} from './command/apply.js';
import {type CommandRun} from './command/arguments.js';
import {checkCommand} from './command/check.js';
import {
	getCommand, historyCommand, membersCommand, ownersCommand, statusCommand,
} from './command/read.js';
import {reportCommand} from './command/report.js';
import {
	drainCommand, moveCommand, tokenCommand, zoneCommand,
} from './command/write.js';
import {ExitCode, exitCodeOfKind} from './exit-code.js';
import {OutputFormat, printFailure, printOutput} from './output.js';

const version = '0.1.0';

const program = subcommands({
	name: 'dogwooddeckctl',
	version,
	description: 'Settings, ownership and members of a dogwooddeck deployment',
	cmds: {
		check: checkCommand,
		plan: planCommand,
		apply: applyCommand,
		get: getCommand,
		history: historyCommand,
		status: statusCommand,
		owners: ownersCommand,
		members: membersCommand,
		move: moveCommand,
		drain: drainCommand,
		zone: zoneCommand,
		report: reportCommand,
		token: tokenCommand,
	},
});

type Nested = CommandRun | {readonly value: Nested | Promise<Nested>};

async function innermost(nested: Nested | Promise<Nested>): Promise<CommandRun> {
	const run = await nested;
	return 'result' in run ? run : innermost(run.value);
}

async function runProgram(parameters: readonly string[]): Promise<CommandRun | ExitCode> {
	const parsed = await runSafely(program, [...parameters]);
	if (parsed._tag === 'ok') {
		return innermost(parsed.value);
	}

	const {message, into} = parsed.error.config;
	process[into].write(`${message}\n`);
	return into === 'stdout' ? ExitCode.done : ExitCode.usage;
}

function finish({format, result}: CommandRun): ExitCode {
	if (result.isErr) {
		process.stderr.write(`${printFailure(result.error, format)}\n`);
		return exitCodeOfKind[result.error.kind];
	}

	process.stdout.write(`${printOutput(result.value, format)}\n`);
	return ExitCode.done;
}

/** Runs the command line and gives the exit code. */
export async function main(parameters: readonly string[]): Promise<ExitCode> {
	try {
		const run = await runProgram(parameters);
		return typeof run === 'number' ? run : finish(run);
	} catch (error) {
		return finish({format: OutputFormat.text, result: err(toFailure(error))});
	}
}
