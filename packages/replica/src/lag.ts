/**
 * Replica lag: for how long a copy of the replicated state has lacked a committed
 * entry. It is measured in time because a copy in another region always lacks the
 * newest entries, so their number says little.
 */
import {type LogIndex, type Milliseconds, type MonotonicTime} from '@dogwooddeck/model/identifiers';

/** What a copy lacks. Undefined in its place: no committed entry, as far as is known. */
export type Lag = {
	/** The copy has not applied the entries up to this index. */
	readonly target: LogIndex;
	/** When that index was first known to be committed. */
	readonly since: MonotonicTime;
};

/** Updates the lag of a copy from its applied index and the index that is known to be committed. */
export function updateLag(lag: Lag | undefined, {applied, committed}: {readonly applied: LogIndex; readonly committed: LogIndex}, now: MonotonicTime): Lag | undefined {
	if (applied >= committed) {
		return undefined;
	}

	return lag === undefined || applied >= lag.target ? {target: committed, since: now} : lag;
}

/** For how long the copy has lacked a committed entry. */
export function lagMilliseconds(lag: Lag | undefined, now: MonotonicTime): Milliseconds {
	return lag === undefined ? 0 : now - lag.since;
}
