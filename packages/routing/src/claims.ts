/**
 * State machine of all claims of one instance: those that it requests as an entry
 * instance, and those that it holds for others. Messages to itself never leave the
 * state machine.
 */
import {failure, FailureKind} from '@dogwooddeck/model/failure';
import {
	type InstanceIdentity, type LogIndex, type Milliseconds, type MonotonicTime, sameInstance,
} from '@dogwooddeck/model/identifiers';
import {Outcome} from '@dogwooddeck/model/outcome';
import {dispatch, type HandlerTable, type Transition} from '@dogwooddeck/model/transition';
import {
	createHolderState, type HolderBounds, type HolderEffect, type HolderEvent, type HolderState, stepHolder,
} from './claim-holder.js';
import {claimHolders, refusalTime} from './claim-holders.js';
import {
	adoptView, applyReport, expireRosters, type ClaimsView, type CopyReport, trackRoster, type TrackedRoster, remainingQueryTime, unsettledSeats, createView,
} from './claim-rosters.js';
import {
	type ClaimAnswer, type ClaimDecision, type ClaimEnded, type ClaimRequest, type ClaimRoster, type ClaimSeat, type ClaimVerdict, type Operation, operationId, type StoredAnswer,
} from './claim.js';
import {
	beginClaim, type ClaimantEffect, type ClaimantEvent, type ClaimantState, ClaimPhase, stepClaimant,
} from './claimant.js';
import {type TextHash} from './text-hash.js';

/** The initial values of an instance's claims. */
export type ClaimsOptions = {
	readonly self: InstanceIdentity;
	readonly hash: TextHash;
	readonly bounds: HolderBounds;
	/** How long a claim is kept. A resend after that runs again. */
	readonly lifetimeMilliseconds: Milliseconds;
	/** The rosters that live instances may have used within the lifetime, newest first. */
	readonly rosters: readonly ClaimRoster[];
	/** Whether `rosters` holds all of them. If not, nothing is claimed for one lifetime. */
	readonly rostersComplete: boolean;
	readonly now: MonotonicTime;
};

/** All claims of one instance. */
export type ClaimsState = {
	readonly self: InstanceIdentity;
	readonly hash: TextHash;
	readonly lifetimeMilliseconds: Milliseconds;
	/** Newest first. */
	readonly rosters: readonly TrackedRoster[];
	/** Until this time rosters may be missing, and no claim is requested. */
	readonly claimsAllowedFrom: MonotonicTime;
	readonly holder: HolderState;
	/** The claims that this instance requested, by sequence. Mutated in place, by this module alone and twice for each claim. */
	readonly openClaims: Map<number, ClaimantState>;
	readonly sequence: number;
};

/** An event of an instance's claims. `now` is monotonic. */
export type ClaimsEvent =
	/** A request with an operation key was received. Its claim gets the sequence `state.sequence + 1`. */
	| {
		readonly kind: 'begun'; readonly now: MonotonicTime; readonly operation: Operation; readonly fingerprint: string;
		/** The time after which nothing of the operation is in flight any more. */
		readonly runsForMilliseconds: Milliseconds;
	}
	/** A message of another instance was received. */
	| {readonly kind: 'message'; readonly now: MonotonicTime; readonly message: ClaimRequest | ClaimEnded}
	/** A holder answered. */
	| {readonly kind: 'answered'; readonly now: MonotonicTime; readonly answer: ClaimAnswer}
	/** A holder could not be reached or did not answer in time. */
	| {readonly kind: 'unreachable'; readonly now: MonotonicTime; readonly request: ClaimRequest}
	/** A holder answered a copy. Until the verdict is `held`, the copy is resent with exponential backoff. */
	| {readonly kind: 'copied'; readonly now: MonotonicTime; readonly request: ClaimRequest; readonly verdict: ClaimVerdict}
	| {readonly kind: 'given-up'; readonly now: MonotonicTime; readonly sequence: number}
	| {readonly kind: 'finished'; readonly now: MonotonicTime; readonly sequence: number; readonly outcome: Outcome; readonly answer?: StoredAnswer}
	/** This instance has applied a newer roster. */
	| {readonly kind: 'roster'; readonly now: MonotonicTime; readonly roster: ClaimRoster}
	/** This instance missed rosters before the newest that it has. Nothing is claimed until a view is adopted or one lifetime has passed. */
	| {readonly kind: 'rosters-missed'; readonly now: MonotonicTime}
	/** Another instance sent the view that this one requested. */
	| {readonly kind: 'view-told'; readonly now: MonotonicTime; readonly view: ClaimsView}
	/** An instance reported whether its records are copied. */
	| {readonly kind: 'copies-told'; readonly now: MonotonicTime; readonly report: CopyReport}
	/** Raised periodically. Every live instance has applied the entry `acknowledged`. */
	| {readonly kind: 'swept'; readonly now: MonotonicTime; readonly acknowledged: LogIndex};

