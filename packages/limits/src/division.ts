/**
 * Divides one amount over holders in leased shares: control over the
 * availability zones, a zone's steward over its instances.
 *
 * What a holder may have used counts against the amount for as long as a window
 * remembers it. So a share that becomes smaller is handed on only when a window
 * has passed after the old one's end, or as far as the holder says that it didn't
 * use it: what holders may use within any window never sums to more than the amount.
 */
import {type Milliseconds, type MonotonicTime} from '@dogwooddeck/model/identifiers';
import {dispatch, type HandlerTable, type Transition} from '@dogwooddeck/model/transition';

/** What is fixed for one division. Times include the drift of the holders' clocks. */
export type DivisionOptions = {
	/** How long a share holds. */
	readonly shareMilliseconds: Milliseconds;
	/** How long a window remembers what was used. */
	readonly windowMilliseconds: Milliseconds;
	/** Added to each share's end: the drift of monotonic clocks, and for fixed windows the skew of wall clocks. */
	readonly marginMilliseconds: Milliseconds;
	/** The part of an equal share that every holder gets, wanted or not. */
	readonly floorRatio: number;
	/** The part of an equal share that is kept for each expected holder that didn't ask yet. */
	readonly reserveRatio: number;
	/** What a holder gets, as a multiple of what it wanted. */
	readonly headroomRatio: number;
};

/** A share that may be in force, or remembered by a window, until a time. */
type Commitment = {readonly amount: number; readonly until: MonotonicTime};

type Holder = {
	readonly name: string;
	readonly wanted: number;
	readonly heardAt: MonotonicTime;
	readonly sequence: number;
	/** From the greatest amount to the one that lasts longest. */
	readonly commitments: readonly Commitment[];
};

/** The state of a division. */
export type DivisionState = {
	readonly options: DivisionOptions;
	readonly amount: number;
	/** The end of the right to divide: the divider's own share. Infinity for control. */
	readonly validUntil: MonotonicTime;
	/** Before this, shares of an earlier divider may be in force: holders keep at most what they hold. */
	readonly freeAt: MonotonicTime;
	readonly holders: readonly Holder[];
};

/** What happens to a division. */
export type DivisionEvent =
	| {
		readonly kind: 'shareRequested';
		readonly now: MonotonicTime;
		/** One life of a holder: one that forgot what it used needs another name. */
		readonly holder: string;
		/** Grows with each request of the holder, which takes only the answer to its newest one. */
		readonly sequence: number;
		/** In counted things an interval. */
		readonly wanted: number;
		/** The share that is in force at the holder; 0 where none is. */
		readonly held: number;
		/** The greater of `held` and what was used within the last window, as a share; infinite where the holder can't tell. */
		readonly usable: number;
		/** How many holders may ask, those that did among them. */
		readonly expected: number;
	}
	/** The amount, or the divider's own share, is another. */
	| {readonly kind: 'amountChanged'; readonly now: MonotonicTime; readonly amount: number; readonly validUntil: MonotonicTime};

/** The answer to a request, counted by the holder from when it sent the request. */
export type DivisionEffect = {
	readonly kind: 'shareGranted';
	readonly holder: string;
	readonly amount: number;
	readonly validMilliseconds: Milliseconds;
};

function memoryMilliseconds({shareMilliseconds, windowMilliseconds, marginMilliseconds}: DivisionOptions): Milliseconds {
	return shareMilliseconds + windowMilliseconds + marginMilliseconds;
}

/** A division that knows of no shares, as after a change of the leader or steward. */
export function createDivision(options: DivisionOptions, amount: number, validUntil: MonotonicTime, now: MonotonicTime): DivisionState {
	return {
		options, amount, validUntil, freeAt: now + memoryMilliseconds(options), holders: [],
	};
}

/** A division of an amount that was never divided before: all of it is free. */
export function createFirstDivision(options: DivisionOptions, amount: number, validUntil: MonotonicTime, now: MonotonicTime): DivisionState {
	return {...createDivision(options, amount, validUntil, now), freeAt: now};
}

function committedTo(holder: Holder, now: MonotonicTime): number {
	return holder.commitments.find(({until}) => until > now)?.amount ?? 0;
}

/** What no other holder may have used within a window. */
function freeFor(state: DivisionState, name: string, now: MonotonicTime): number {
	const others = state.holders.filter(holder => holder.name !== name);
	return Math.max(0, state.amount - others.reduce((sum, holder) => sum + committedTo(holder, now), 0));
}

function wantedBy({options, amount}: DivisionState, holder: Holder, count: number): number {
	return Math.max(options.floorRatio * amount / count, holder.wanted);
}

