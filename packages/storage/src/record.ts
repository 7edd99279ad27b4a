/**
 * The records of the log file, and the state that results from replaying them.
 */
import {type HardState, type SavedState} from '@dogwooddeck/consensus/voter-interface';
import {type LogEntry, type Snapshot} from '@dogwooddeck/consensus/message';

/** One write: the term and vote, and entries that replace all stored entries from the index of the first one on. */
export type LogRecord = {
	readonly hardState: HardState;
	readonly entries: readonly LogEntry[];
};

/** The state of an empty folder. */
export const emptySavedState: SavedState = {hardState: {term: 0}, entries: []};

/** Returns whether the state is that of a voter that never took part in consensus. */
export function isEmpty(saved: SavedState): boolean {
	return saved.hardState.term === 0 && saved.snapshot === undefined && saved.entries.length === 0;
}

/** Returns the entries to keep with a snapshot: those after it if the log agrees with the snapshot or begins after it. */
export function entriesAfter(entries: readonly LogEntry[], snapshot: Snapshot): readonly LogEntry[] {
	const first = entries[0]?.index ?? 0;
	const entryAtSnapshot = entries[snapshot.index - first];
	return first > snapshot.index || entryAtSnapshot?.term === snapshot.term ? entries.slice(Math.max(0, snapshot.index + 1 - first)) : [];
}

/** Replaces the entries from the index of the first new one on. Mutates the list, which is private to the storage. */
export function mergeEntries(list: LogEntry[], entries: readonly LogEntry[]): void {
	const first = entries[0];
	if (first !== undefined) {
		list.length = Math.min(list.length, Math.max(0, first.index - (list[0]?.index ?? first.index)));
		for (const entry of entries) {
			list.push(entry);
		}
	}
}

/** Replays the records of a log on top of a snapshot. Returns undefined if entries are missing. */
export function replayRecords(records: readonly LogRecord[], snapshot: Snapshot | undefined): SavedState | undefined {
	const replayed: LogEntry[] = [];
	for (const record of records) {
		mergeEntries(replayed, record.entries);
	}

	const hardState = records.at(-1)?.hardState ?? emptySavedState.hardState;
	const entries = snapshot === undefined ? replayed : entriesAfter(replayed, snapshot);
	const expected = (snapshot?.index ?? 0) + 1;
	const isContiguous = entries.every((entry, offset) => entry.index === expected + offset);
	return isContiguous ? {hardState, entries, ...(snapshot === undefined ? {} : {snapshot})} : undefined;
}
