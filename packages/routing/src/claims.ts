/**
 * All claims of one instance: those it asks for as an entry instance, and those
 * it holds for others. Messages to itself never leave the state machine.
 */
import {failure, FailureKind} from '@dogwooddeck/model/failure';
import {
	type InstanceIdentity, type LogIndex, type Milliseconds, type MonotonicTime, sameInstance,
} from '@dogwooddeck/model/identifiers';
import {Outcome} from '@dogwooddeck/model/outcome';
import {dispatch, type HandlerTable, type Transition} from '@dogwooddeck/model/transition';
import {
	createHolder, type HolderBounds, type HolderEffect, type HolderEvent, type HolderState, stepHolder,
} from './claim-holder.js';
import {claimHolders} from './claim-holders.js';
import {
	type ClaimAnswer, type ClaimDecision, type ClaimEnded, type ClaimRequest, type ClaimRoster, type Operation, operationText, type StoredAnswer,
} from './claim.js';
import {
	beginClaim, type ClaimantEffect, type ClaimantEvent, type ClaimantState, ClaimPhase, stepClaimant,
} from './claimant.js';
import {type TextHash} from './text-hash.js';

/** What the claims of an instance start from. */
export type ClaimsInput = {
	readonly self: InstanceIdentity;
	readonly hash: TextHash;
	readonly bounds: HolderBounds;
	/** How long a claim is kept. A resend that comes later runs anew. */
	readonly lifetimeMilliseconds: Milliseconds;
	/**
	 * How long the holders of an earlier roster are asked after the roster went out of
	 * use. By then their records must have been copied. Absent: for one lifetime.
	 */
	readonly copyingMilliseconds?: Milliseconds;
	/** Every roster that a live instance may have used within that time, newest first. */
	readonly rosters: readonly ClaimRoster[];
	/** Whether `rosters` is known to hold them all. If not, nothing is claimed for one lifetime. */
	readonly rostersComplete: boolean;
	readonly now: MonotonicTime;
};

type KnownRoster = {
	readonly roster: ClaimRoster;
	/** Since when every live instance knows a newer one. */
	readonly outOfUseSince?: MonotonicTime;
};

/** All claims of one instance. */
export type ClaimsState = {
	readonly self: InstanceIdentity;
	readonly hash: TextHash;
	readonly lifetimeMilliseconds: Milliseconds;
	readonly copyingMilliseconds: Milliseconds;
	/** Newest first. */
	readonly rosters: readonly KnownRoster[];
	readonly claimsFrom: MonotonicTime;
	readonly holder: HolderState;
	/** The claims that this instance asked for, by sequence. Changed in place by this module alone, twice for each claim. */
	readonly open: Map<number, ClaimantState>;
	readonly sequence: number;
};

/** What happens to claims. `now` is monotonic. */
export type ClaimsEvent =
	/** A request with an operation key came. Its claim gets the sequence `state.sequence + 1`. */
	| {
		readonly kind: 'begun'; readonly now: MonotonicTime; readonly operation: Operation; readonly fingerprint: string;
		/** From now until nothing of the operation is in flight any more. */
		readonly runsForMilliseconds: Milliseconds;
	}
	/** A message of another instance came. */
	| {readonly kind: 'message'; readonly now: MonotonicTime; readonly message: ClaimRequest | ClaimEnded}
	/** A holder answered. */
	| {readonly kind: 'answered'; readonly now: MonotonicTime; readonly answer: ClaimAnswer}
	/** A holder could not be reached, or did not answer in time. */
	| {readonly kind: 'unreachable'; readonly now: MonotonicTime; readonly request: ClaimRequest}
	/** A holder answered a copy. Until then it is sent again with growing pauses. */
	| {readonly kind: 'copied'; readonly now: MonotonicTime; readonly request: ClaimRequest}
	| {readonly kind: 'given-up'; readonly now: MonotonicTime; readonly sequence: number}
	| {readonly kind: 'finished'; readonly now: MonotonicTime; readonly sequence: number; readonly outcome: Outcome; readonly answer?: StoredAnswer}
	/** This instance has applied a newer roster. */
	| {readonly kind: 'roster'; readonly now: MonotonicTime; readonly roster: ClaimRoster}
	/** Comes now and then. Every live instance has applied the entry `acknowledged`. */
	| {readonly kind: 'swept'; readonly now: MonotonicTime; readonly acknowledged: LogIndex};

/** What the edge does. */
export type ClaimsEffect =
	/** Send a message to its holder. For a request: bring its answer, or say that the holder is unreachable. For a copy: say `copied` once it is answered. */
	| {readonly kind: 'send'; readonly message: ClaimRequest | ClaimEnded}
	/** Answer the instance that asked. */
	| {readonly kind: 'answer'; readonly answer: ClaimAnswer}
	| {readonly kind: 'decide'; readonly sequence: number; readonly decision: ClaimDecision};

type Step = Transition<ClaimsState, ClaimsEffect>;

/** The claims of an instance that has just started. */
export function createClaims(input: ClaimsInput): ClaimsState {
	const holder = createHolder(input.self, input.bounds);
	const copyingMilliseconds = input.copyingMilliseconds ?? input.lifetimeMilliseconds;
	return {
		self: input.self,
		hash: input.hash,
		lifetimeMilliseconds: input.lifetimeMilliseconds,
		copyingMilliseconds,
		rosters: input.rosters.map(roster => ({roster})),
		claimsFrom: input.rostersComplete ? input.now : input.now + copyingMilliseconds,
		holder: {...holder, rosterIndex: input.rosters[0]?.index ?? 0, seats: input.rosters[0]?.seats ?? []},
		open: new Map(),
		sequence: 0,
	};
}

