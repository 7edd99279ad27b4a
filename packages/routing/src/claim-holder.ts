/**
 * What a holder of claims decides. A record is never dropped before its time:
 * a holder that is full refuses new claims.
 */
import {
	includesInstance, type InstanceIdentity, type LogIndex, type Milliseconds, type MonotonicTime, sameInstance,
} from '@dogwooddeck/model/identifiers';
import {Outcome} from '@dogwooddeck/model/outcome';
import {dispatch, type HandlerTable, type Transition} from '@dogwooddeck/model/transition';
import {holdersOf} from './claim-holders.js';
import {
	type ClaimAnswer, type ClaimEnded, ClaimPurpose, type ClaimRequest, type ClaimRoster, type ClaimStatus, type ClaimToken, ClaimVerdict, type Operation, operationText, sameToken, type StoredAnswer,
} from './claim.js';
import {type TextHash} from './text-hash.js';

/** One claim as a holder keeps it. */
export type ClaimRecord = {
	readonly operation: Operation;
	readonly fingerprint: string;
	readonly token: ClaimToken;
	readonly ended?: {readonly outcome: Outcome; readonly answer?: StoredAnswer};
	/** When a running operation is over at the latest. */
	readonly runsUntil: MonotonicTime;
	readonly expiresAt: MonotonicTime;
	/** The holders that this one copies the record to; they are told of its end. */
	readonly copies: readonly ClaimCopy[];
};

/** A copy of a record that another holder gets. */
export type ClaimCopy = {
	readonly holder: InstanceIdentity;
	/** When it is sent again. Infinite once the holder has it. */
	readonly sendAgainAt: MonotonicTime;
	/** The pause before that; it doubles with each. */
	readonly pause: Milliseconds;
};

/** How much a holder keeps. */
export type HolderBounds = {
	readonly records: number;
	/** The bytes of stored answers, in base64; answers beyond are not kept, their records are. */
	readonly answerBytes: number;
};

/** All that a holder knows. */
export type HolderState = {
	readonly self: InstanceIdentity;
	readonly bounds: HolderBounds;
	/** The newest roster that any claimant named; older ones are refused. */
	readonly rosterIndex: LogIndex;
	readonly answerBytes: number;
	/** By the text of the operation. Never copied: only this module changes it, in place, since it may hold every claim of hours. */
	readonly records: Map<string, ClaimRecord>;
	/** The texts of the operations with copies that are still to arrive. Changed in place, as `records` is. */
	readonly copying: Set<string>;
	/** The newest roster that this instance has applied; copies go to its seats alone. */
	readonly roster: ClaimRoster;
	readonly hash: TextHash;
};

/** What a holder meets. `now` is monotonic. */
export type HolderEvent =
	| {readonly kind: 'message'; readonly now: MonotonicTime; readonly message: ClaimRequest | ClaimEnded}
	/** This instance has applied a roster: records are copied to the holders that it brings. */
	| {readonly kind: 'roster'; readonly now: MonotonicTime; readonly roster: ClaimRoster}
	/** The holder of a copy answered. */
	| {readonly kind: 'copied'; readonly request: ClaimRequest; readonly verdict: ClaimVerdict}
	/** Time to drop what has expired, and to send copies again. */
	| {readonly kind: 'swept'; readonly now: MonotonicTime};

/** What the edge does. */
export type HolderEffect =
	| {readonly kind: 'answer'; readonly answer: ClaimAnswer}
	/** Send a message to another holder. */
	| {readonly kind: 'send'; readonly message: ClaimRequest | ClaimEnded};

type Step = Transition<HolderState, HolderEffect>;

const firstCopyPause: Milliseconds = 1000;

/** A holder that knows nothing. */
export function createHolder(self: InstanceIdentity, bounds: HolderBounds, hash: TextHash, roster: ClaimRoster): HolderState {
	return {
		self, bounds, hash, roster, rosterIndex: roster.index, answerBytes: 0, records: new Map(), copying: new Set(),
	};
}

/** What a record says at a time. A run that is over without an end has an unknown outcome. */
export function statusOfRecord(record: ClaimRecord, now: MonotonicTime): ClaimStatus {
	if (record.ended !== undefined) {
		return {kind: 'ended', ...record.ended};
	}

	const remainingMilliseconds: Milliseconds = record.runsUntil - now;
	return remainingMilliseconds > 0 ? {kind: 'running', remainingMilliseconds} : {kind: 'ended', outcome: Outcome.unknown};
}

function answered(state: HolderState, request: ClaimRequest, verdict: ClaimVerdict, status?: ClaimStatus): Step {
	const answer: ClaimAnswer = {
		kind: 'claim-answer', token: request.token, holder: state.self, verdict, rosterIndex: state.rosterIndex, ...(status === undefined ? {} : {status}),
	};
	return {state, effects: [{kind: 'answer', answer}]};
}

