/**
 * The records of the log file, and what they come to when they are read in order.
 */
import {type HardState, type SavedState} from '@dogwooddeck/consensus/voter-interface';
import {type LogEntry, type Snapshot} from '@dogwooddeck/consensus/message';

/** One write: the term and vote, and entries that take the place of those from the first one's index on. */
export type LogRecord = {
	readonly hardState: HardState;
	readonly entries: readonly LogEntry[];
};

/** What an empty folder holds. */
export const emptySavedState: SavedState = {hardState: {term: 0}, entries: []};

/** Whether a folder's state is that of a folder that never took part. */
export function isEmpty(saved: SavedState): boolean {
	return saved.hardState.term === 0 && saved.snapshot === undefined && saved.entries.length === 0;
}

/** The entries that stay beside a snapshot: those after it, where the log agrees with it. */
export function entriesAfter(entries: readonly LogEntry[], snapshot: Snapshot): readonly LogEntry[] {
	const first = entries[0]?.index ?? 0;
	const same = entries[snapshot.index - first];
	return first > snapshot.index || same?.term === snapshot.term ? entries.slice(Math.max(0, snapshot.index + 1 - first)) : [];
}

/** Adds new entries in place of those from the first one's index on. Changes the list, which only the storage holds. */
export function mergeEntries(list: LogEntry[], entries: readonly LogEntry[]): void {
	const first = entries[0];
	if (first !== undefined) {
		list.length = Math.min(list.length, Math.max(0, first.index - (list[0]?.index ?? first.index)));
		for (const entry of entries) {
			list.push(entry);
		}
	}
}

/** The state that the records of a log come to, beside a snapshot. Undefined where entries are missing. */
export function stateOf(records: readonly LogRecord[], snapshot: Snapshot | undefined): SavedState | undefined {
	const list: LogEntry[] = [];
	for (const record of records) {
		mergeEntries(list, record.entries);
	}

	const hardState = records.at(-1)?.hardState ?? emptySavedState.hardState;
	const entries = snapshot === undefined ? list : entriesAfter(list, snapshot);
	const expected = (snapshot?.index ?? 0) + 1;
	const whole = entries.every((entry, offset) => entry.index === expected + offset);
	return whole ? {hardState, entries, ...(snapshot === undefined ? {} : {snapshot})} : undefined;
}
