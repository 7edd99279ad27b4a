/**
 * `plan` and `apply`: a team's folder against the subtree that stands.
 */
import process from 'node:process';
import {setTimeout as pause} from 'node:timers/promises';
import {compareSubtrees, describeChange} from '@dogwooddeck/configuration/comparison';
import {
	OperatorPath, type ApplyAnswer, type ApplyRequest, type ConfigurationAnswer, type MembersAnswer,
} from '@dogwooddeck/configuration/messages';
import {parseDuration} from '@dogwooddeck/configuration/quantity';
import {failure, FailureKind, type Failure} from '@dogwooddeck/model/failure';
import {type Milliseconds, type TeamName} from '@dogwooddeck/model/identifiers';
import {
	command, flag, option, positional, string,
} from 'cmd-ts';
import {err, ok, type Result} from 'true-myth/result';
import {acceptedSchema, configurationSchema, membersSchema} from '../answer-schema.js';
import {send} from '../client.js';
import {type CommandOutput} from '../output.js';
import {type Connection} from '../profile.js';
import {servedAgainBounds, servedAgainLines} from '../served-again-lines.js';
import {readTeamFolder, type TeamFolder} from '../team-folder.js';
import {
	announceOperation, authorArgument, chosenOperation, connectionArguments, operationArgument, withConnection, type CommandRun,
} from './arguments.js';

/** What `apply` was asked for, beside the folder. */
type ApplyFlags = {
	readonly operation: string;
	readonly base: string;
	readonly author: string;
	readonly wait: boolean;
	readonly waitTimeout: string;
};

const pollMilliseconds = 200;
const folderArgument = positional({type: string, displayName: 'folder', description: 'the team\'s folder'});

/** The subtree of a team that stands. */
export async function fetchConfiguration(connection: Connection, team: TeamName): Promise<Result<ConfigurationAnswer, Failure>> {
	return send(connection, {path: OperatorPath.configuration, query: {team}}, configurationSchema);
}

function planOutput(folder: TeamFolder, standing: ConfigurationAnswer): CommandOutput {
	const changes = compareSubtrees(standing.services, folder.services);
	const servedAgain = servedAgainBounds(folder);
	const summary = changes.length === 0 ? 'nothing would change' : `${changes.length} services would change`;
	return {
		data: {
			team: folder.team, base: standing.revision, changes, servedAgain,
		},
		lines: [
			...changes.flatMap(change => describeChange(change)),
			...servedAgainLines(servedAgain),
			`${folder.team} at revision ${standing.revision}: ${summary}`,
		],
	};
}

async function plan(connection: Connection, path: string): Promise<Result<CommandOutput, Failure>> {
	const folder = await readTeamFolder(path);
	if (folder.isErr) {
		return err(folder.error);
	}

	const standing = await fetchConfiguration(connection, folder.value.team);
	return standing.map(answer => planOutput(folder.value, answer));
}

async function chosenBase(connection: Connection, team: TeamName, flags: ApplyFlags): Promise<Result<number, Failure>> {
	if (flags.base !== '') {
		return /^\d{1,15}$/u.test(flags.base)
			? ok(Number(flags.base))
			: err(failure(FailureKind.settingsInvalid, `--base: expected a revision, found "${flags.base}"`));
	}

	if (flags.operation !== '') {
		return err(failure(FailureKind.settingsInvalid, '--operation needs --base: an operation is sent again with the base that it had'));
	}

	const standing = await fetchConfiguration(connection, team);
	return standing.map(answer => answer.revision);
}

async function requestOf(connection: Connection, folder: TeamFolder, flags: ApplyFlags): Promise<Result<ApplyRequest, Failure>> {
	const base = await chosenBase(connection, folder.team, flags);
	return base.andThen(revision => chosenOperation(flags.operation).map(operation => ({
		team: folder.team, operation, base: revision, services: folder.services,
	})));
}

/** How many of the instances that were heard from of late have a revision in force. */
type InForce = {
	readonly inForce: number;
	readonly instances: number;
	readonly lacking: readonly string[];
	/** The instances that were not heard from: whether the revision is in force there isn't known. */
	readonly silent: readonly string[];
};