/** The part of each holder, in the order given, such that none gets more than it wants and all others get the same. */
function maxMinParts(amount: number, wanted: readonly number[]): readonly number[] {
	const order = [...wanted.keys()].sort((one, other) => wanted[one]! - wanted[other]!);
	const parts = [...wanted];
	let left = amount;
	for (const [position, holder] of order.entries()) {
		parts[holder] = Math.min(wanted[holder]!, left / (order.length - position));
		left -= parts[holder];
	}

	return parts;
}

/**
 * The max-min fair part of the amount for a holder, and of what nobody wants a
 * part in proportion to it. Holders that are expected and didn't ask yet have a
 * small part as well, so that those who come first don't take all.
 */
function fairShare(state: DivisionState, name: string, expected: number, now: MonotonicTime): number {
	const {amount, options} = state;
	const present = state.holders.filter(({heardAt}) => heardAt + options.shareMilliseconds > now);
	const count = Math.max(present.length, expected);
	const wanted = present.map(holder => wantedBy(state, holder, count));
	const reserved = Array.from({length: count - present.length}, () => options.reserveRatio * amount / count);
	const parts = maxMinParts(amount, [...wanted, ...reserved]);
	const sum = parts.reduce((one, other) => one + other, 0);
	const part = parts[present.findIndex(holder => holder.name === name)] ?? 0;
	return sum === 0 ? 0 : part * Math.min(options.headroomRatio, amount / sum);
}

/** A greater share that the holder no longer has counts only as far as it was used: any later window holds `now`. */
function forgetUnused(holder: Holder, usable: number): Holder {
	return {...holder, commitments: holder.commitments.map(({amount, until}) => ({amount: Math.min(amount, usable), until}))};
}

/** What a divider reports as `usable` to the one above it. */
export function usableUnder(state: DivisionState, now: MonotonicTime): number {
	const handedOut = state.holders.reduce((sum, holder) => sum + committedTo(holder, now), 0);
	return now < state.freeAt ? Infinity : Math.max(state.amount, handedOut);
}

function addCommitment(holder: Holder, added: Commitment, now: MonotonicTime): Holder {
	const live = holder.commitments.filter(({until}) => until > now);
	const greater = live.filter(({amount}) => amount > added.amount);
	const longer = live.filter(({amount, until}) => amount <= added.amount && until > added.until);
	return {...holder, commitments: [...greater, added, ...longer]};
}

function replaceHolder(state: DivisionState, changed: Holder): DivisionState {
	return {...state, holders: [...state.holders.filter(({name}) => name !== changed.name), changed]};
}

function forgetLost(state: DivisionState, now: MonotonicTime): DivisionState {
	const {shareMilliseconds} = state.options;
	return {...state, holders: state.holders.filter(holder => holder.heardAt + shareMilliseconds > now || committedTo(holder, now) > 0)};
}

type ShareRequest = Extract<DivisionEvent, {readonly kind: 'shareRequested'}>;

/** The holder with what its request says. */
function noteRequest(state: DivisionState, request: ShareRequest): Holder {
	const {holder: name, now, wanted, sequence, usable} = request;
	const commitments = state.holders.find(holder => holder.name === name)?.commitments ?? [];
	const holder = {
		name, wanted, sequence, heardAt: now, commitments,
	};
	return forgetUnused(holder, usable);
}

function isOutdated(state: DivisionState, request: ShareRequest): boolean {
	return state.holders.some(({name, sequence}) => name === request.holder && sequence >= request.sequence);
}

function grant(state: DivisionState, request: ShareRequest): Transition<DivisionState, DivisionEffect> {
	const {now, held} = request;
	if (isOutdated(state, request)) {
		return {state, effects: []};
	}

	const holder = noteRequest(state, request);
	const noted = replaceHolder(forgetLost(state, now), holder);
	const asked = now < state.freeAt ? held : Math.ceil(fairShare(noted, holder.name, request.expected, now));
	const amount = Math.floor(Math.min(asked, freeFor(noted, holder.name, now)));
	const {shareMilliseconds, windowMilliseconds, marginMilliseconds} = state.options;
	const validMilliseconds = Math.max(0, Math.min(shareMilliseconds, state.validUntil - now));
	const until = now + validMilliseconds + windowMilliseconds + marginMilliseconds;
	return {
		state: replaceHolder(noted, addCommitment(holder, {amount, until}, now)),
		effects: [{
			kind: 'shareGranted', holder: holder.name, amount, validMilliseconds,
		}],
	};
}

const handlers: HandlerTable<DivisionEvent, [DivisionState], Transition<DivisionState, DivisionEffect>> = {
	shareRequested: (request, state) => grant(state, request),
	amountChanged: ({amount, validUntil}, state) => ({state: {...state, amount, validUntil}, effects: []}),
};

/** Takes one event in. */
export function stepDivision(state: DivisionState, event: DivisionEvent): Transition<DivisionState, DivisionEffect> {
	return dispatch(handlers, event, state);
}
