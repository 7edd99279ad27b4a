/**
 * A team's folder: `team.toml` with the team's name, and one TOML file for each
 * service, which is named after the file.
 */
import {readdir} from 'node:fs/promises';
import path from 'node:path';
import {checkContract, overlapProblems} from '@dogwooddeck/configuration/contract-check';
import {nameField} from '@dogwooddeck/configuration/field';
import {parseStrictly, problemsFailure, strictObject} from '@dogwooddeck/configuration/strict-schema';
import {servedAgainProblems} from '@dogwooddeck/control/served-again';
import {type ServiceContract} from '@dogwooddeck/model/contract';
import {FailureKind, type Failure, type SettingsProblem} from '@dogwooddeck/model/failure';
import {type TeamName} from '@dogwooddeck/model/identifiers';
import {err, ok, type Result} from 'true-myth/result';
import * as v from 'valibot';
import {fileFailure, readProblem, readToml} from './settings-file.js';

/** What a team's folder declares. */
export type TeamFolder = {
	readonly team: TeamName;
	/** Sorted by name. */
	readonly services: readonly ServiceContract[];
};

const teamFileName = 'team.toml';
const extension = '.toml';
const teamSchema = strictObject({team: nameField});

async function serviceFiles(folder: string): Promise<Result<readonly string[], Failure>> {
	try {
		const names = await readdir(folder);
		return ok(names.filter(name => name.endsWith(extension) && name !== teamFileName).sort());
	} catch (error) {
		return err(fileFailure(folder, readProblem(error)));
	}
}

async function readTeam(folder: string): Promise<Result<TeamName, Failure>> {
	const file = path.join(folder, teamFileName);
	const content = await readToml(file);
	return content.andThen(parsed => parseStrictly(teamSchema, parsed, file)).map(settings => settings.team);
}

async function readService(file: string, team: TeamName): Promise<Result<ServiceContract, Failure>> {
	const stem = path.basename(file, extension);
	if (!v.is(nameField, stem)) {
		return err(fileFailure(file, 'a service\'s file is named by lower-case letters, digits and hyphens'));
	}

	const content = await readToml(file);
	return content.andThen(parsed => checkContract({file, service: `${team}/${stem}`, content: parsed}, [servedAgainProblems]));
}

function joined(failures: readonly Failure[]): Failure {
	const problems = failures.flatMap<SettingsProblem>(one => one.problems ?? []);
	const onlyUnits = failures.every(one => one.kind === FailureKind.unitUndeclared);
	return problemsFailure(problems, onlyUnits ? FailureKind.unitUndeclared : FailureKind.settingsInvalid);
}

function overlapFailure(folder: string, services: readonly ServiceContract[]): Result<readonly ServiceContract[], Failure> {
	const fileOf = (contract: ServiceContract) => path.join(folder, `${contract.name.split('/').at(-1)!}${extension}`);
	const problems = overlapProblems(services, [], fileOf);
	return problems.length === 0 ? ok(services) : err(problemsFailure(problems));
}

async function readServices(folder: string, team: TeamName, names: readonly string[]): Promise<Result<readonly ServiceContract[], Failure>> {
	const results = await Promise.all(names.map(async name => readService(path.join(folder, name), team)));
	const failures = results.flatMap(result => result.isErr ? [result.error] : []);
	const services = results.flatMap(result => result.isOk ? [result.value] : []);
	return failures.length > 0 ? err(joined(failures)) : overlapFailure(folder, services);
}

/** Reads and checks a team's folder. Fails with `settingsInvalid` or `unitUndeclared`, with the problems of all files. */
export async function readTeamFolder(folder: string): Promise<Result<TeamFolder, Failure>> {
	const names = await serviceFiles(folder);
	if (names.isErr) {
		return err(names.error);
	}

	const team = await readTeam(folder);
	const services = await readServices(folder, team.unwrapOr('unknown'), names.value);
	const failures = [team, services].flatMap(result => result.isErr ? [result.error] : []);
	return failures.length > 0
		? err(joined(failures))
		: team.andThen(name => services.map(contracts => ({team: name, services: contracts})));
}
