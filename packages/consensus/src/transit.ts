/**
 * Entries that are on their way to a member. A heartbeat overtakes a large
 * message, and the member refuses it as it lacks the entries before it: to send
 * them again then would only lengthen the way.
 */
import {type LogIndex, type Milliseconds, type MonotonicTime} from '@dogwooddeck/model/identifiers';
import {charactersOf, type LogEntry} from './message.js';

/** Entries that were sent and may not have arrived yet. */
export type Transit = {
	/** The first of them. */
	readonly first: LogIndex;
	/** They have arrived by then, or are lost. */
	readonly until: MonotonicTime;
};

/** Half of a link between regions. */
const charactersPerMillisecond = 2000;

function travelTime(entries: readonly LogEntry[]): Milliseconds {
	return entries.reduce((sum, entry) => sum + charactersOf(entry), 0) / charactersPerMillisecond;
}

/** What is on its way after entries were sent. */
export function afterSending(transit: Transit | undefined, entries: readonly LogEntry[], now: MonotonicTime): Transit | undefined {
	const first = entries[0]?.index;
	const pending = transit !== undefined && now < transit.until ? transit : undefined;
	if (first === undefined) {
		return pending;
	}

	return {
		first: Math.min(pending?.first ?? first, first),
		until: (pending?.until ?? now) + travelTime(entries),
	};
}

/** What is on its way after a member has confirmed the log up to an index. */
export function afterConfirming(transit: Transit | undefined, match: LogIndex): Transit | undefined {
	return transit !== undefined && match >= transit.first ? undefined : transit;
}

/** Whether the entry that a member lacks is on its way. */
export function isOnItsWay(transit: Transit | undefined, index: LogIndex, now: MonotonicTime): boolean {
	return transit !== undefined && index >= transit.first && now < transit.until;
}
