/**
 * Whether a control instance's directory can be relied on to be recent. Entries
 * follow another one beside it where it can't.
 */
import {type Milliseconds, type MonotonicTime} from '@dogwooddeck/model/identifiers';

/** A leader that was not heard for this long may have been replaced. */
export const leaderSilentMilliseconds: Milliseconds = 500;

/**
 * A copy that has lacked committed entries for this long counts as behind: entries take up to
 * 1.5 s more to notice and to connect elsewhere, and a change has to be in force after 2.5 s.
 */
export const behindMilliseconds: Milliseconds = 500;

/** What a control instance knows of its directory's age. */
export type Recency = {
	readonly now: MonotonicTime;
	/** Whether this instance leads, and a majority has confirmed it a moment ago. */
	readonly leads: boolean;
	/** When a leader was last heard; undefined where none is known. */
	readonly leaderHeardAt: MonotonicTime | undefined;
	/** For how long the directory has lacked something that is known to be committed. */
	readonly lacksFor: Milliseconds;
};

/**
 * Whether the directory is recent. Heartbeats alone don't show it: they go on
 * while the entries of the log don't arrive.
 */
export function isRecent({
	now, leads, leaderHeardAt, lacksFor,
}: Recency): boolean {
	return leads || (leaderHeardAt !== undefined && now - leaderHeardAt < leaderSilentMilliseconds && lacksFor < behindMilliseconds);
}
