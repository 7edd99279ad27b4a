/**
 * The commands that only read: `get`, `history`, `status`, `owners`, `members`.
 */
import {
	OperatorPath, type ConfigurationAnswer, type HistoryAnswer, type MembersAnswer, type OwnersAnswer, type StatusAnswer,
} from '@dogwooddeck/configuration/messages';
import {type Failure} from '@dogwooddeck/model/failure';
import {command, positional, string} from 'cmd-ts';
import {type Result} from 'true-myth/result';
import type * as v from 'valibot';
import {
	historySchema, membersSchema, ownersSchema, statusSchema,
} from '../answer-schema.js';
import {send} from '../client.js';
import {table, type CommandOutput} from '../output.js';
import {type Connection} from '../profile.js';
import {
	chosenTeam, connectionArguments, teamArgument, withConnection, type CommandRun,
} from './arguments.js';
import {fetchConfiguration} from './apply.js';
import {contractHeads, contractRow} from './check.js';

function describeConfiguration(answer: ConfigurationAnswer): readonly string[] {
	return [
		`${answer.team} at revision ${answer.revision}`,
		...table(contractHeads, answer.services.map(contract => contractRow(contract))),
	];
}

function describeHistory(answer: HistoryAnswer): readonly string[] {
	const rows = answer.entries.map(entry => [
		String(entry.revision), new Date(entry.at).toISOString(), entry.author, entry.operation, entry.summary.join(', '),
	]);
	return table(['revision', 'at', 'author', 'operation', 'changes'], rows);
}

function describeOwners(answer: OwnersAnswer): readonly string[] {
	const rows = answer.owners.map(owner => [
		String(owner.slot), owner.key ?? '', owner.phase, owner.upstream ?? '', String(owner.incarnation ?? ''), owner.zone ?? '', String(owner.fence ?? ''),
	]);
	return [
		`${answer.service} at index ${answer.index}`,
		...table(['slot', 'key', 'phase', 'upstream', 'incarnation', 'zone', 'fence'], rows),
	];
}

function describeStatus(answer: StatusAnswer): readonly string[] {
	return [
		`instance   ${answer.instance} (incarnation ${answer.incarnation}), ${answer.region}/${answer.zone}`,
		`ready      ${answer.ready ? 'yes' : 'no'}: ${answer.reason}`,
		`voter      ${answer.voter ? 'yes' : 'no'}`,
		`leader     ${answer.leader ?? 'not known'}`,
		`steward    ${answer.steward ?? 'not known'}`,
		`log        committed ${answer.committed}, applied ${answer.applied}`,
		...answer.revisions.map(entry => `team       ${entry.team} at revision ${entry.revision}`),
	];
}

function describeMembers(answer: MembersAnswer): readonly string[] {
	const instances = answer.instances.map(member => [
		member.name, String(member.incarnation), `${member.region}/${member.zone}`, member.alive ? 'alive' : 'silent', member.voter ? 'voter' : '', String(member.applied), member.operatorAddress,
	]);
	const upstreams = answer.upstreams.map(upstream => [
		upstream.service, upstream.name, String(upstream.incarnation), `${upstream.region}/${upstream.zone}`, upstream.phase, upstream.address,
	]);
	return [
		...table(['instance', 'incarnation', 'zone', 'heard', 'control', 'applied', 'address'], instances),
		'',
		...table(['service', 'upstream', 'incarnation', 'zone', 'phase', 'address'], upstreams),
	];
}

async function readAnswer<Answer>(
	connection: Connection,
	path: OperatorPath,
	query: Readonly<Record<string, string>>,
	form: {readonly schema: v.GenericSchema<unknown, Answer>; readonly describe: (answer: Answer) => readonly string[]},
): Promise<Result<CommandOutput, Failure>> {
	const answer = await send(connection, {path, query}, form.schema);
	return answer.map(data => ({data, lines: form.describe(data)}));
}

/** The command `get`. */
export const getCommand = command({
	name: 'get',
	description: 'Show the subtree of a team that stands',
	args: {...connectionArguments, team: teamArgument},
	handler: async ({team, ...flags}): Promise<CommandRun> => withConnection(flags, async connection => {
		const chosen = chosenTeam(team, connection);
		const answer = chosen.isErr ? chosen.cast<ConfigurationAnswer>() : await fetchConfiguration(connection, chosen.value);
		return answer.map(data => ({data, lines: describeConfiguration(data)}));
	}),
});

/** The command `history`. */
export const historyCommand = command({
	name: 'history',
	description: 'Show the accepted changes of a team',
	args: {...connectionArguments, team: teamArgument},
	handler: async ({team, ...flags}): Promise<CommandRun> => withConnection(flags, async connection => {
		const chosen = chosenTeam(team, connection);
		return chosen.isErr
			? chosen.cast<CommandOutput>()
			: readAnswer(connection, OperatorPath.history, {team: chosen.value}, {schema: historySchema, describe: describeHistory});
	}),
});

/** The command `owners`. */
export const ownersCommand = command({
	name: 'owners',
	description: 'Show which upstream owns each slot of a service',
	args: {...connectionArguments, service: positional({type: string, displayName: 'service', description: 'such as bermrand/schedule'})},
	handler: async ({service, ...flags}): Promise<CommandRun> =>
		withConnection(flags, async connection => readAnswer(connection, OperatorPath.owners, {service}, {schema: ownersSchema, describe: describeOwners})),
});

/** The command `status`. */
export const statusCommand = command({
	name: 'status',
	description: 'Show what the first server that answers knows of itself',
	args: connectionArguments,
	handler: async (flags): Promise<CommandRun> =>
		withConnection(flags, async connection => readAnswer(connection, OperatorPath.status, {}, {schema: statusSchema, describe: describeStatus})),
});

/** The command `members`. */
export const membersCommand = command({
	name: 'members',
	description: 'Show the instances and the upstreams',
	args: connectionArguments,
	handler: async (flags): Promise<CommandRun> =>
		withConnection(flags, async connection => readAnswer(connection, OperatorPath.members, {}, {schema: membersSchema, describe: describeMembers})),
});
