/**
 * How far the seated instances have applied the log, so that rosters which one
 * of them may still follow are not forgotten. An instance in a cut zone keeps
 * its lease and its records without learning of a change of the seats.
 */
import {type InstanceIdentity, incarnationKey, type LogIndex} from '@dogwooddeck/model/identifiers';
import {type ClaimRoster, type ClaimSeat} from './claim.js';

/** The newest log entry that each instance said it has applied, by `lifeKey`. */
export type AppliedIndexes = ReadonlyMap<string, LogIndex>;

/** Notes what an instance said. It never goes back. */
export function recordApplied(spread: AppliedIndexes, seat: InstanceIdentity, applied: LogIndex): AppliedIndexes {
	const key = incarnationKey(seat);
	return new Map([...spread, [key, Math.max(applied, spread.get(key) ?? 0)]]);
}

/** What is known of the seats of a roster alone. */
export function appliedIndexesOf(spread: AppliedIndexes, roster: ClaimRoster): AppliedIndexes {
	const seated = new Set(roster.seats.map(seat => incarnationKey(seat)));
	return new Map([...spread].filter(([key]) => seated.has(key)));
}

/** The seats of a roster that are not known to have applied the entry that made it. */
export function seatsBehind(spread: AppliedIndexes, roster: ClaimRoster): readonly ClaimSeat[] {
	return roster.seats.filter(seat => (spread.get(incarnationKey(seat)) ?? 0) < roster.index);
}

/**
 * The newest log entry that every seat of a roster is known to have applied. A
 * seat that was never heard counts as behind all, until it is no longer seated.
 */
export function acknowledgedBy(spread: AppliedIndexes, roster: ClaimRoster): LogIndex {
	return Math.min(roster.index, ...roster.seats.map(seat => spread.get(incarnationKey(seat)) ?? 0));
}
