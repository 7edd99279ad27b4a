/**
 * What the leader knows of the upstreams that hold keys: until when each may
 * still hold what it was told, and what counts as evidence that it does not.
 *
 * An answer renews all keys of an upstream for the hold time, counted by the
 * upstream from when it sent the announcement, on a clock that may run slow. The
 * leader counts from when it received it. What an earlier leader answered was
 * received before this one was elected, as an answer is sent only after a
 * majority has confirmed the leader since the announcement came.
 */
import {type LogIndex, type Milliseconds, type MonotonicTime} from '@dogwooddeck/model/identifiers';
import {
	isSettled, type KeyRange, type KeySpan, type UpstreamIncarnation, rangesHeldBy, sharedSpan, withoutSpans,
} from './range.js';
import {
	type HolderObservation, noObservations, observationOf, type HolderObservations, withObservation,
} from './observations.js';

/** Keys that an upstream says it released, with the token for its successor. */
export type ReleasedRow = KeySpan & {readonly handover: string};

/** What an announcement says of keys. */
export type HeldKeys = {
	readonly life: UpstreamIncarnation;
	/** Grows with each announcement of one life. */
	readonly sequence: number;
	readonly holds: ReadonlyArray<KeySpan & {readonly fence: number}>;
	readonly released: readonly ReleasedRow[];
};

/** The leader's knowledge of holders. It is lost with the leadership. */
export type GrantingState = {
	readonly electedAt: MonotonicTime;
	readonly sightings: HolderObservations;
};

/** How long answers hold. */
export type GrantingTerms = {
	readonly holdMilliseconds: Milliseconds;
	/** How much slower than the leader's a holder's clock may run, as a share. */
	readonly clockDrift: number;
};

/** Added to each expiry for timers that fire late, in milliseconds. */
export const expiryMarginMilliseconds: Milliseconds = 50;

/** A leader that was just elected. */
export function beginGranting(electedAt: MonotonicTime): GrantingState {
	return {electedAt, sightings: noObservations};
}

function longestHold({holdMilliseconds, clockDrift}: GrantingTerms): Milliseconds {
	return (holdMilliseconds / (1 - clockDrift)) + expiryMarginMilliseconds;
}

/** Notes that an announcement came. */
export function recordContact(state: GrantingState, life: UpstreamIncarnation, now: MonotonicTime, terms: GrantingTerms): GrantingState {
	const known = observationOf(state.sightings, life) ?? {life, mayHoldUntil: state.electedAt + longestHold(terms)};
	return {...state, sightings: withObservation(state.sightings, {...known, heardAt: now})};
}

/** Notes that an announcement which came at `receivedAt` is being answered with the state at `index`. */
export function recordAnswer(state: GrantingState, answer: {readonly life: UpstreamIncarnation; readonly sequence: number; readonly receivedAt: MonotonicTime; readonly index: LogIndex}, terms: GrantingTerms): GrantingState {
	const known = observationOf(state.sightings, answer.life);
	const mayHoldUntil = Math.max(known?.mayHoldUntil ?? state.electedAt + longestHold(terms), answer.receivedAt + longestHold(terms));
	const answered = known?.answered !== undefined && known.answered.sequence > answer.sequence
		? known.answered
		: {sequence: answer.sequence, index: answer.index};
	return {
		...state,
		sightings: withObservation(state.sightings, {
			life: answer.life, heardAt: known?.heardAt ?? answer.receivedAt, answered, mayHoldUntil,
		}),
	};
}

/** Until when an upstream may hold what it was told. */
export function mayHoldUntil(state: GrantingState, life: UpstreamIncarnation, terms: GrantingTerms): MonotonicTime {
	return observationOf(state.sightings, life)?.mayHoldUntil ?? state.electedAt + longestHold(terms);
}

/** Rows that are vacated, each with the token for the next holder. */
export type VacatedRow = KeySpan & {readonly holder: UpstreamIncarnation; readonly handover: string};

/** What an announcement says of keys that may be vacant: those that its sender released, and those that it doesn't list, in order. */
export type AnnouncedKeys = Pick<HeldKeys, 'life' | 'sequence' | 'released'> & {readonly missing: readonly KeySpan[]};

function releasedParts(range: KeyRange, released: readonly ReleasedRow[]): readonly VacatedRow[] {
	return released.flatMap(row => {
		const shared = sharedSpan(range, row);
		return shared === undefined ? [] : [{...shared, holder: range.holder!, handover: row.handover}];
	});
}

function isOmitted(range: KeyRange, keys: AnnouncedKeys, sighting: HolderObservation | undefined): boolean {
	const answered = sighting?.answered;
	return answered !== undefined
		&& answered.sequence < keys.sequence
		&& answered.index >= range.releasingSince!
		&& withoutSpans(range, keys.missing).length === 0;
}

/**
 * What an announcement proves about the ranges that its sender has to give up:
 * it says that it released them; or it was answered without them and no longer
 * lists them. An announcement that was overtaken on its way proves nothing.
 */
export function vacatedByAnnouncement(state: GrantingState, ranges: readonly KeyRange[], keys: AnnouncedKeys): readonly VacatedRow[] {
	const sighting = observationOf(state.sightings, keys.life);
	if (sighting?.answered !== undefined && keys.sequence <= sighting.answered.sequence) {
		return [];
	}

	return rangesHeldBy(ranges, keys.life)
		.filter(({releasingSince}) => releasingSince !== undefined)
		.flatMap(range => {
			const released = releasedParts(range, keys.released);
			return released.length > 0 || !isOmitted(range, keys, sighting)
				? released
				: [{
					from: range.from, to: range.to, holder: keys.life, handover: '',
				}];
		});
}

/**
 * The ranges that an upstream was told to hold and doesn't list although an
 * earlier announcement was answered with them: its hold has run out, as answers
 * did not reach it in time.
 */
export function lapsedRows(state: GrantingState, ranges: readonly KeyRange[], keys: AnnouncedKeys): readonly KeyRange[] {
	const {answered} = observationOf(state.sightings, keys.life) ?? {};
	if (answered === undefined || answered.sequence >= keys.sequence || keys.missing.length === 0) {
		return [];
	}

	return rangesHeldBy(ranges, keys.life).filter(range => isSettled(range) && range.fence <= answered.index && withoutSpans(range, keys.missing).length === 0);
}

/** What time and later lives prove: holders whose hold has run out, and holders that a later process has replaced. */
export function vacatedByTime(state: GrantingState, ranges: readonly KeyRange[], isOver: (life: UpstreamIncarnation) => boolean, clock: {readonly now: MonotonicTime; readonly terms: GrantingTerms}): readonly VacatedRow[] {
	return ranges.flatMap(({from, to, holder}) => {
		const vacated = holder !== undefined && (isOver(holder) || clock.now > mayHoldUntil(state, holder, clock.terms));
		return vacated
			? [{
				from, to, holder, handover: '',
			}]
			: [];
	});
}

/** The rows that an upstream is to hold. */
export function rowsOf(ranges: readonly KeyRange[], life: UpstreamIncarnation): readonly KeyRange[] {
	return rangesHeldBy(ranges, life).filter(({releasingSince}) => releasingSince === undefined);
}
