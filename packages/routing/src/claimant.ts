/**
 * State machine of one claim at its claimant, the entry instance of the request. It
 * queries the holders, and may send the request only once all current holders have
 * recorded the claim and, for each earlier roster, one of its holders has no record of
 * the operation.
 */
import {failure, FailureKind} from '@dogwooddeck/model/failure';
import {
	includesInstance, type InstanceIdentity, type LogIndex, type Milliseconds, sameInstance,
} from '@dogwooddeck/model/identifiers';
import {Outcome} from '@dogwooddeck/model/outcome';
import {dispatch, type HandlerTable, type Transition} from '@dogwooddeck/model/transition';
import {type ClaimHolders} from './claim-holders.js';
import {
	type ClaimAnswer, type ClaimDecision, type ClaimEnded, ClaimPurpose, type ClaimRequest, type ClaimStatus, type ClaimToken, ClaimVerdict, type Operation, sameToken, type StoredAnswer,
} from './claim.js';

/** The phase of a claim at its claimant. */
export const ClaimPhase = {
	asking: 'asking',
	/** The request may be sent. */
	held: 'held',
	/** Nothing more may be sent. */
	ended: 'ended',
} as const;

export type ClaimPhase = (typeof ClaimPhase)[keyof typeof ClaimPhase];

/** The initial values of a claim. */
export type ClaimOptions = {
	readonly operation: Operation;
	readonly fingerprint: string;
	readonly token: ClaimToken;
	readonly holders: ClaimHolders;
	/** The index of the newest roster, from which the current holders were chosen. */
	readonly rosterIndex: LogIndex;
	/** The time after which nothing of the operation is in flight any more. */
	readonly runsForMilliseconds: Milliseconds;
	readonly lifetimeMilliseconds: Milliseconds;
	/** If all holders by an earlier roster are lost: how long the operation stays refused at most. */
	readonly refusalMilliseconds?: Milliseconds | undefined;
};

/** The state of one claim at its claimant. */
export type ClaimantState = ClaimOptions & {
	readonly phase: ClaimPhase;
	/** The holders that have not answered yet. */
	readonly waitingFor: readonly InstanceIdentity[];
	/** The holders that recorded the claim, or that have no record of the operation. */
	readonly confirmed: readonly InstanceIdentity[];
};

/** An event of a claim. */
export type ClaimantEvent =
	| {readonly kind: 'answered'; readonly answer: ClaimAnswer}
	/** A holder can't be reached or did not answer in time. */
	| {readonly kind: 'unreachable'; readonly holder: InstanceIdentity}
	/** The deadline passed before the claim was held, or the caller disconnected. */
	| {readonly kind: 'given-up'}
	/** The request ended. */
	| {readonly kind: 'finished'; readonly outcome: Outcome; readonly answer?: StoredAnswer};

/** An effect that the caller of `stepClaimant` carries out. */
export type ClaimantEffect =
	| {readonly kind: 'ask'; readonly request: ClaimRequest}
	| {readonly kind: 'tell'; readonly ended: ClaimEnded}
	| {readonly kind: 'decide'; readonly decision: ClaimDecision};

type Step = Transition<ClaimantState, ClaimantEffect>;

function createRequest(options: ClaimOptions, holder: InstanceIdentity): ClaimRequest {
	return {
		kind: 'claim-request',
		purpose: includesInstance(options.holders.current, holder) ? ClaimPurpose.hold : ClaimPurpose.check,
		operation: options.operation,
		fingerprint: options.fingerprint,
		token: options.token,
		holder: {name: holder.name, incarnation: holder.incarnation},
		rosterIndex: options.rosterIndex,
		status: {kind: 'running', remainingMilliseconds: options.runsForMilliseconds},
		lifetimeMilliseconds: options.lifetimeMilliseconds,
	};
}

function allHolders(holders: ClaimHolders): readonly InstanceIdentity[] {
	const all = [...holders.current, ...holders.earlier.flat()];
	return all.filter((seat, position) => all.findIndex(other => sameInstance(other, seat)) === position);
}

/** Whether `seats` contains the confirmations required: all current holders and one of each earlier group. */
function suffices(holders: ClaimHolders, seats: readonly InstanceIdentity[]): boolean {
	return holders.current.every(seat => includesInstance(seats, seat))
		&& holders.earlier.every(group => group.some(seat => includesInstance(seats, seat)));
}

function reportEnd(state: ClaimantState, outcome: Outcome, answer?: StoredAnswer): ClaimantEffect[] {
	return state.holders.current.map(holder => ({
		kind: 'tell',
		ended: {
			kind: 'claim-ended', operation: state.operation, token: state.token, holder: {name: holder.name, incarnation: holder.incarnation}, outcome, ...(answer === undefined ? {} : {answer}),
		},
	}));
}

/** Ends a claim under which nothing was sent, and releases its records. */
function endUnsent(state: ClaimantState, decision: ClaimDecision): Step {
	return {
		state: {...state, phase: ClaimPhase.ended, waitingFor: []},
		effects: [{kind: 'decide', decision}, ...reportEnd(state, Outcome.notRun)],
	};
}

