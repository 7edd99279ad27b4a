/**
 * How a command changes the settings. Of two changes that build on the same
 * revision the first wins; an operation that is sent again gets its first
 * answer again, for as long as the answer is kept.
 */
import {createHash} from 'node:crypto';
import {failure, FailureKind, type Failure} from '@dogwooddeck/model/failure';
import {type LogIndex, type OperationIdentifier, type TeamName} from '@dogwooddeck/model/identifiers';
import {dispatch, type HandlerTable} from '@dogwooddeck/model/transition';
import {err, ok, type Result} from 'true-myth/result';
import {compareSubtrees} from './comparison.js';
import {
	changeProblems, contractFailure, contractProblems, overlapProblems,
} from './contract-check.js';
import {problemsFailure} from './strict-schema.js';
import {
	AnswerKind, foreignServices, subtreeOf, type ConfigurationAccepted, type ConfigurationApplied, type ConfigurationCommand,
	type ConfigurationState, type Founded, type RecordedAnswer, type SubtreeApplied, type TeamSubtree, type TokenSet,
} from './tree.js';

/** How many answers are kept for each team. */
export const keptAnswers = 1024;

/** How many accepted changes stand in a team's history. */
export const keptHistory = 256;

/** Stands for the team in the answer to a founding; no team can have it. */
export const deploymentTeam: TeamName = '*';

/** A state in which a command's answer is not yet recorded. */
type Decision = {
	readonly subtree: TeamSubtree;
	readonly answer: Result<ConfigurationAccepted, Failure>;
};

function canonical(value: unknown): unknown {
	if (Array.isArray(value)) {
		return value.map(item => canonical(item));
	}

	if (typeof value !== 'object' || value === null) {
		return value;
	}

	return Object.entries(value).sort(([one], [other]) => one < other ? -1 : 1).map(([key, item]) => [key, canonical(item)]);
}

function fingerprintOf(content: unknown): string {
	return createHash('sha256').update(JSON.stringify(canonical(content))).digest('base64url').slice(0, 22);
}

function recordedOf(answer: Result<ConfigurationAccepted, Failure>): RecordedAnswer['answer'] {
	return answer.isOk
		? {kind: AnswerKind.accepted, accepted: answer.value}
		: {kind: AnswerKind.refused, failure: answer.error};
}

function answerOf(recorded: RecordedAnswer['answer']): Result<ConfigurationAccepted, Failure> {
	return recorded.kind === AnswerKind.accepted ? ok(recorded.accepted) : err(recorded.failure);
}

function repeated(recorded: RecordedAnswer, fingerprint: string): Result<ConfigurationAccepted, Failure> {
	return recorded.fingerprint === fingerprint
		? answerOf(recorded.answer)
		: err(failure(FailureKind.conflict, `the operation ${recorded.operation} stands for another change`));
}

function withSubtree(state: ConfigurationState, subtree: TeamSubtree): ConfigurationState {
	const others = state.teams.filter(other => other.team !== subtree.team);
	return {...state, teams: [...others, subtree].sort((one, other) => one.team < other.team ? -1 : 1)};
}

/** Gives the first answer to an operation again, or decides it and records the answer. */
function once(
	state: ConfigurationState,
	identity: {readonly team: TeamName; readonly operation: OperationIdentifier; readonly content: unknown},
	decide: (subtree: TeamSubtree) => Decision,
): ConfigurationApplied {
	const subtree = subtreeOf(state, identity.team);
	const fingerprint = fingerprintOf(identity.content);
	const recorded = subtree.answers.find(answer => answer.operation === identity.operation);
	if (recorded !== undefined) {
		return {state, answer: repeated(recorded, fingerprint)};
	}

	const decision = decide(subtree);
	const answers = [...subtree.answers, {operation: identity.operation, fingerprint, answer: recordedOf(decision.answer)}];
	return {
		state: withSubtree(state, {...decision.subtree, answers: answers.slice(-keptAnswers)}),
		answer: decision.answer,
	};
}

function staleBase(subtree: TeamSubtree, base: number): Failure | undefined {
	return subtree.revision === base
		? undefined
		: failure(
			FailureKind.conflict,
			`the change builds on revision ${base}, but revision ${subtree.revision} of ${subtree.team} stands`,
			{winningRevision: subtree.revision},
		);
}

function invalidServices(state: ConfigurationState, subtree: TeamSubtree, command: SubtreeApplied): Failure | undefined {
	for (const contract of command.services) {
		const problems = contractProblems(contract, contract.name);
		if (problems.length > 0) {
			return contractFailure(contract, contract.name, problems);
		}
	}

	const others = state.teams.filter(other => other.team !== command.team).flatMap(other => other.services);
	const problems = [
		...overlapProblems(command.services, others),
		...changeProblems(subtree.services, command.services),
	];
	return problems.length === 0 ? undefined : problemsFailure(problems);
}

function refusalOf(state: ConfigurationState, subtree: TeamSubtree, command: SubtreeApplied): Failure | undefined {
	const foreign = foreignServices(command.team, command.services);
	return foreign.length > 0
		? problemsFailure(foreign, FailureKind.forbidden)
		: staleBase(subtree, command.base) ?? invalidServices(state, subtree, command);
}

function acceptedSubtree(subtree: TeamSubtree, command: SubtreeApplied, index: LogIndex): TeamSubtree {
	const services = [...command.services].sort((one, other) => one.name < other.name ? -1 : 1);
	const entry = {
		revision: index,
		operation: command.operation,
		author: command.author,
		at: command.at,
		summary: compareSubtrees(subtree.services, services).map(change => `${change.kind} ${change.service}`),
	};
	return {
		...subtree, revision: index, services, history: [...subtree.history, entry].slice(-keptHistory),
	};
}

function applySubtree(command: SubtreeApplied, state: ConfigurationState, index: LogIndex): ConfigurationApplied {
	const {team, operation, base, services} = command;
	return once(state, {team, operation, content: {base, services}}, subtree => {
		const refusal = refusalOf(state, subtree, command);
		return refusal === undefined
			? {subtree: acceptedSubtree(subtree, command, index), answer: ok({team, operation, revision: index})}
			: {subtree, answer: err(refusal)};
	});
}

function applyToken(command: TokenSet, state: ConfigurationState): ConfigurationApplied {
	const {team, operation, tokenHash} = command;
	return once(state, {team, operation, content: {tokenHash}}, subtree => ({
		subtree: {...subtree, tokenHash},
		answer: ok({team, operation, revision: subtree.revision}),
	}));
}

function applyFounding(command: Founded, state: ConfigurationState, index: LogIndex): ConfigurationApplied {
	const {operation, operatorTokenHash} = command;
	const standing = state.founding ?? {operation, revision: index};
	const repeats = state.operatorTokenHash === undefined
		|| (standing.operation === operation && state.operatorTokenHash === operatorTokenHash);
	return repeats
		? {state: {...state, operatorTokenHash, founding: standing}, answer: ok({team: deploymentTeam, ...standing})}
		: {state, answer: err(failure(FailureKind.conflict, 'the deployment is founded already'))};
}

const handlers: HandlerTable<ConfigurationCommand, [ConfigurationState, LogIndex], ConfigurationApplied> = {
	founded: applyFounding,
	subtreeApplied: applySubtree,
	tokenSet: applyToken,
};

/** Applies a command that stands in the log at an index. */
export function applyConfiguration(state: ConfigurationState, command: ConfigurationCommand, index: LogIndex): ConfigurationApplied {
	return dispatch(handlers, command, state, index);
}
