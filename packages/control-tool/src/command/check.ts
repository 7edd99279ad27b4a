/**
 * `check`: reads a team's folder and says what is wrong in it, on this machine alone.
 */
import {type ServiceContract} from '@dogwooddeck/model/contract';
import {command, positional, string} from 'cmd-ts';
import {table} from '../output.js';
import {servedAgainBounds, servedAgainLines} from '../served-again-lines.js';
import {readTeamFolder, type TeamFolder} from '../team-folder.js';
import {localArguments, type CommandRun} from './arguments.js';

/** A contract as a row for a person. */
export function contractRow(contract: ServiceContract): readonly string[] {
	return [
		contract.name,
		contract.prefix,
		String(contract.slots),
		contract.weigh,
		contract.whenCut,
		`${contract.longestDeadlineMilliseconds} ms`,
		String(contract.limits.length),
		String(contract.objectives.length),
	];
}

/** The heads above rows of contracts. */
export const contractHeads = ['service', 'prefix', 'slots', 'weigh', 'when cut', 'deadline', 'limits', 'objectives'] as const;

function describe(folder: TeamFolder): readonly string[] {
	return [
		...table(contractHeads, folder.services.map(contract => contractRow(contract))),
		...servedAgainLines(servedAgainBounds(folder)),
		`${folder.team}: ${folder.services.length} services, all checks passed`,
	];
}

/** The command `check`. */
export const checkCommand = command({
	name: 'check',
	description: 'Check a team\'s folder without any server',
	args: {...localArguments, folder: positional({type: string, displayName: 'folder', description: 'the team\'s folder'})},
	async handler({format, folder}): Promise<CommandRun> {
		const read = await readTeamFolder(folder);
		return {format, result: read.map(content => ({data: {...content, servedAgain: servedAgainBounds(content)}, lines: describe(content)}))};
	},
});
