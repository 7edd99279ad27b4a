/**
 * Tracks the log index that each seated instance has applied, so that a roster which
 * one of them may still use is not forgotten. An instance in a partitioned zone keeps
 * its lease and its records without learning of seat changes.
 */
import {type InstanceIdentity, incarnationKey, type LogIndex} from '@dogwooddeck/model/identifiers';
import {type ClaimRoster, type ClaimSeat} from './claim.js';

/** The newest log entry that each instance reported as applied, by `incarnationKey`. */
export type AppliedIndexes = ReadonlyMap<string, LogIndex>;

/** Records a reported index. The recorded index never decreases. */
export function recordApplied(appliedIndexes: AppliedIndexes, seat: InstanceIdentity, applied: LogIndex): AppliedIndexes {
	const key = incarnationKey(seat);
	return new Map([...appliedIndexes, [key, Math.max(applied, appliedIndexes.get(key) ?? 0)]]);
}

/** Returns the indexes of the seats of a roster alone. */
export function appliedIndexesOf(appliedIndexes: AppliedIndexes, roster: ClaimRoster): AppliedIndexes {
	const seated = new Set(roster.seats.map(seat => incarnationKey(seat)));
	return new Map([...appliedIndexes].filter(([key]) => seated.has(key)));
}

/** Returns the seats of a roster that have not reported the entry that created it as applied. */
export function seatsBehind(appliedIndexes: AppliedIndexes, roster: ClaimRoster): readonly ClaimSeat[] {
	return roster.seats.filter(seat => (appliedIndexes.get(incarnationKey(seat)) ?? 0) < roster.index);
}

/**
 * Returns the newest log entry that every seat of a roster has reported as applied. A
 * seat without any report counts as index 0, until it is no longer seated.
 */
export function acknowledgedBy(appliedIndexes: AppliedIndexes, roster: ClaimRoster): LogIndex {
	return Math.min(roster.index, ...roster.seats.map(seat => appliedIndexes.get(incarnationKey(seat)) ?? 0));
}