/** Carries out effects in turn; each may lead to further ones. */
function folded<Effect>(state: ClaimsState, effects: readonly Effect[], carry: (state: ClaimsState, effect: Effect) => Step): Step {
	return effects.reduce<Step>((step, effect) => {
		const next = carry(step.state, effect);
		return {state: next.state, effects: [...step.effects, ...next.effects]};
	}, {state, effects: []});
}

function heldHere(before: ClaimsState, event: HolderEvent, now: MonotonicTime): Step {
	const {state, effects} = stepHolder(before.holder, event);
	return folded({...before, holder: state}, effects, (held, effect) => dispatch(holderEffects, effect, held, now));
}

function sent(state: ClaimsState, message: ClaimRequest | ClaimEnded, now: MonotonicTime): Step {
	return sameInstance(message.holder, state.self)
		? heldHere(state, {kind: 'message', now, message}, now)
		: {state, effects: [{kind: 'send', message}]};
}

function answeredTo(state: ClaimsState, answer: ClaimAnswer, now: MonotonicTime): Step {
	return sameInstance(answer.token.claimant, state.self)
		? claimed(state, answer.token.sequence, {kind: 'answered', answer}, now)
		: {state, effects: [{kind: 'answer', answer}]};
}

const holderEffects: HandlerTable<HolderEffect, [ClaimsState, MonotonicTime], Step> = {
	answer: (effect, state, now) => answeredTo(state, effect.answer, now),
	send: (effect, state, now) => sent(state, effect.message, now),
};

const claimantEffects: HandlerTable<ClaimantEffect, [ClaimsState, MonotonicTime, number], Step> = {
	ask: (effect, state, now) => sent(state, effect.request, now),
	tell: (effect, state, now) => sent(state, effect.ended, now),
	decide: (effect, state, _now, sequence) => ({state, effects: [{kind: 'decide', sequence, decision: effect.decision}]}),
};

function carriedOut(state: ClaimsState, sequence: number, step: Transition<ClaimantState, ClaimantEffect>, now: MonotonicTime): Step {
	if (step.state.phase === ClaimPhase.ended) {
		state.open.delete(sequence);
	} else {
		state.open.set(sequence, step.state);
	}

	return folded(state, step.effects, (carried, effect) => dispatch(claimantEffects, effect, carried, now, sequence));
}

function claimed(state: ClaimsState, sequence: number, event: ClaimantEvent, now: MonotonicTime): Step {
	const open = state.open.get(sequence);
	return open === undefined ? {state, effects: []} : carriedOut(state, sequence, stepClaimant(open, event), now);
}

function whenBegun(event: Extract<ClaimsEvent, {kind: 'begun'}>, before: ClaimsState): Step {
	const sequence = before.sequence + 1;
	const state = {...before, sequence};
	if (event.now < state.claimsFrom) {
		const decision: ClaimDecision = {
			kind: 'refuse', failure: failure(FailureKind.claimUnavailable, 'this instance does not know all holders of earlier claims yet'), outcome: Outcome.unknown,
		};
		return {state, effects: [{kind: 'decide', sequence, decision}]};
	}

	const step = beginClaim({
		operation: event.operation,
		fingerprint: event.fingerprint,
		token: {claimant: state.self, sequence},
		holders: claimHolders(state.rosters.map(known => known.roster), operationText(event.operation), state.hash),
		rosterIndex: state.rosters[0]?.roster.index ?? 0,
		runsForMilliseconds: event.runsForMilliseconds,
		lifetimeMilliseconds: state.lifetimeMilliseconds,
	});
	return carriedOut(state, sequence, step, event.now);
}

function whenRoster(event: Extract<ClaimsEvent, {kind: 'roster'}>, before: ClaimsState): Step {
	if (event.roster.index <= (before.rosters[0]?.roster.index ?? 0)) {
		return {state: before, effects: []};
	}

	const state = {...before, rosters: [{roster: event.roster}, ...before.rosters]};
	return heldHere(state, {
		kind: 'roster', now: event.now, roster: event.roster, hash: state.hash,
	}, event.now);
}

/** Forgets a roster some time after the last instance may have used it. */
function rostersInUse(state: ClaimsState, now: MonotonicTime, acknowledged: LogIndex): readonly KnownRoster[] {
	const [newest, ...earlier] = state.rosters;
	if (newest === undefined) {
		return [];
	}

	const marked = earlier.map((known, position) => {
		const replacedAt = position === 0 ? newest.roster.index : earlier[position - 1]!.roster.index;
		return known.outOfUseSince === undefined && replacedAt <= acknowledged ? {...known, outOfUseSince: now} : known;
	});
	return [newest, ...marked.filter(known => known.outOfUseSince === undefined || now - known.outOfUseSince < state.copyingMilliseconds)];
}

const handlers: HandlerTable<ClaimsEvent, [ClaimsState], Step> = {
	begun: whenBegun,
	message: (event, state) => heldHere(state, event, event.now),
	answered: (event, state) => claimed(state, event.answer.token.sequence, event, event.now),
	unreachable: (event, state) => claimed(state, event.request.token.sequence, {kind: 'unreachable', holder: event.request.holder}, event.now),
	copied: (event, state) => heldHere(state, event, event.now),
	'given-up': (event, state) => claimed(state, event.sequence, {kind: 'given-up'}, event.now),
	finished: (event, state) => claimed(state, event.sequence, event, event.now),
	roster: whenRoster,
	swept: (event, state) => heldHere({...state, rosters: rostersInUse(state, event.now, event.acknowledged)}, {kind: 'swept', now: event.now}, event.now),
};

/** The next state of an instance's claims and what the edge does. */
export function stepClaims(state: ClaimsState, event: ClaimsEvent): Step {
	return dispatch(handlers, event, state);
}