/** Answers in the name of the life that was asked, which the claimant waits for. */
function notHeldHere(state: HolderState, request: ClaimRequest): Step {
	const answer: ClaimAnswer = {
		kind: 'claim-answer', token: request.token, holder: request.holder, verdict: ClaimVerdict.notHolder, rosterIndex: state.rosterIndex,
	};
	return {state, effects: [{kind: 'answer', answer}]};
}

function recordOf(request: ClaimRequest, now: MonotonicTime): ClaimRecord {
	const {status} = request;
	const runsUntil = status.kind === 'running' ? now + status.remainingMilliseconds : now;
	const {kind: _kind, ...ended} = status.kind === 'ended' ? status : {kind: undefined};
	return {
		operation: request.operation,
		fingerprint: request.fingerprint,
		token: request.token,
		...(status.kind === 'ended' ? {ended: ended as NonNullable<ClaimRecord['ended']>} : {}),
		runsUntil,
		expiresAt: now + request.lifetimeMilliseconds,
		copies: [],
	};
}

function sizeOf(record: ClaimRecord | undefined): number {
	return record?.ended?.answer?.body.length ?? 0;
}

function withoutAnswer(record: ClaimRecord): ClaimRecord {
	return record.ended === undefined ? record : {...record, ended: {outcome: record.ended.outcome}};
}

function put(state: HolderState, text: string, record: ClaimRecord): HolderState {
	const before = sizeOf(state.records.get(text));
	const fits = state.answerBytes - before + sizeOf(record) <= state.bounds.answerBytes;
	const kept = fits ? record : withoutAnswer(record);
	state.records.set(text, kept);
	return {...state, answerBytes: state.answerBytes - before + sizeOf(kept)};
}

function remove(state: HolderState, text: string): HolderState {
	const size = sizeOf(state.records.get(text));
	state.records.delete(text);
	state.copying.delete(text);
	return {...state, answerBytes: state.answerBytes - size};
}

function liveRecord(state: HolderState, text: string, now: MonotonicTime): ClaimRecord | undefined {
	const record = state.records.get(text);
	return record !== undefined && record.expiresAt > now ? record : undefined;
}

function verdictOverRecord(state: HolderState, request: ClaimRequest, record: ClaimRecord, now: MonotonicTime): Step {
	if (record.fingerprint !== request.fingerprint) {
		return answered(state, request, ClaimVerdict.mismatch);
	}

	if (!sameToken(record.token, request.token)) {
		return answered(state, request, ClaimVerdict.taken, statusOfRecord(record, now));
	}

	const isNews = record.ended === undefined && request.status.kind === 'ended';
	return answered(isNews ? put(state, operationText(request.operation), recordOf(request, now)) : state, request, ClaimVerdict.held);
}

function recorded(state: HolderState, request: ClaimRequest, now: MonotonicTime): Step {
	if (request.purpose === ClaimPurpose.check) {
		return answered(state, request, ClaimVerdict.free);
	}

	if (state.records.size >= state.bounds.records) {
		return answered(state, request, ClaimVerdict.full);
	}

	const text = operationText(request.operation);
	const kept = answered(put(state, text, recordOf(request, now)), request, ClaimVerdict.held);
	return isLateCopy(state, request) ? {state: kept.state, effects: [...kept.effects, ...copiesBegun(kept.state, text, now)]} : kept;
}

/** Whether a copy was sent by an older roster than this instance has applied, so that it must be copied on. */
function isLateCopy(state: HolderState, request: ClaimRequest): boolean {
	return request.purpose === ClaimPurpose.copy && request.rosterIndex < state.roster.index;
}

function whenRequested(request: ClaimRequest, before: HolderState, now: MonotonicTime): Step {
	if (!sameInstance(request.holder, before.self)) {
		return notHeldHere(before, request);
	}

	const state = request.rosterIndex > before.rosterIndex ? {...before, rosterIndex: request.rosterIndex} : before;
	const record = liveRecord(state, operationText(request.operation), now);
	if (record !== undefined) {
		return verdictOverRecord(state, request, record, now);
	}

	const isStale = request.rosterIndex < state.rosterIndex && request.purpose !== ClaimPurpose.copy;
	return isStale ? answered(state, request, ClaimVerdict.staleRoster) : recorded(state, request, now);
}

function whenEnded(message: ClaimEnded, state: HolderState): Step {
	const text = operationText(message.operation);
	const record = state.records.get(text);
	if (record === undefined || record.ended !== undefined || !sameToken(record.token, message.token)) {
		return {state, effects: []};
	}

	const effects = record.copies.map(copy => ({kind: 'send', message: {...message, holder: copy.holder}} as const));
	if (message.outcome === Outcome.notRun) {
		return {state: remove(state, text), effects};
	}

	const ended = message.answer === undefined ? {outcome: message.outcome} : {outcome: message.outcome, answer: message.answer};
	return {state: put(state, text, {...record, ended}), effects};
}

const messageHandlers: HandlerTable<ClaimRequest | ClaimEnded, [HolderState, MonotonicTime], Step> = {
	'claim-request': whenRequested,
	'claim-ended': whenEnded,
};