function countInForce(members: MembersAnswer, revision: number): InForce {
	const alive = members.instances.filter(member => member.alive);
	const lacking = alive.filter(member => member.applied < revision).map(member => member.name);
	const silent = members.instances.filter(member => !member.alive).map(member => member.name);
	return {
		inForce: alive.length - lacking.length, instances: alive.length, lacking, silent,
	};
}

function silentPart({silent}: InForce): string {
	return silent.length === 0 ? '' : `; not heard from: ${silent.join(', ')}`;
}

async function waitInForce(connection: Connection, revision: number, limit: Milliseconds): Promise<Result<InForce, Failure>> {
	const rounds = Math.max(1, Math.ceil(limit / pollMilliseconds));
	let shown = '';
	for (let round = 0; round < rounds; round += 1) {
		const members = await send(connection, {path: OperatorPath.members}, membersSchema);
		if (members.isErr) {
			return err(members.error);
		}

		const count = countInForce(members.value, revision);
		const line = `revision ${revision} in force on ${count.inForce} of ${count.instances} instances${silentPart(count)}\n`;
		process.stderr.write(line === shown ? '' : line);
		shown = line;
		if (count.instances > 0 && count.lacking.length === 0) {
			return ok(count);
		}

		await pause(pollMilliseconds);
	}

	return err(failure(FailureKind.deadlineExceeded, `revision ${revision} was accepted, but is not in force everywhere after ${limit} ms`));
}

async function waitIfAsked(connection: Connection, accepted: ApplyAnswer, flags: ApplyFlags): Promise<Result<CommandOutput, Failure>> {
	const line = `${accepted.team}: accepted as revision ${accepted.revision}`;
	if (!flags.wait) {
		return ok({data: accepted, lines: [line]});
	}

	process.stderr.write(`${line}\n`);
	const limit = parseDuration(flags.waitTimeout);
	if (limit === undefined) {
		return err(failure(FailureKind.settingsInvalid, `--wait-timeout: expected a duration such as "30 s", found "${flags.waitTimeout}"`));
	}

	const count = await waitInForce(connection, accepted.revision, limit);
	return count.map(inForce => ({
		data: {...accepted, ...inForce},
		lines: [`${accepted.team}: revision ${accepted.revision} is in force on all ${inForce.instances} instances${silentPart(inForce)}`],
	}));
}

async function apply(connection: Connection, path: string, flags: ApplyFlags): Promise<Result<CommandOutput, Failure>> {
	const folder = await readTeamFolder(path);
	const wanted = folder.isErr ? err<ApplyRequest, Failure>(folder.error) : await requestOf(connection, folder.value, flags);
	if (wanted.isErr) {
		return err(wanted.error);
	}

	const {operation, base} = wanted.value;
	announceOperation(operation, ` base ${base}; to send it again: --operation ${operation} --base ${base}`);
	const answer = await send(connection, {path: OperatorPath.apply, body: wanted.value, author: flags.author}, acceptedSchema);
	return answer.isErr ? err(answer.error) : waitIfAsked(connection, answer.value, flags);
}

/** The command `plan`. */
export const planCommand = command({
	name: 'plan',
	description: 'Show what applying a team\'s folder would change',
	args: {...connectionArguments, folder: folderArgument},
	handler: async ({folder, ...flags}): Promise<CommandRun> => withConnection(flags, async connection => plan(connection, folder)),
});

/** The command `apply`. */
export const applyCommand = command({
	name: 'apply',
	description: 'Make a team\'s subtree what its folder declares',
	args: {
		...connectionArguments,
		folder: folderArgument,
		operation: operationArgument,
		author: authorArgument,
		base: option({
			long: 'base', type: string, defaultValue: () => '', description: 'revision that the change builds on; default: the one that stands',
		}),
		wait: flag({long: 'wait', description: 'wait until the revision is in force on every instance'}),
		waitTimeout: option({
			long: 'wait-timeout', type: string, defaultValue: () => '30 s', description: 'how long --wait waits',
		}),
	},
	handler: async ({folder, ...flags}): Promise<CommandRun> => withConnection(flags, async connection => apply(connection, folder, flags)),
});
