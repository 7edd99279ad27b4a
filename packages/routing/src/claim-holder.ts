/**
 * State machine of a holder: stores claim records, answers requests and copies records
 * to the holders of a new roster. A record is never removed before it expires, except
 * after `not-run`; a full holder refuses new claims.
 */
import {
	includesInstance, type InstanceIdentity, type LogIndex, type Milliseconds, type MonotonicTime, sameInstance,
} from '@dogwooddeck/model/identifiers';
import {Outcome} from '@dogwooddeck/model/outcome';
import {dispatch, type HandlerTable, type Transition} from '@dogwooddeck/model/transition';
import {holdersOf} from './claim-holders.js';
import {
	type ClaimAnswer, type ClaimEnded, ClaimPurpose, type ClaimRequest, type ClaimRoster, type ClaimStatus, type ClaimToken, ClaimVerdict, type Operation, operationId, sameToken, type StoredAnswer,
} from './claim.js';
import {type TextHash} from './text-hash.js';

/** A claim as stored by a holder. */
export type ClaimRecord = {
	readonly operation: Operation;
	readonly fingerprint: string;
	readonly token: ClaimToken;
	readonly ended?: {readonly outcome: Outcome; readonly answer?: StoredAnswer};
	/** The latest time at which the operation can still run. */
	readonly runsUntil: MonotonicTime;
	readonly expiresAt: MonotonicTime;
	/** The holders to which this one copies the record; the end of the operation is forwarded to them. */
	readonly copies: readonly ClaimCopy[];
};

/** A copy of a record to another holder. */
export type ClaimCopy = {
	readonly holder: InstanceIdentity;
	/** When it is sent next. Infinite once the holder has acknowledged it. */
	readonly resendAt: MonotonicTime;
	/** The backoff after the next send; doubles with each send. */
	readonly nextBackoff: Milliseconds;
};

/** The storage limits of a holder. */
export type HolderBounds = {
	readonly records: number;
	/** The bytes of stored responses, in base64. Beyond that a record is stored without its response. */
	readonly answerBytes: number;
};

/** The state of a holder. */
export type HolderState = {
	readonly self: InstanceIdentity;
	readonly bounds: HolderBounds;
	/** The newest roster that this instance has applied or a request has named; older ones are refused. */
	readonly rosterIndex: LogIndex;
	readonly answerBytes: number;
	/** Records by `operationId`. Mutated in place, by this module alone, instead of copied, since it may hold the claims of hours. */
	readonly records: Map<string, ClaimRecord>;
	/** The `operationId` of the records with unacknowledged copies. Mutated in place, as `records` is. */
	readonly pendingCopies: Set<string>;
	/** The newest roster that this instance has applied; copies are sent to its seats alone. */
	readonly roster: ClaimRoster;
	readonly hash: TextHash;
};

/** An event of a holder. `now` is monotonic. */
export type HolderEvent =
	| {readonly kind: 'message'; readonly now: MonotonicTime; readonly message: ClaimRequest | ClaimEnded}
	/** This instance has applied a roster: records are copied to their new holders. */
	| {readonly kind: 'roster'; readonly now: MonotonicTime; readonly roster: ClaimRoster}
	/** The holder of a copy answered. */
	| {readonly kind: 'copied'; readonly request: ClaimRequest; readonly verdict: ClaimVerdict}
	/** Raised periodically, to remove expired records and to resend copies. */
	| {readonly kind: 'swept'; readonly now: MonotonicTime};

/** An effect that the caller of `stepHolder` carries out. */
export type HolderEffect =
	| {readonly kind: 'answer'; readonly answer: ClaimAnswer}
	/** Send a message to another holder. */
	| {readonly kind: 'send'; readonly message: ClaimRequest | ClaimEnded};

type Step = Transition<HolderState, HolderEffect>;

const initialCopyBackoff: Milliseconds = 1000;

/** Creates a holder without records. */
export function createHolderState(self: InstanceIdentity, bounds: HolderBounds, hash: TextHash, roster: ClaimRoster): HolderState {
	return {
		self, bounds, hash, roster, rosterIndex: roster.index, answerBytes: 0, records: new Map(), pendingCopies: new Set(),
	};
}

/** Returns the status of a record at a time. A run past its latest time without a reported end has an unknown outcome. */
export function statusOfRecord(record: ClaimRecord, now: MonotonicTime): ClaimStatus {
	if (record.ended !== undefined) {
		return {kind: 'ended', ...record.ended};
	}

	const remainingMilliseconds: Milliseconds = record.runsUntil - now;
	return remainingMilliseconds > 0 ? {kind: 'running', remainingMilliseconds} : {kind: 'ended', outcome: Outcome.unknown};
}

