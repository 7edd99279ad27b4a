/**
 * The flags that several commands share, and what every command gives back.
 */
import {randomUUID} from 'node:crypto';
import process from 'node:process';
import {nameField, operationField} from '@dogwooddeck/configuration/field';
import {failure, FailureKind, type Failure} from '@dogwooddeck/model/failure';
import {type OperationIdentifier, type TeamName} from '@dogwooddeck/model/identifiers';
import {
	array, multioption, oneOf, option, string,
} from 'cmd-ts';
import {err, ok, type Result} from 'true-myth/result';
import * as v from 'valibot';
import {OutputFormat, type CommandOutput} from '../output.js';
import {readConnection, type Connection, type ConnectionFlags} from '../profile.js';

/** What a command gives back to the program. */
export type CommandRun = {
	readonly format: OutputFormat;
	readonly result: Result<CommandOutput, Failure>;
};

const formatArgument = option({
	long: 'format', type: oneOf(Object.values(OutputFormat)), defaultValue: (): OutputFormat => OutputFormat.text, description: 'text or json',
});

/** The flags of a command that stays on this machine. */
export const localArguments = {format: formatArgument};

function textOption(long: string, description: string) {
	return option({
		long, type: string, defaultValue: () => '', description,
	});
}

/** The flags of a command that talks to servers. */
export const connectionArguments = {
	...localArguments,
	servers: multioption({
		long: 'server', type: array(string), defaultValue: () => [], description: 'address of a server, such as http://127.0.0.1:7100; may be given again',
	}),
	tokenFile: textOption('token-file', 'file that holds the token'),
	timeout: textOption('timeout', 'time for one answer, such as "10 s"'),
	profile: option({
		long: 'profile', type: string, defaultValue: () => process.env.DOGWOODDECK_PROFILE ?? '', description: 'TOML file with servers, token_file, team, timeout; default: $DOGWOODDECK_PROFILE',
	}),
};

/** The flag that names a team. */
export const teamArgument = textOption('team', 'team; default: the profile\'s');

/** The flag that names the operation. */
export const operationArgument = textOption('operation', 'operation identifier, to send a change again; default: a new one');

/** The flag for a label in the history. */
export const authorArgument = option({
	long: 'author', type: string, defaultValue: () => process.env.USER ?? 'operator', description: 'label for the history; gives no right',
});

/** Reads the connection, runs a command with it and names the format. */
export async function withConnection(
	flags: ConnectionFlags & {readonly format: OutputFormat},
	run: (connection: Connection) => Promise<Result<CommandOutput, Failure>>,
): Promise<CommandRun> {
	const connection = await readConnection(flags);
	return {
		format: flags.format,
		result: connection.isErr ? err(connection.error) : await run(connection.value),
	};
}

/** The team of the flag, or else of the profile. Fails with `settingsInvalid`. */
export function chosenTeam(flag: string, connection: Connection): Result<TeamName, Failure> {
	const team = flag === '' ? connection.team : flag;
	if (team === undefined) {
		return err(failure(FailureKind.settingsInvalid, '--team: no team is given, nor does a profile name one'));
	}

	return v.safeParse(nameField, team).success
		? ok(team)
		: err(failure(FailureKind.settingsInvalid, `--team: "${team}" is not a team's name`));
}

/** The operation of the flag, or else a new one. Fails with `settingsInvalid`. */
export function chosenOperation(flag: string): Result<OperationIdentifier, Failure> {
	const operation = flag === '' ? randomUUID() : flag;
	return v.safeParse(operationField, operation).success
		? ok(operation)
		: err(failure(FailureKind.settingsInvalid, `--operation: "${operation}" is not an operation identifier of 8 to 64 letters, digits and "-_.:"`));
}

/** Tells the operator how to send a change again, before it is sent. */
export function announceOperation(operation: OperationIdentifier, more = ''): void {
	process.stderr.write(`operation ${operation}${more}\n`);
}