/** Refuses the request with an unknown outcome: nothing is sent now, but an earlier send of the operation may have run. */
function refuseAsUnavailable(state: ClaimantState, detail: string): Step {
	const {refusalMilliseconds} = state;
	const details = refusalMilliseconds === undefined ? {} : {retryAfterMilliseconds: Math.ceil(refusalMilliseconds)};
	return endUnsent(state, {kind: 'refuse', failure: failure(FailureKind.claimUnavailable, detail, details), outcome: Outcome.unknown});
}

/** Creates a claim and queries every holder. Fails immediately if there are no two holders in different zones. */
export function beginClaim(options: ClaimOptions): Step {
	const waitingFor = allHolders(options.holders);
	const state: ClaimantState = {
		...options, phase: ClaimPhase.asking, waitingFor, confirmed: [],
	};
	if (options.holders.current.length < 2) {
		return refuseAsUnavailable(state, 'no two instances in different availability zones can hold the claim');
	}

	return {state, effects: waitingFor.map(holder => ({kind: 'ask', request: createRequest(options, holder)}))};
}

/** Decides to run once enough holders have confirmed, and to refuse once no answer is outstanding and too few have. */
function decideIfComplete(state: ClaimantState): Step {
	if (suffices(state.holders, state.confirmed)) {
		return {state: {...state, phase: ClaimPhase.held}, effects: [{kind: 'decide', decision: {kind: 'run'}}]};
	}

	const possible = suffices(state.holders, [...state.confirmed, ...state.waitingFor]);
	return possible || state.waitingFor.length > 0 ? {state, effects: []} : refuseAsUnavailable(state, 'too few of the claim\'s holders can be reached');
}

function recordConfirmation(state: ClaimantState, answer: ClaimAnswer): Step {
	return decideIfComplete({...state, confirmed: [...state.confirmed, answer.holder]});
}

const statusDecisions: {readonly [Kind in ClaimStatus['kind']]: (status: Extract<ClaimStatus, {readonly kind: Kind}>) => ClaimDecision} = {
	running: status => ({
		kind: 'refuse',
		failure: failure(FailureKind.duplicate, 'the same operation is under way', {retryAfterMilliseconds: Math.ceil(status.remainingMilliseconds)}),
		outcome: Outcome.unknown,
	}),
	ended: status => status.answer === undefined
		? {kind: 'refuse', failure: failure(FailureKind.duplicate, `the same operation ended before; its outcome is ${status.outcome}, its answer is not kept`), outcome: status.outcome}
		: {kind: 'replay', answer: status.answer},
};

function refuseOrReplay(state: ClaimantState, answer: ClaimAnswer): Step {
	const status = answer.status ?? {kind: 'ended', outcome: Outcome.unknown};
	const decide = statusDecisions[status.kind] as (status: ClaimStatus) => ClaimDecision;
	return endUnsent(state, decide(status));
}

const verdictHandlers: Readonly<Record<ClaimVerdict, (state: ClaimantState, answer: ClaimAnswer) => Step>> = {
	[ClaimVerdict.held]: recordConfirmation,
	[ClaimVerdict.free]: recordConfirmation,
	[ClaimVerdict.taken]: refuseOrReplay,
	[ClaimVerdict.mismatch]: state => endUnsent(state, {
		kind: 'refuse', failure: failure(FailureKind.conflict, 'the operation key was used for a different request'), outcome: Outcome.notRun,
	}),
	[ClaimVerdict.staleRoster]: state => decideIfComplete(state),
	[ClaimVerdict.notHolder]: state => decideIfComplete(state),
	[ClaimVerdict.full]: state => decideIfComplete(state),
};

function whenAnswered(event: Extract<ClaimantEvent, {kind: 'answered'}>, state: ClaimantState): Step {
	const {answer} = event;
	if (state.phase !== ClaimPhase.asking || !sameToken(answer.token, state.token) || !includesInstance(state.waitingFor, answer.holder)) {
		return {state, effects: []};
	}

	const waitingFor = state.waitingFor.filter(seat => !sameInstance(seat, answer.holder));
	return verdictHandlers[answer.verdict]({...state, waitingFor}, answer);
}

function whenUnreachable(event: Extract<ClaimantEvent, {kind: 'unreachable'}>, state: ClaimantState): Step {
	if (state.phase !== ClaimPhase.asking) {
		return {state, effects: []};
	}

	return decideIfComplete({...state, waitingFor: state.waitingFor.filter(seat => !sameInstance(seat, event.holder))});
}

function whenFinished(event: Extract<ClaimantEvent, {kind: 'finished'}>, state: ClaimantState): Step {
	if (state.phase !== ClaimPhase.held) {
		return {state, effects: []};
	}

	return {state: {...state, phase: ClaimPhase.ended}, effects: reportEnd(state, event.outcome, event.answer)};
}

const handlers: HandlerTable<ClaimantEvent, [ClaimantState], Step> = {
	answered: whenAnswered,
	unreachable: whenUnreachable,
	'given-up': (_event, state) => state.phase === ClaimPhase.asking ? refuseAsUnavailable(state, 'the claim was not recorded in time') : {state, effects: []},
	finished: whenFinished,
};

/** Returns the next state of a claim and the effects to carry out. Ignores events that arrive in a later phase. */
export function stepClaimant(state: ClaimantState, event: ClaimantEvent): Step {
	return dispatch(handlers, event, state);
}
