/**
 * Applies commands of the replicated log to the control state. Application is
 * deterministic: every instance applies the same entries in the same order and
 * reaches the same state.
 */
import {applyConfiguration} from '@dogwooddeck/configuration/apply';
import {contractOf, contractsOf, type ConfigurationCommand} from '@dogwooddeck/configuration/tree';
import {applyMembership, type MembershipCommand, upstreamsOf} from '@dogwooddeck/membership/registry';
import {AssignmentPhase} from '@dogwooddeck/model/assignment';
import {type ServiceContract} from '@dogwooddeck/model/contract';
import {
	failure, type Failure, FailureKind, toFailure,
} from '@dogwooddeck/model/failure';
import {type LogIndex} from '@dogwooddeck/model/identifiers';
import {identityOf, UpstreamPhase} from '@dogwooddeck/model/registry';
import {dispatch, type HandlerTable} from '@dogwooddeck/model/transition';
import {
	applyOwnership, assignmentOf, type OwnershipCommand, type OwnershipState,
	seatedInstances,
} from '@dogwooddeck/ownership/table';
import {err, ok, type Result} from 'true-myth/result';
import {
	type ControlCommand, decodeCommands, type DrainRequest, type MoveRequest, type OperatorRequest,
} from './command.js';
import {
	type ControlAccepted, type ControlState, type KeptAnswer, keptSeatings,
} from './state.js';

/** The state after one command, and its result. */
export type CommandResult = {
	readonly state: ControlState;
	readonly answer: Result<ControlAccepted, Failure>;
};

/** The state after an entry, and the results of its commands in order. */
export type EntryResult = {
	readonly state: ControlState;
	readonly answers: ReadonlyArray<Result<ControlAccepted, Failure>>;
};

/** The number of results of operators' commands that are kept. */
const keptOperatorAnswers = 1024;

function policyOf({whenCut, longestDeadlineMilliseconds}: ServiceContract) {
	return {whenCut, longestDeadlineMilliseconds};
}

function applyContract(ownership: OwnershipState, contract: ServiceContract, index: LogIndex): OwnershipState {
	const service = contract.name;
	const policy = policyOf(contract);
	const current = ownership.policies[service];
	if (current === undefined) {
		return applyOwnership(ownership, {
			kind: 'serviceOpened', service, slots: contract.slots, policy,
		}, index).unwrapOr(ownership);
	}

	const isUnchanged = current.whenCut === policy.whenCut && current.longestDeadlineMilliseconds === policy.longestDeadlineMilliseconds;
	return isUnchanged ? ownership : applyOwnership(ownership, {kind: 'policyChanged', service, policy}, index).unwrapOr(ownership);
}

function applyContracts(state: ControlState, index: LogIndex): ControlState {
	const ownership = contractsOf(state.configuration)
		.reduce((updated, contract) => applyContract(updated, contract, index), state.ownership);
	return ownership === state.ownership ? state : {...state, ownership};
}

function applyToConfiguration(command: ConfigurationCommand, state: ControlState, index: LogIndex): CommandResult {
	const applied = applyConfiguration(state.configuration, command, index);
	const next = applyContracts({...state, configuration: applied.state}, index);
	return {state: next, answer: applied.answer.map(configuration => ({index, configuration}))};
}

function applyToMembership(command: MembershipCommand, state: ControlState, index: LogIndex): CommandResult {
	const membership = applyMembership(state.membership, command, index);
	return membership.isOk
		? {state: {...state, membership: membership.value}, answer: ok({index})}
		: {state, answer: err(membership.error)};
}

function isPendingMove(state: ControlState, move: MoveRequest): boolean {
	const assignment = assignmentOf(state.ownership, move.service, move.slot);
	const target = upstreamsOf(state.membership, move.service).find(({name}) => name === move.upstream);
	const isCompleted = assignment?.phase === AssignmentPhase.granted && assignment.owner.name === move.upstream;
	return assignment !== undefined && !isCompleted && target?.phase === UpstreamPhase.serving;
}

function dropCompletedMoves(state: ControlState): ControlState {
	return state.wishes.length === 0 ? state : {...state, wishes: state.wishes.filter(move => isPendingMove(state, move))};
}

function withSeating(state: ControlState, before: OwnershipState, index: LogIndex): ControlState {
	if (state.ownership.rosters === before.rosters) {
		return state;
	}

	const seats = seatedInstances(state.ownership).map(({name, incarnation, zone}) => ({name, incarnation, zone}));
	return {...state, seatings: [{index, seats}, ...state.seatings.filter(seating => seating.index !== index)].slice(0, keptSeatings)};
}

function applyToOwnership(command: OwnershipCommand, state: ControlState, index: LogIndex): CommandResult {
	const ownership = applyOwnership(state.ownership, command, index);
	return ownership.isOk
		? {state: withSeating(dropCompletedMoves({...state, ownership: ownership.value}), state.ownership, index), answer: ok({index})}
		: {state, answer: err(ownership.error)};
}

