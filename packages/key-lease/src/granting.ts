/**
 * The leader's view of key leases ("holds"): until when each upstream may still
 * hold the keys it was granted, and what proves that it no longer does.
 *
 * An answer to an announcement renews all keys of an upstream for the hold time.
 * The upstream counts that time from when it sent the announcement, on a clock
 * that may run slow; the leader counts from when it received the announcement.
 * Any announcement that an earlier leader answered was received before this
 * leader was elected, because an answer is sent only after a majority has
 * confirmed the leader since the announcement arrived.
 */
import {type LogIndex, type Milliseconds, type MonotonicTime} from '@dogwooddeck/model/identifiers';
import {
	isSettled, type KeyRange, type KeySpan, type UpstreamIncarnation, rangesHeldBy, intersectSpans, subtractSpans,
} from './range.js';
import {
	type HolderObservation, noObservations, observationOf, type HolderObservations, withObservation,
} from './observations.js';

/** Keys that an upstream reports as released, with the handover token for the next holder. */
export type ReleasedRow = KeySpan & {readonly handover: string};

/** The part of an upstream's announcement that concerns keys. */
export type HeldKeys = {
	/** The incarnation that sends the announcement. */
	readonly life: UpstreamIncarnation;
	/** Increases with each announcement of an incarnation. */
	readonly sequence: number;
	readonly holds: ReadonlyArray<KeySpan & {readonly fence: number}>;
	readonly released: readonly ReleasedRow[];
};

/** The leader's record of holders. It is kept in memory and lost with the leadership. */
export type GrantingState = {
	readonly electedAt: MonotonicTime;
	readonly observations: HolderObservations;
};

/** How long an answer renews a hold. */
export type GrantingOptions = {
	readonly holdMilliseconds: Milliseconds;
	/** How much slower than the leader's clock a holder's clock may run, as a fraction. */
	readonly clockDrift: number;
};

/** Added to each expiry, because timers may fire late. */
export const expiryMarginMilliseconds: Milliseconds = 50;

/** Creates the state of a newly elected leader. */
export function createGrantingState(electedAt: MonotonicTime): GrantingState {
	return {electedAt, observations: noObservations};
}

function maxHoldDuration({holdMilliseconds, clockDrift}: GrantingOptions): Milliseconds {
	return (holdMilliseconds / (1 - clockDrift)) + expiryMarginMilliseconds;
}

/** Records that an announcement was received at `now`. */
export function recordContact(state: GrantingState, holder: UpstreamIncarnation, now: MonotonicTime, options: GrantingOptions): GrantingState {
	const previous = observationOf(state.observations, holder) ?? {holder, mayHoldUntil: state.electedAt + maxHoldDuration(options)};
	return {...state, observations: withObservation(state.observations, {...previous, lastContactAt: now})};
}

/** Records that an announcement received at `receivedAt` is being answered with the state at log index `index`. */
export function recordAnswer(state: GrantingState, answer: {readonly holder: UpstreamIncarnation; readonly sequence: number; readonly receivedAt: MonotonicTime; readonly index: LogIndex}, options: GrantingOptions): GrantingState {
	const previous = observationOf(state.observations, answer.holder);
	const mayHoldUntil = Math.max(previous?.mayHoldUntil ?? state.electedAt + maxHoldDuration(options), answer.receivedAt + maxHoldDuration(options));
	const answered = previous?.answered !== undefined && previous.answered.sequence > answer.sequence
		? previous.answered
		: {sequence: answer.sequence, index: answer.index};
	return {
		...state,
		observations: withObservation(state.observations, {
			holder: answer.holder, lastContactAt: previous?.lastContactAt ?? answer.receivedAt, answered, mayHoldUntil,
		}),
	};
}

/** Returns the time until which an upstream may hold the keys it was granted. */
export function mayHoldUntil(state: GrantingState, holder: UpstreamIncarnation, options: GrantingOptions): MonotonicTime {
	return observationOf(state.observations, holder)?.mayHoldUntil ?? state.electedAt + maxHoldDuration(options);
}

/** Keys that their holder no longer holds, with the handover token for the next holder; empty if there is none. */
export type VacatedRow = KeySpan & {readonly holder: UpstreamIncarnation; readonly handover: string};

/** The keys of an announcement that may be vacant: those its sender released, and those it doesn't list, sorted by first key. */
export type AnnouncedKeys = Pick<HeldKeys, 'life' | 'sequence' | 'released'> & {readonly missing: readonly KeySpan[]};

function releasedRows(range: KeyRange, released: readonly ReleasedRow[]): readonly VacatedRow[] {
	return released.flatMap(row => {
		const shared = intersectSpans(range, row);
		return shared === undefined ? [] : [{...shared, holder: range.holder!, handover: row.handover}];
	});
}

function isOmitted(range: KeyRange, keys: AnnouncedKeys, observation: HolderObservation | undefined): boolean {
	const answered = observation?.answered;
	return answered !== undefined
		&& answered.sequence < keys.sequence
		&& answered.index >= range.releasingSince!
		&& subtractSpans(range, keys.missing).length === 0;
}

/**
 * Returns the recalled keys of which an announcement proves that its sender no
 * longer holds them: the sender reports them as released, or an earlier
 * announcement was answered without them and this one no longer lists them. An
 * announcement that arrives out of order proves nothing.
 */
export function vacatedByAnnouncement(state: GrantingState, ranges: readonly KeyRange[], keys: AnnouncedKeys): readonly VacatedRow[] {
	const observation = observationOf(state.observations, keys.life);
	if (observation?.answered !== undefined && keys.sequence <= observation.answered.sequence) {
		return [];
	}

	return rangesHeldBy(ranges, keys.life)
		.filter(({releasingSince}) => releasingSince !== undefined)
		.flatMap(range => {
			const released = releasedRows(range, keys.released);
			return released.length > 0 || !isOmitted(range, keys, observation)
				? released
				: [{
					from: range.from, to: range.to, holder: keys.life, handover: '',
				}];
		});
}

/**
 * Returns the ranges that an upstream was granted and doesn't list, although an
 * earlier announcement was answered with them: its hold has expired because
 * answers did not reach it in time.
 */
export function lapsedRows(state: GrantingState, ranges: readonly KeyRange[], keys: AnnouncedKeys): readonly KeyRange[] {
	const {answered} = observationOf(state.observations, keys.life) ?? {};
	if (answered === undefined || answered.sequence >= keys.sequence || keys.missing.length === 0) {
		return [];
	}

	return rangesHeldBy(ranges, keys.life).filter(range => isSettled(range) && range.fence <= answered.index && subtractSpans(range, keys.missing).length === 0);
}

/** Returns the ranges of holders whose hold has expired, and of holders that a later incarnation has replaced. */
export function vacatedByTime(state: GrantingState, ranges: readonly KeyRange[], hasEnded: (holder: UpstreamIncarnation) => boolean, clock: {readonly now: MonotonicTime; readonly options: GrantingOptions}): readonly VacatedRow[] {
	return ranges.flatMap(({from, to, holder}) => {
		const vacated = holder !== undefined && (hasEnded(holder) || clock.now > mayHoldUntil(state, holder, clock.options));
		return vacated
			? [{
				from, to, holder, handover: '',
			}]
			: [];
	});
}

/** Returns the ranges that are granted to an upstream and not being recalled. */
export function grantedRows(ranges: readonly KeyRange[], holder: UpstreamIncarnation): readonly KeyRange[] {
	return rangesHeldBy(ranges, holder).filter(({releasingSince}) => releasingSince === undefined);
}
