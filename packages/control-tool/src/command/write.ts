/**
 * The commands that change something beside a subtree: `move`, `drain`,
 * `zone declare-lost`, `token`. Each is an operation that can be sent again.
 */
import {
	declareLostConfirmation, OperatorPath, type DrainRequest, type MoveRequest, type TokenRequest, type ZoneDeclareLostRequest,
} from '@dogwooddeck/configuration/messages';
import {type Failure} from '@dogwooddeck/model/failure';
import {type OperationIdentifier} from '@dogwooddeck/model/identifiers';
import {
	command, number, option, positional, string, subcommands,
} from 'cmd-ts';
import {err, type Result} from 'true-myth/result';
import {writeSchema} from '../answer-schema.js';
import {send} from '../client.js';
import {type CommandOutput} from '../output.js';
import {type Connection} from '../profile.js';
import {readText} from '../settings-file.js';
import {
	announceOperation, authorArgument, chosenOperation, chosenTeam, connectionArguments, operationArgument, teamArgument, withConnection,
	type CommandRun,
} from './arguments.js';

type WriteBody = MoveRequest | DrainRequest | ZoneDeclareLostRequest | TokenRequest;

const writeArguments = {...connectionArguments, operation: operationArgument, author: authorArgument};

async function write(
	connection: Connection,
	flags: {readonly operation: string; readonly author: string},
	path: OperatorPath,
	bodyOf: (operation: OperationIdentifier) => WriteBody,
): Promise<Result<CommandOutput, Failure>> {
	const operation = chosenOperation(flags.operation);
	if (operation.isErr) {
		return err(operation.error);
	}

	announceOperation(operation.value);
	const answer = await send(connection, {path, body: bodyOf(operation.value), author: flags.author}, writeSchema);
	return answer.map(data => ({data, lines: [`accepted: operation ${data.operation}`]}));
}

/** The command `move`. */
export const moveCommand = command({
	name: 'move',
	description: 'Give a slot to another upstream',
	args: {
		...writeArguments,
		service: positional({type: string, displayName: 'service'}),
		slot: positional({type: number, displayName: 'slot'}),
		upstream: positional({type: string, displayName: 'upstream'}),
	},
	handler: async ({service, slot, upstream, ...flags}): Promise<CommandRun> => withConnection(flags, async connection =>
		write(connection, flags, OperatorPath.move, operation => ({
			service, slot, upstream, operation,
		}))),
});

/** The command `drain`. */
export const drainCommand = command({
	name: 'drain',
	description: 'Have an upstream give its keys away',
	args: {
		...writeArguments,
		service: positional({type: string, displayName: 'service'}),
		upstream: positional({type: string, displayName: 'upstream'}),
	},
	handler: async ({service, upstream, ...flags}): Promise<CommandRun> => withConnection(flags, async connection =>
		write(connection, flags, OperatorPath.drain, operation => ({service, upstream, operation}))),
});

const declareLostCommand = command({
	name: 'declare-lost',
	description: 'Declare that a zone\'s instances send nothing more, so that its keys go to others',
	args: {
		...writeArguments,
		zone: positional({type: string, displayName: 'zone'}),
		confirm: option({
			long: 'confirm', type: string, description: `the consequence, typed out: "${declareLostConfirmation('ZONE')}"`,
		}),
	},
	handler: async ({zone, confirm, ...flags}): Promise<CommandRun> => withConnection(flags, async connection =>
		write(connection, flags, OperatorPath.zoneDeclareLost, operation => ({zone, operation, confirm}))),
});

/** The commands under `zone`. */
export const zoneCommand = subcommands({
	name: 'zone',
	description: 'Availability zones',
	cmds: {'declare-lost': declareLostCommand},
});

/** The command `token`. The token comes from a file, never from the command line. */
export const tokenCommand = command({
	name: 'token',
	description: 'Set or replace the token of a team',
	args: {
		...writeArguments,
		team: teamArgument,
		newTokenFile: option({long: 'new-token-file', type: string, description: 'file that holds the new token'}),
	},
	handler: async ({team, newTokenFile, ...flags}): Promise<CommandRun> => withConnection(flags, async connection => {
		const chosen = chosenTeam(team, connection);
		const token = await readText(newTokenFile);
		const given = chosen.andThen(name => token.map(text => ({team: name, token: text.trim()})));
		return given.isErr
			? err(given.error)
			: write(connection, flags, OperatorPath.token, operation => ({...given.value, operation}));
	}),
});