function requestMove(move: MoveRequest, state: ControlState, index: LogIndex): CommandResult {
	if (contractOf(state.configuration, move.service) === undefined || assignmentOf(state.ownership, move.service, move.slot) === undefined) {
		return {state, answer: err(failure(FailureKind.notFound, `there is no slot ${move.slot} of ${move.service}`))};
	}

	const target = upstreamsOf(state.membership, move.service).find(({name}) => name === move.upstream);
	if (target?.phase !== UpstreamPhase.serving) {
		return {state, answer: err(failure(FailureKind.notFound, `no upstream ${move.upstream} of ${move.service} is serving`))};
	}

	const others = state.wishes.filter(({service, slot}) => service !== move.service || slot !== move.slot);
	return {state: dropCompletedMoves({...state, wishes: [...others, move]}), answer: ok({index})};
}

function drain(request: DrainRequest, state: ControlState, index: LogIndex): CommandResult {
	const record = upstreamsOf(state.membership, request.service).find(({name}) => name === request.upstream);
	if (record === undefined || record.phase === UpstreamPhase.lost) {
		return {state, answer: err(failure(FailureKind.notFound, `there is no upstream ${request.upstream} of ${request.service}`))};
	}

	return applyToMembership({kind: 'upstreamPhaseChanged', upstream: identityOf(record), phase: UpstreamPhase.leaving}, state, index);
}

function toKeptAnswer({operation}: OperatorRequest, command: string, answer: CommandResult['answer']): KeptAnswer {
	return {operation, command, answer: answer.isOk ? {accepted: answer.value} : {failure: answer.error}};
}

function repeatedAnswer(kept: KeptAnswer, command: string): CommandResult['answer'] {
	if (kept.command !== command) {
		return err(failure(FailureKind.conflict, `the operation ${kept.operation} was used for another change`));
	}

	return 'accepted' in kept.answer ? ok(kept.answer.accepted) : err(kept.answer.failure);
}

function applyOnce(request: OperatorRequest, state: ControlState, index: LogIndex): CommandResult {
	const command = JSON.stringify(request.command);
	const kept = state.answers.find(({operation}) => operation === request.operation);
	if (kept !== undefined) {
		return {state, answer: repeatedAnswer(kept, command)};
	}

	const applied = applyCommand(request.command, state, index);
	const answers = [...applied.state.answers, toKeptAnswer(request, command, applied.answer)].slice(-keptOperatorAnswers);
	return {state: {...applied.state, answers}, answer: applied.answer};
}

const handlers: HandlerTable<ControlCommand, [ControlState, LogIndex], CommandResult> = {
	founded: applyToConfiguration,
	subtreeApplied: applyToConfiguration,
	tokenSet: applyToConfiguration,
	upstreamJoined: applyToMembership,
	upstreamPhaseChanged: applyToMembership,
	upstreamForgotten: applyToMembership,
	serviceOpened: applyToOwnership,
	serviceClosed: applyToOwnership,
	policyChanged: applyToOwnership,
	policySettled: applyToOwnership,
	assignmentsGranted: applyToOwnership,
	assignmentsRevoked: applyToOwnership,
	assignmentsReleased: applyToOwnership,
	keyPinned: applyToOwnership,
	keyUnpinned: applyToOwnership,
	instanceSeated: applyToOwnership,
	instanceUnseated: applyToOwnership,
	rosterSettled: applyToOwnership,
	zoneReleased: applyToOwnership,
	moveWished: requestMove,
	drainAsked: drain,
	operatorAsked: applyOnce,
};

/** Applies one command of the entry at an index. A rejected command changes nothing but the kept results. */
export function applyCommand(command: ControlCommand, state: ControlState, index: LogIndex): CommandResult {
	return Object.hasOwn(handlers, command.kind)
		? dispatch(handlers, command, state, index)
		: {state, answer: err(failure(FailureKind.malformed, `there is no command of kind ${JSON.stringify(command.kind)}`))};
}

/** A command with missing fields changes nothing: it fails in the same way at every instance. */
function applyGuarded(command: ControlCommand, state: ControlState, index: LogIndex): CommandResult {
	try {
		return applyCommand(command, state, index);
	} catch (error) {
		return {state, answer: err(failure(FailureKind.malformed, `the command ${command.kind} can't be applied: ${toFailure(error).detail}`))};
	}
}

/** Applies the entry at an index. A payload that can't be decoded changes nothing but the index. */
export function applyEntry(state: ControlState, payload: string, index: LogIndex): EntryResult {
	const commands = decodeCommands(payload);
	if (commands.isErr) {
		return {state: {...state, applied: index}, answers: [err(commands.error)]};
	}

	const answers: Array<Result<ControlAccepted, Failure>> = [];
	let next = state;
	for (const command of commands.value) {
		const applied = applyGuarded(command, next, index);
		next = applied.state;
		answers.push(applied.answer);
	}

	return {state: {...next, applied: index}, answers};
}
