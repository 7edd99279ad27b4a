/**
 * Decides whether a control instance's directory is recent. If it isn't, entries
 * follow another instance as well.
 */
import {type Milliseconds, type MonotonicTime} from '@dogwooddeck/model/identifiers';

/** After this long without contact, the leader may have been replaced. */
export const leaderContactTimeoutMilliseconds: Milliseconds = 500;

/**
 * A replica that has lacked committed log entries for this long counts as behind: entry instances take
 * up to 1.5 s more to notice and to connect elsewhere, and a change has to be in force after 2.5 s.
 */
export const behindMilliseconds: Milliseconds = 500;

/** The inputs that determine whether a control instance's directory is recent. */
export type RecencyInputs = {
	readonly now: MonotonicTime;
	/** Whether this instance is the leader and a majority has recently confirmed it. */
	readonly isConfirmedLeader: boolean;
	/** Time of the last contact with the leader; undefined if no leader is known or this instance leads. */
	readonly leaderContactAt: MonotonicTime | undefined;
	/** How long the directory has lacked an entry that is known to be committed. */
	readonly lagMilliseconds: Milliseconds;
};

/**
 * Whether the directory is recent. Heartbeats alone don't show it: they can keep
 * arriving while log entries don't.
 */
export function isRecent({
	now, isConfirmedLeader, leaderContactAt, lagMilliseconds,
}: RecencyInputs): boolean {
	return isConfirmedLeader || (leaderContactAt !== undefined && now - leaderContactAt < leaderContactTimeoutMilliseconds && lagMilliseconds < behindMilliseconds);
}
