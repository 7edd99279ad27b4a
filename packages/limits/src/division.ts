/**
 * Divides one amount among holders as leased shares: control among the
 * availability zones, a zone's steward (its elected lease distributor) among
 * the instances of the zone.
 *
 * What a holder may have used counts against the amount for as long as it lies
 * within a window. When a share shrinks, the difference is therefore granted to
 * others only once a window has passed after the end of the old share, or as far
 * as the holder reports that it didn't use it. The use that is possible within
 * any window never sums to more than the amount.
 */
import {type Milliseconds, type MonotonicTime} from '@dogwooddeck/model/identifiers';
import {dispatch, type HandlerTable, type Transition} from '@dogwooddeck/model/transition';

/** The parameters of one division. Times include the drift of the holders' clocks. */
export type DivisionOptions = {
	/** How long a share is valid. */
	readonly shareMilliseconds: Milliseconds;
	/** How long past use counts in a window. */
	readonly windowMilliseconds: Milliseconds;
	/** Added to the end of each share to cover the drift of monotonic clocks and, for fixed windows, the skew of wall clocks. */
	readonly marginMilliseconds: Milliseconds;
	/** The fraction of an equal share that every holder gets, whether it wants it or not. */
	readonly floorRatio: number;
	/** The fraction of an equal share that is reserved for each expected holder that has not requested a share yet. */
	readonly reserveRatio: number;
	/** The most that a holder gets, as a multiple of what it wants. */
	readonly headroomRatio: number;
};

/** A share that may be in force, or whose use may count in a window, until a time. */
type Commitment = {readonly amount: number; readonly until: MonotonicTime};

type Holder = {
	readonly name: string;
	readonly wanted: number;
	readonly lastContactAt: MonotonicTime;
	readonly sequence: number;
	/** Ordered from the greatest amount to the latest end. */
	readonly commitments: readonly Commitment[];
};

/** The state of a division. */
export type DivisionState = {
	readonly options: DivisionOptions;
	readonly amount: number;
	/** The end of the divider's own share, and so of its right to divide. Infinity for control. */
	readonly validUntil: MonotonicTime;
	/** Until this time, shares of an earlier divider may be in force, and holders keep at most what they hold. */
	readonly earlierSharesEndAt: MonotonicTime;
	readonly holders: readonly Holder[];
};

/** The events that a division handles. */
export type DivisionEvent =
	| {
		readonly kind: 'shareRequested';
		readonly now: MonotonicTime;
		/** One incarnation of a holder: a holder that lost the record of its use needs another name. */
		readonly holder: string;
		/** Increases with each request of the holder, which accepts only the answer to its latest request. */
		readonly sequence: number;
		/** In counted items per interval. */
		readonly wanted: number;
		/** The share that is in force at the holder; 0 if there is none. */
		readonly held: number;
		/** The greater of `held` and what was used within the last window, as a share; infinite if the holder doesn't know. */
		readonly usable: number;
		/** How many holders may request shares, including those that already did. */
		readonly expected: number;
	}
	/** The amount, or the end of the divider's own share, changed. */
	| {readonly kind: 'amountChanged'; readonly now: MonotonicTime; readonly amount: number; readonly validUntil: MonotonicTime};

/** The answer to a request. The holder counts the validity from when it sent the request. */
export type DivisionEffect = {
	readonly kind: 'shareGranted';
	readonly holder: string;
	readonly amount: number;
	readonly validMilliseconds: Milliseconds;
};

function commitmentMilliseconds({shareMilliseconds, windowMilliseconds, marginMilliseconds}: DivisionOptions): Milliseconds {
	return shareMilliseconds + windowMilliseconds + marginMilliseconds;
}

/** Creates a division without a record of earlier shares, as after a change of the leader or steward. */
export function createDivision(options: DivisionOptions, amount: number, validUntil: MonotonicTime, now: MonotonicTime): DivisionState {
	return {
		options, amount, validUntil, earlierSharesEndAt: now + commitmentMilliseconds(options), holders: [],
	};
}

/** Creates a division of an amount that was never divided before, so that all of it is available at once. */
export function createFirstDivision(options: DivisionOptions, amount: number, validUntil: MonotonicTime, now: MonotonicTime): DivisionState {
	return {...createDivision(options, amount, validUntil, now), earlierSharesEndAt: now};
}

function committedTo(holder: Holder, now: MonotonicTime): number {
	return holder.commitments.find(({until}) => until > now)?.amount ?? 0;
}