function answerRequest(state: HolderState, request: ClaimRequest, verdict: ClaimVerdict, status?: ClaimStatus): Step {
	const answer: ClaimAnswer = {
		kind: 'claim-answer', token: request.token, holder: state.self, verdict, rosterIndex: state.rosterIndex, ...(status === undefined ? {} : {status}),
	};
	return {state, effects: [{kind: 'answer', answer}]};
}

/** Answers with the incarnation that the request was addressed to, since the claimant waits for that one. */
function answerNotHolder(state: HolderState, request: ClaimRequest): Step {
	const answer: ClaimAnswer = {
		kind: 'claim-answer', token: request.token, holder: request.holder, verdict: ClaimVerdict.notHolder, rosterIndex: state.rosterIndex,
	};
	return {state, effects: [{kind: 'answer', answer}]};
}

function createRecord(request: ClaimRequest, now: MonotonicTime): ClaimRecord {
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

function answerSize(record: ClaimRecord | undefined): number {
	return record?.ended?.answer?.body.length ?? 0;
}

function withoutAnswer(record: ClaimRecord): ClaimRecord {
	return record.ended === undefined ? record : {...record, ended: {outcome: record.ended.outcome}};
}

function storeRecord(state: HolderState, id: string, record: ClaimRecord): HolderState {
	const previousSize = answerSize(state.records.get(id));
	const fits = state.answerBytes - previousSize + answerSize(record) <= state.bounds.answerBytes;
	const stored = fits ? record : withoutAnswer(record);
	state.records.set(id, stored);
	return {...state, answerBytes: state.answerBytes - previousSize + answerSize(stored)};
}

function removeRecord(state: HolderState, id: string): HolderState {
	const size = answerSize(state.records.get(id));
	state.records.delete(id);
	state.pendingCopies.delete(id);
	return {...state, answerBytes: state.answerBytes - size};
}

function liveRecord(state: HolderState, id: string, now: MonotonicTime): ClaimRecord | undefined {
	const record = state.records.get(id);
	return record !== undefined && record.expiresAt > now ? record : undefined;
}

function answerFromRecord(state: HolderState, request: ClaimRequest, record: ClaimRecord, now: MonotonicTime): Step {
	if (record.fingerprint !== request.fingerprint) {
		return answerRequest(state, request, ClaimVerdict.mismatch);
	}

	if (!sameToken(record.token, request.token)) {
		return answerRequest(state, request, ClaimVerdict.taken, statusOfRecord(record, now));
	}

	const addsEnd = record.ended === undefined && request.status.kind === 'ended';
	return answerRequest(addsEnd ? storeRecord(state, operationId(request.operation), createRecord(request, now)) : state, request, ClaimVerdict.held);
}

function recordClaim(state: HolderState, request: ClaimRequest, now: MonotonicTime): Step {
	if (request.purpose === ClaimPurpose.check) {
		return answerRequest(state, request, ClaimVerdict.free);
	}

	if (state.records.size >= state.bounds.records) {
		return answerRequest(state, request, ClaimVerdict.full);
	}

	const id = operationId(request.operation);
	const step = answerRequest(storeRecord(state, id, createRecord(request, now)), request, ClaimVerdict.held);
	return isCopyByOlderRoster(state, request) ? {state: step.state, effects: [...step.effects, ...startCopies(step.state, id, now)]} : step;
}

/** Whether a copy was sent by an older roster than this instance has applied, so that it must be copied to the newer holders. */
function isCopyByOlderRoster(state: HolderState, request: ClaimRequest): boolean {
	return request.purpose === ClaimPurpose.copy && request.rosterIndex < state.roster.index;
}

function whenRequested(request: ClaimRequest, before: HolderState, now: MonotonicTime): Step {
	if (!sameInstance(request.holder, before.self)) {
		return answerNotHolder(before, request);
	}

	const state = request.rosterIndex > before.rosterIndex ? {...before, rosterIndex: request.rosterIndex} : before;
	const record = liveRecord(state, operationId(request.operation), now);
	if (record !== undefined) {
		return answerFromRecord(state, request, record, now);
	}

	const isStale = request.rosterIndex < state.rosterIndex && request.purpose !== ClaimPurpose.copy;
	return isStale ? answerRequest(state, request, ClaimVerdict.staleRoster) : recordClaim(state, request, now);
}

function whenEnded(message: ClaimEnded, state: HolderState): Step {
	const id = operationId(message.operation);
	const record = state.records.get(id);
	if (record === undefined || record.ended !== undefined || !sameToken(record.token, message.token)) {
		return {state, effects: []};
	}

	const effects = record.copies.map(copy => ({kind: 'send', message: {...message, holder: copy.holder}} as const));
	if (message.outcome === Outcome.notRun) {
		return {state: removeRecord(state, id), effects};
	}

	const ended = message.answer === undefined ? {outcome: message.outcome} : {outcome: message.outcome, answer: message.answer};
	return {state: storeRecord(state, id, {...record, ended}), effects};
}

const messageHandlers: HandlerTable<ClaimRequest | ClaimEnded, [HolderState, MonotonicTime], Step> = {
	'claim-request': whenRequested,
	'claim-ended': whenEnded,
};

/** Removes expired records. Records are stored in the order of their claims, so the expired ones come first; a copy may be kept slightly longer. */
function withoutExpired(before: HolderState, now: MonotonicTime): HolderState {
	let state = before;
	for (const [id, record] of before.records) {
		if (record.expiresAt > now) {
			return state;
		}

		state = removeRecord(state, id);
	}

	return state;
}

function createCopyRequest(state: HolderState, record: ClaimRecord, holder: InstanceIdentity, now: MonotonicTime): ClaimRequest {
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

function isAcknowledged(copy: ClaimCopy): boolean {
	return copy.resendAt === Number.POSITIVE_INFINITY;
}

function holdersWithoutCopy(state: HolderState, record: ClaimRecord): InstanceIdentity[] {
	return holdersOf(state.roster, operationId(record.operation), state.hash)
		.map(seat => ({name: seat.name, incarnation: seat.incarnation}))
		.filter(seat => !sameInstance(seat, state.self) && !record.copies.some(copy => sameInstance(copy.holder, seat)));
}

/** Stores the copies of a record, and whether one of them is still unacknowledged. */
function storeCopies(state: HolderState, id: string, record: ClaimRecord, copies: readonly ClaimCopy[]): void {
	state.records.set(id, {...record, copies});
	if (copies.every(copy => isAcknowledged(copy))) {
		state.pendingCopies.delete(id);
	} else {
		state.pendingCopies.add(id);
	}
}

/** Sends the due copies of a record, and drops unacknowledged ones to instances without a seat. */
function sendDueCopies(state: HolderState, id: string, now: MonotonicTime): HolderEffect[] {
	const record = state.records.get(id)!;
	const kept = record.copies.filter(copy => isAcknowledged(copy) || isSeated(state, copy.holder));
	const due = kept.filter(copy => copy.resendAt <= now);
	storeCopies(state, id, record, kept.map(copy => copy.resendAt <= now ? {...copy, resendAt: now + copy.nextBackoff, nextBackoff: copy.nextBackoff * 2} : copy));
	return due.map(copy => ({kind: 'send', message: createCopyRequest(state, record, copy.holder, now)}));
}

/** Copies a record to the holders by the newest roster to which it was not yet copied from here. */
function startCopies(state: HolderState, id: string, now: MonotonicTime): HolderEffect[] {
	const record = state.records.get(id)!;
	const copies = holdersWithoutCopy(state, record).map(holder => ({holder, resendAt: now, nextBackoff: initialCopyBackoff}));
	if (copies.length === 0 && !state.pendingCopies.has(id)) {
		return [];
	}

	state.records.set(id, {...record, copies: [...record.copies, ...copies]});
	return sendDueCopies(state, id, now);
}

/** Copies every unexpired record to the holders by the new roster, so that no record is lost with its last old holder. */
function whenRoster(event: Extract<HolderEvent, {kind: 'roster'}>, before: HolderState): Step {
	const {now, roster} = event;
	const state = {...before, rosterIndex: Math.max(before.rosterIndex, roster.index), roster};
	const unexpired = [...state.records].filter(([, {expiresAt}]) => expiresAt > now);
	return {state, effects: unexpired.flatMap(([id]) => startCopies(state, id, now))};
}

/** Only `held` acknowledges a copy: a record of another claim there may be removed again when that claim ends with `not-run`. */
function whenCopied({request, verdict}: Extract<HolderEvent, {kind: 'copied'}>, state: HolderState): Step {
	const id = operationId(request.operation);
	const record = state.records.get(id);
	if (record !== undefined && sameToken(record.token, request.token) && verdict === ClaimVerdict.held) {
		storeCopies(state, id, record, record.copies.map(copy => sameInstance(copy.holder, request.holder) ? {...copy, resendAt: Number.POSITIVE_INFINITY} : copy));
	}

	return {state, effects: []};
}

/** Returns the index of the roster whose holders have acknowledged copies of all records stored here; 0 while an acknowledgement is missing. */
export function copiedThrough(state: HolderState): LogIndex {
	return state.pendingCopies.size === 0 ? state.roster.index : 0;
}

function whenSwept(before: HolderState, now: MonotonicTime): Step {
	const state = withoutExpired(before, now);
	return {state, effects: [...state.pendingCopies].flatMap(id => sendDueCopies(state, id, now))};
}

const handlers: HandlerTable<HolderEvent, [HolderState], Step> = {
	message: (event, state) => dispatch(messageHandlers, event.message, state, event.now),
	roster: whenRoster,
	copied: whenCopied,
	swept: (event, state) => whenSwept(state, event.now),
};

/** Returns the next state of a holder and the effects to carry out. */
export function stepHolder(state: HolderState, event: HolderEvent): Step {
	return dispatch(handlers, event, state);
}
