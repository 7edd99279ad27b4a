/**
 * The replicated part of the settings: the subtree of each team, who changed
 * it, and the answer to each operation. All of it is plain JSON, and a change
 * is a function of the state, the command and the command's index in the log.
 */
import {type ServiceContract} from '@dogwooddeck/model/contract';
import {type Failure, type SettingsProblem} from '@dogwooddeck/model/failure';
import {
	type LogIndex, type OperationIdentifier, type ServiceName, type TeamName, type WallTime,
} from '@dogwooddeck/model/identifiers';
import {type Result} from 'true-myth/result';

/** The index in the log of the last change of a team's subtree. 0: none yet. */
export type Revision = LogIndex;

/** One accepted change of a subtree. */
export type HistoryEntry = {
	readonly revision: Revision;
	readonly operation: OperationIdentifier;
	/** A label for people; it gives no right. */
	readonly author: string;
	readonly at: WallTime;
	/** What changed, for people: one line for each service. */
	readonly summary: readonly string[];
};

/** What an operator learns of an accepted change. */
export type ConfigurationAccepted = {
	readonly team: TeamName;
	readonly operation: OperationIdentifier;
	readonly revision: Revision;
};

/** The outcomes of an operation, as they stand in the state. */
export const AnswerKind = {
	accepted: 'accepted',
	refused: 'refused',
} as const;

/** The first answer to an operation, kept for when it is sent again. */
export type RecordedAnswer = {
	readonly operation: OperationIdentifier;
	/** A hash of what the operation asked for. */
	readonly fingerprint: string;
	readonly answer:
		| {readonly kind: typeof AnswerKind.accepted; readonly accepted: ConfigurationAccepted}
		| {readonly kind: typeof AnswerKind.refused; readonly failure: Failure};
};

/** All that is kept for one team. */
export type TeamSubtree = {
	readonly team: TeamName;
	readonly revision: Revision;
	/** Sorted by name. */
	readonly services: readonly ServiceContract[];
	/** Newest last. */
	readonly history: readonly HistoryEntry[];
	/** The hash of the token that gives the right to write the subtree. */
	readonly tokenHash?: string;
	/** Oldest first. */
	readonly answers: readonly RecordedAnswer[];
};

/** The settings of all teams, sorted by team. */
export type ConfigurationState = {
	readonly teams: readonly TeamSubtree[];
	/** The hash of the token that gives every right. Absent before the deployment is founded. */
	readonly operatorTokenHash?: string;
	/** The change that founded the deployment, for when it is sent again. */
	readonly founding?: {readonly operation: OperationIdentifier; readonly revision: Revision};
};

/** The kinds of command. */
export const ConfigurationCommandKind = {
	founded: 'founded',
	subtreeApplied: 'subtreeApplied',
	tokenSet: 'tokenSet',
} as const;

/** The deployment is founded: whoever holds the token has every right. */
export type Founded = {
	readonly kind: typeof ConfigurationCommandKind.founded;
	readonly operation: OperationIdentifier;
	readonly operatorTokenHash: string;
	readonly at: WallTime;
};

/** A team's subtree is to be as given. Whether the sender may write it is checked before. */
export type SubtreeApplied = {
	readonly kind: typeof ConfigurationCommandKind.subtreeApplied;
	readonly team: TeamName;
	readonly operation: OperationIdentifier;
	/** The revision that the change builds on. */
	readonly base: Revision;
	/** The whole subtree: a service that it leaves out is removed. */
	readonly services: readonly ServiceContract[];
	readonly author: string;
	readonly at: WallTime;
};

/** A team's token is set or replaced. */
export type TokenSet = {
	readonly kind: typeof ConfigurationCommandKind.tokenSet;
	readonly team: TeamName;
	readonly operation: OperationIdentifier;
	readonly tokenHash: string;
	readonly at: WallTime;
};

/** What changes the settings. */
export type ConfigurationCommand = Founded | SubtreeApplied | TokenSet;

/** The next state and the answer to whoever sent the command. */
export type ConfigurationApplied = {
	readonly state: ConfigurationState;
	readonly answer: Result<ConfigurationAccepted, Failure>;
};

/** Before anything was changed. */
export const initialConfiguration: ConfigurationState = {teams: []};

/** The subtree of a team; an empty one if the team has none yet. */
export function subtreeOf(state: ConfigurationState, team: TeamName): TeamSubtree {
	return state.teams.find(subtree => subtree.team === team) ?? {
		team, revision: 0, services: [], history: [], answers: [],
	};
}

/** The contracts of all teams. */
export function contractsOf(state: ConfigurationState): readonly ServiceContract[] {
	return state.teams.flatMap(subtree => subtree.services);
}

/** The contract of one service. */
export function contractOf(state: ConfigurationState, service: ServiceName): ServiceContract | undefined {
	return contractsOf(state).find(contract => contract.name === service);
}

/** The revision of a team's subtree. */
export function revisionOf(state: ConfigurationState, team: TeamName): Revision {
	return subtreeOf(state, team).revision;
}

/** The team that a service belongs to: the first segment of its path. */
export function teamOf(service: ServiceName): TeamName {
	return service.split('/', 1)[0]!;
}

/** A problem of a service that a team's subtree may not hold. */
export function foreignServices(team: TeamName, services: readonly ServiceContract[]): readonly SettingsProblem[] {
	return services.flatMap(contract => teamOf(contract.name) === team
		? []
		: [{file: contract.name, path: 'name', reason: `does not belong to the team "${team}"`}]);
}