/** The part of the amount that no other holder may have used within a window. */
function availableTo(state: DivisionState, name: string, now: MonotonicTime): number {
	const others = state.holders.filter(holder => holder.name !== name);
	return Math.max(0, state.amount - others.reduce((sum, holder) => sum + committedTo(holder, now), 0));
}

function wantedBy({options, amount}: DivisionState, holder: Holder, count: number): number {
	return Math.max(options.floorRatio * amount / count, holder.wanted);
}

/** The max-min fair part of each holder, in the order given: no holder gets more than it wants, and all that get less than they want get the same. */
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
 * The max-min fair part of the amount for a holder, plus a proportional part of
 * what no holder wants. A small part is reserved for each expected holder that has
 * not requested a share yet, so that the first to request don't get everything.
 */
function fairShare(state: DivisionState, name: string, expected: number, now: MonotonicTime): number {
	const {amount, options} = state;
	const present = state.holders.filter(({lastContactAt}) => lastContactAt + options.shareMilliseconds > now);
	const count = Math.max(present.length, expected);
	const wanted = present.map(holder => wantedBy(state, holder, count));
	const reserved = Array.from({length: count - present.length}, () => options.reserveRatio * amount / count);
	const parts = maxMinParts(amount, [...wanted, ...reserved]);
	const sum = parts.reduce((one, other) => one + other, 0);
	const part = parts[present.findIndex(holder => holder.name === name)] ?? 0;
	return sum === 0 ? 0 : part * Math.min(options.headroomRatio, amount / sum);
}

/** Counts a greater share that the holder no longer has only as far as it was used: any later window that reaches back to it includes `now`. */
function releaseUnused(holder: Holder, usable: number): Holder {
	return {...holder, commitments: holder.commitments.map(({amount, until}) => ({amount: Math.min(amount, usable), until}))};
}

/** What a divider reports as `usable` to the divider above it. */
export function reportedUsable(state: DivisionState, now: MonotonicTime): number {
	const handedOut = state.holders.reduce((sum, holder) => sum + committedTo(holder, now), 0);
	return now < state.earlierSharesEndAt ? Infinity : Math.max(state.amount, handedOut);
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

function dropLostHolders(state: DivisionState, now: MonotonicTime): DivisionState {
	const {shareMilliseconds} = state.options;
	return {...state, holders: state.holders.filter(holder => holder.lastContactAt + shareMilliseconds > now || committedTo(holder, now) > 0)};
}

type ShareRequest = Extract<DivisionEvent, {readonly kind: 'shareRequested'}>;

/** Returns the holder, updated by its request. */
function recordRequest(state: DivisionState, request: ShareRequest): Holder {
	const {holder: name, now, wanted, sequence, usable} = request;
	const commitments = state.holders.find(holder => holder.name === name)?.commitments ?? [];
	const holder = {
		name, wanted, sequence, lastContactAt: now, commitments,
	};
	return releaseUnused(holder, usable);
}

function isOutdated(state: DivisionState, request: ShareRequest): boolean {
	return state.holders.some(({name, sequence}) => name === request.holder && sequence >= request.sequence);
}

function grantShare(state: DivisionState, request: ShareRequest): Transition<DivisionState, DivisionEffect> {
	const {now, held} = request;
	if (isOutdated(state, request)) {
		return {state, effects: []};
	}

	const holder = recordRequest(state, request);
	const updated = replaceHolder(dropLostHolders(state, now), holder);
	const target = now < state.earlierSharesEndAt ? held : Math.ceil(fairShare(updated, holder.name, request.expected, now));
	const amount = Math.floor(Math.min(target, availableTo(updated, holder.name, now)));
	const {shareMilliseconds, windowMilliseconds, marginMilliseconds} = state.options;
	const validMilliseconds = Math.max(0, Math.min(shareMilliseconds, state.validUntil - now));
	const until = now + validMilliseconds + windowMilliseconds + marginMilliseconds;
	return {
		state: replaceHolder(updated, addCommitment(holder, {amount, until}, now)),
		effects: [{
			kind: 'shareGranted', holder: holder.name, amount, validMilliseconds,
		}],
	};
}

const handlers: HandlerTable<DivisionEvent, [DivisionState], Transition<DivisionState, DivisionEffect>> = {
	shareRequested: (request, state) => grantShare(state, request),
	amountChanged: ({amount, validUntil}, state) => ({state: {...state, amount, validUntil}, effects: []}),
};

/** Applies one event to a division. */
export function stepDivision(state: DivisionState, event: DivisionEvent): Transition<DivisionState, DivisionEffect> {
	return dispatch(handlers, event, state);
}