/** An effect that the caller of `stepClaims` carries out. */
export type ClaimsEffect =
	/** Send a message to its holder. The result of a request is reported as `answered` or `unreachable`, that of a copy as `copied` once it is answered. */
	| {readonly kind: 'send'; readonly message: ClaimRequest | ClaimEnded}
	/** Answer the instance that sent the request. */
	| {readonly kind: 'answer'; readonly answer: ClaimAnswer}
	| {readonly kind: 'decide'; readonly sequence: number; readonly decision: ClaimDecision};

type Step = Transition<ClaimsState, ClaimsEffect>;

/** Creates the claims of an instance that has just started. */
export function createClaims(options: ClaimsOptions): ClaimsState {
	return {
		self: options.self,
		hash: options.hash,
		lifetimeMilliseconds: options.lifetimeMilliseconds,
		rosters: options.rosters.map(roster => trackRoster(roster)),
		claimsAllowedFrom: options.rostersComplete ? options.now : options.now + options.lifetimeMilliseconds,
		holder: createHolderState(options.self, options.bounds, options.hash, options.rosters[0] ?? {index: 0, seats: []}),
		openClaims: new Map(),
		sequence: 0,
	};
}

/** Applies effects in order and collects the effects that they cause. */
function applyEffects<Effect>(state: ClaimsState, effects: readonly Effect[], applyEffect: (state: ClaimsState, effect: Effect) => Step): Step {
	return effects.reduce<Step>((step, effect) => {
		const next = applyEffect(step.state, effect);
		return {state: next.state, effects: [...step.effects, ...next.effects]};
	}, {state, effects: []});
}

function stepOwnHolder(before: ClaimsState, event: HolderEvent, now: MonotonicTime, table = holderEffects): Step {
	const {state, effects} = stepHolder(before.holder, event);
	return applyEffects({...before, holder: state}, effects, (current, effect) => dispatch(table, effect, current, now));
}

function sendMessage(state: ClaimsState, message: ClaimRequest | ClaimEnded, now: MonotonicTime): Step {
	return sameInstance(message.holder, state.self)
		? stepOwnHolder(state, {kind: 'message', now, message}, now)
		: {state, effects: [{kind: 'send', message}]};
}

function sendAnswer(state: ClaimsState, answer: ClaimAnswer, now: MonotonicTime): Step {
	return sameInstance(answer.token.claimant, state.self)
		? stepOpenClaim(state, answer.token.sequence, {kind: 'answered', answer}, now)
		: {state, effects: [{kind: 'answer', answer}]};
}

const holderEffects: HandlerTable<HolderEffect, [ClaimsState, MonotonicTime], Step> = {
	answer: (effect, state, now) => sendAnswer(state, effect.answer, now),
	send: (effect, state, now) => sendMessage(state, effect.message, now),
};

/** Handlers for a message of another instance: the answer goes to that instance, also if this instance is the claimant of the copied record. */
const peerEffects: typeof holderEffects = {
	...holderEffects,
	answer: (effect, state) => ({state, effects: [{kind: 'answer', answer: effect.answer}]}),
};

const claimantEffects: HandlerTable<ClaimantEffect, [ClaimsState, MonotonicTime, number], Step> = {
	ask: (effect, state, now) => sendMessage(state, effect.request, now),
	tell: (effect, state, now) => sendMessage(state, effect.ended, now),
	decide: (effect, state, _now, sequence) => ({state, effects: [{kind: 'decide', sequence, decision: effect.decision}]}),
};

function applyClaimantStep(state: ClaimsState, sequence: number, step: Transition<ClaimantState, ClaimantEffect>, now: MonotonicTime): Step {
	if (step.state.phase === ClaimPhase.ended) {
		state.openClaims.delete(sequence);
	} else {
		state.openClaims.set(sequence, step.state);
	}

	return applyEffects(state, step.effects, (current, effect) => dispatch(claimantEffects, effect, current, now, sequence));
}