/** Records stand in the order of their claims, so that what has expired comes first; a copy may stay a little longer. */
function withoutExpired(before: HolderState, now: MonotonicTime): HolderState {
	let state = before;
	for (const [text, record] of before.records) {
		if (record.expiresAt > now) {
			return state;
		}

		state = remove(state, text);
	}

	return state;
}

function copyOf(state: HolderState, record: ClaimRecord, holder: InstanceIdentity, now: MonotonicTime): ClaimRequest {
	return {
		kind: 'claim-request',
		purpose: ClaimPurpose.copy,
		operation: record.operation,
		fingerprint: record.fingerprint,
		token: record.token,
		holder,
		rosterIndex: state.roster.index,
		status: statusOfRecord(record, now),
		lifetimeMilliseconds: record.expiresAt - now,
	};
}

function isSeated(state: HolderState, holder: InstanceIdentity): boolean {
	return includesInstance(state.roster.seats, holder);
}

function hasArrived(copy: ClaimCopy): boolean {
	return copy.sendAgainAt === Number.POSITIVE_INFINITY;
}

function newHolders(state: HolderState, record: ClaimRecord): InstanceIdentity[] {
	return holdersOf(state.roster, operationText(record.operation), state.hash)
		.map(seat => ({name: seat.name, incarnation: seat.incarnation}))
		.filter(seat => !sameInstance(seat, state.self) && !record.copies.some(copy => sameInstance(copy.holder, seat)));
}

/** Keeps the copies of a record; it is done with when all have arrived. */
function keepCopies(state: HolderState, text: string, record: ClaimRecord, copies: readonly ClaimCopy[]): void {
	state.records.set(text, {...record, copies});
	if (copies.every(copy => hasArrived(copy))) {
		state.copying.delete(text);
	} else {
		state.copying.add(text);
	}
}

/** Sends the copies of a record that are due; those to instances without a seat are over. */
function copiesDue(state: HolderState, text: string, now: MonotonicTime): HolderEffect[] {
	const record = state.records.get(text)!;
	const wanted = record.copies.filter(copy => hasArrived(copy) || isSeated(state, copy.holder));
	const due = wanted.filter(copy => copy.sendAgainAt <= now);
	keepCopies(state, text, record, wanted.map(copy => copy.sendAgainAt <= now ? {...copy, sendAgainAt: now + copy.pause, pause: copy.pause * 2} : copy));
	return due.map(copy => ({kind: 'send', message: copyOf(state, record, copy.holder, now)}));
}

/** Copies a record to the holders by the newest roster that don't have it from here. */
function copiesBegun(state: HolderState, text: string, now: MonotonicTime): HolderEffect[] {
	const record = state.records.get(text)!;
	const copies = newHolders(state, record).map(holder => ({holder, sendAgainAt: now, pause: firstCopyPause}));
	if (copies.length === 0 && !state.copying.has(text)) {
		return [];
	}

	state.records.set(text, {...record, copies: [...record.copies, ...copies]});
	return copiesDue(state, text, now);
}

/** Copies every live record to the holders by the new roster, so that the loss of the last old holder loses nothing. */
function whenRoster(event: Extract<HolderEvent, {kind: 'roster'}>, before: HolderState): Step {
	const {now, roster} = event;
	const state = {...before, rosterIndex: Math.max(before.rosterIndex, roster.index), roster};
	const live = [...state.records].filter(([, {expiresAt}]) => expiresAt > now);
	return {state, effects: live.flatMap(([text]) => copiesBegun(state, text, now))};
}

/** A copy has arrived once its holder says `held`: what another claim recorded there may be removed again when that ends unsent. */
function whenCopied({request, verdict}: Extract<HolderEvent, {kind: 'copied'}>, state: HolderState): Step {
	const text = operationText(request.operation);
	const record = state.records.get(text);
	if (record !== undefined && sameToken(record.token, request.token) && verdict === ClaimVerdict.held) {
		keepCopies(state, text, record, record.copies.map(copy => sameInstance(copy.holder, request.holder) ? {...copy, sendAgainAt: Number.POSITIVE_INFINITY} : copy));
	}

	return {state, effects: []};
}

/** The roster whose holders have answered copies of all records that are kept here; 0 while some are missing. */
export function copiedThrough(state: HolderState): LogIndex {
	return state.copying.size === 0 ? state.roster.index : 0;
}

function whenSwept(before: HolderState, now: MonotonicTime): Step {
	const state = withoutExpired(before, now);
	return {state, effects: [...state.copying].flatMap(text => copiesDue(state, text, now))};
}

const handlers: HandlerTable<HolderEvent, [HolderState], Step> = {
	message: (event, state) => dispatch(messageHandlers, event.message, state, event.now),
	roster: whenRoster,
	copied: whenCopied,
	swept: (event, state) => whenSwept(state, event.now),
};

/** The next state of a holder and its answers. */
export function stepHolder(state: HolderState, event: HolderEvent): Step {
	return dispatch(handlers, event, state);
}
