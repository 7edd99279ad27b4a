/**
 * For how long a copy of the replicated state has lacked something that is
 * committed. A copy that follows at a distance is behind all the time, so the
 * number of missing entries says little.
 */
import {type LogIndex, type Milliseconds, type MonotonicTime} from '@dogwooddeck/model/identifiers';

/** What a copy lacks. Undefined in its place: nothing that is known of. */
export type Lag = {
	/** The copy lacks entries up to this one, at least. */
	readonly target: LogIndex;
	/** Since when it has been known to be committed. */
	readonly since: MonotonicTime;
};

/** What a copy lacks after it was seen to have applied entries up to one index, while those up to another were committed. */
export function noteLag(lag: Lag | undefined, {applied, committed}: {readonly applied: LogIndex; readonly committed: LogIndex}, now: MonotonicTime): Lag | undefined {
	if (applied >= committed) {
		return undefined;
	}

	return lag === undefined || applied >= lag.target ? {target: committed, since: now} : lag;
}

/** For how long the copy has lacked something. */
export function lagMilliseconds(lag: Lag | undefined, now: MonotonicTime): Milliseconds {
	return lag === undefined ? 0 : now - lag.since;
}