function stepOpenClaim(state: ClaimsState, sequence: number, event: ClaimantEvent, now: MonotonicTime): Step {
	const claim = state.openClaims.get(sequence);
	return claim === undefined ? {state, effects: []} : applyClaimantStep(state, sequence, stepClaimant(claim, event), now);
}

function whenBegun(event: Extract<ClaimsEvent, {kind: 'begun'}>, before: ClaimsState): Step {
	const sequence = before.sequence + 1;
	const state = {...before, sequence};
	if (event.now < state.claimsAllowedFrom) {
		const decision: ClaimDecision = {
			kind: 'refuse',
			failure: failure(FailureKind.claimUnavailable, 'this instance does not have all holders of earlier claims yet', {retryAfterMilliseconds: Math.ceil(state.claimsAllowedFrom - event.now)}),
			outcome: Outcome.unknown,
		};
		return {state, effects: [{kind: 'decide', sequence, decision}]};
	}

	const holders = claimHolders(state.rosters, operationId(event.operation), state.hash);
	const step = beginClaim({
		operation: event.operation,
		fingerprint: event.fingerprint,
		token: {claimant: state.self, sequence},
		holders,
		rosterIndex: state.rosters[0]?.roster.index ?? 0,
		runsForMilliseconds: event.runsForMilliseconds,
		lifetimeMilliseconds: state.lifetimeMilliseconds,
		refusalMilliseconds: refusalTime(state.rosters, holders, tracked => remainingQueryTime(tracked, event.now, state.lifetimeMilliseconds)),
	});
	return applyClaimantStep(state, sequence, step, event.now);
}

function whenRoster(event: Extract<ClaimsEvent, {kind: 'roster'}>, before: ClaimsState): Step {
	if (event.roster.index <= (before.rosters[0]?.roster.index ?? 0)) {
		return {state: before, effects: []};
	}

	const state = {...before, rosters: [trackRoster(event.roster), ...before.rosters]};
	return stepOwnHolder(state, {
		kind: 'roster', now: event.now, roster: event.roster,
	}, event.now);
}

function whenViewReceived(event: Extract<ClaimsEvent, {kind: 'view-told'}>, state: ClaimsState): Step {
	const rosters = adoptView(state.rosters, event.view);
	return {state: rosters === undefined ? state : {...state, rosters, claimsAllowedFrom: Math.min(state.claimsAllowedFrom, event.now)}, effects: []};
}

function whenSwept(event: Extract<ClaimsEvent, {kind: 'swept'}>, before: ClaimsState): Step {
	const rosters = expireRosters(before.rosters, event.now, event.acknowledged, before.lifetimeMilliseconds);
	return stepOwnHolder({...before, rosters}, {kind: 'swept', now: event.now}, event.now);
}

const handlers: HandlerTable<ClaimsEvent, [ClaimsState], Step> = {
	begun: whenBegun,
	message: (event, state) => stepOwnHolder(state, event, event.now, peerEffects),
	answered: (event, state) => stepOpenClaim(state, event.answer.token.sequence, event, event.now),
	unreachable: (event, state) => stepOpenClaim(state, event.request.token.sequence, {kind: 'unreachable', holder: event.request.holder}, event.now),
	copied: (event, state) => stepOwnHolder(state, event, event.now),
	'given-up': (event, state) => stepOpenClaim(state, event.sequence, {kind: 'given-up'}, event.now),
	finished: (event, state) => stepOpenClaim(state, event.sequence, event, event.now),
	roster: whenRoster,
	'rosters-missed': (event, state) => ({state: {...state, claimsAllowedFrom: event.now + state.lifetimeMilliseconds}, effects: []}),
	'view-told': whenViewReceived,
	'copies-told': (event, state) => ({state: {...state, rosters: applyReport(state.rosters, event.report)}, effects: []}),
	swept: whenSwept,
};

/** Returns the next state of an instance's claims and the effects to carry out. */
export function stepClaims(state: ClaimsState, event: ClaimsEvent): Step {
	return dispatch(handlers, event, state);
}

/** Returns the view to send to an instance that starts; undefined while rosters may be missing. */
export function claimsView(state: ClaimsState, now: MonotonicTime): ClaimsView | undefined {
	return now < state.claimsAllowedFrom ? undefined : createView(state.rosters);
}

/** Returns the instances whose copy reports are still needed to forget an earlier roster. */
export function awaitedReports(state: ClaimsState): readonly ClaimSeat[] {
	return unsettledSeats(state.rosters);
}
