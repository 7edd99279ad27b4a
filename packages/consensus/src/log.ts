/**
 * The log entries that a voter keeps in memory, and the snapshot before them.
 * Entries are stored in chunks, so that an append copies one chunk, not the log.
 */
import {type LogIndex} from '@dogwooddeck/model/identifiers';
import {
	type LogEntry, type Snapshot, type Term, type VoterSet,
} from './message.js';
import {emptyVoterSet} from './voter-set.js';

const chunkSize = 128;

type Chunk = {
	readonly start: LogIndex;
	readonly entries: readonly LogEntry[];
};

/** The in-memory log. `firstIndex` may be at or before the snapshot's index, so that slightly lagging replicas can still be sent entries. */
export type Log = {
	readonly snapshot: Snapshot | undefined;
	readonly chunks: readonly Chunk[];
	readonly firstIndex: LogIndex;
	readonly lastIndex: LogIndex;
	/** The voter set in effect before the stored entries, and the later ones from these entries. */
	readonly voterSets: ReadonlyArray<{readonly index: LogIndex; readonly voterSet: VoterSet}>;
};

/** Creates an empty log that begins after a snapshot, or at index 1. */
export function createLog(snapshot: Snapshot | undefined): Log {
	const index = snapshot?.index ?? 0;
	return {
		snapshot,
		chunks: [],
		firstIndex: index + 1,
		lastIndex: index,
		voterSets: [{index, voterSet: snapshot?.voterSet ?? emptyVoterSet}],
	};
}

function chunkNumber(index: LogIndex): number {
	return Math.floor(index / chunkSize);
}

/** The entry at an index; undefined if the log doesn't have it. */
export function entryAt(log: Log, index: LogIndex): LogEntry | undefined {
	if (index < log.firstIndex || index > log.lastIndex) {
		return undefined;
	}

	const chunk = log.chunks[chunkNumber(index) - chunkNumber(log.firstIndex)];
	return chunk?.entries[index - chunk.start];
}

/** The term at an index; undefined if the entry was compacted or is not in the log yet. */
export function termAt(log: Log, index: LogIndex): Term | undefined {
	if (index === 0) {
		return 0;
	}

	return index === log.snapshot?.index ? log.snapshot.term : entryAt(log, index)?.term;
}

/** The term of the newest entry; 0 for a log without entries. */
export function lastTermOf(log: Log): Term {
	return termAt(log, log.lastIndex) ?? 0;
}

/** The entries from one index up to another, both included. */
export function entriesBetween(log: Log, from: LogIndex, to: LogIndex): readonly LogEntry[] {
	const first = Math.max(from, log.firstIndex);
	const last = Math.min(to, log.lastIndex);
	const entries: LogEntry[] = [];
	for (let index = first; index <= last; index++) {
		entries.push(entryAt(log, index)!);
	}

	return entries;
}

function appendToChunks(chunks: readonly Chunk[], entries: readonly LogEntry[]): readonly Chunk[] {
	const result = [...chunks];
	let remaining = entries;
	while (remaining.length > 0) {
		const start = remaining[0]!.index;
		const lastChunk = result.at(-1);
		const extendsLastChunk = lastChunk !== undefined && chunkNumber(lastChunk.start) === chunkNumber(start);
		const room = ((chunkNumber(start) + 1) * chunkSize) - start;
		const added = remaining.slice(0, room);
		result.splice(extendsLastChunk ? -1 : result.length, 1, extendsLastChunk ? {start: lastChunk.start, entries: [...lastChunk.entries, ...added]} : {start, entries: added});
		remaining = remaining.slice(room);
	}

	return result;
}

/** Appends entries that follow the last one without a gap. */
export function appendEntries(log: Log, entries: readonly LogEntry[]): Log {
	const changes = entries.flatMap(({index, body}) => body.kind === 'votersChanged' ? [{index, voterSet: body.voterSet}] : []);
	return {
		...log,
		chunks: appendToChunks(log.chunks, entries),
		lastIndex: log.lastIndex + entries.length,
		voterSets: changes.length === 0 ? log.voterSets : [...log.voterSets, ...changes],
	};
}

/** Removes the entries after an index. */
export function truncateAfter(log: Log, index: LogIndex): Log {
	const chunks = log.chunks
		.filter(chunk => chunk.start <= index)
		.map(chunk => chunk.start + chunk.entries.length - 1 <= index
			? chunk
			: {start: chunk.start, entries: chunk.entries.slice(0, index - chunk.start + 1)});
	return {
		...log, chunks, lastIndex: index, voterSets: log.voterSets.filter(change => change.index <= index),
	};
}

/** Sets a snapshot of entries that the log has, and removes whole chunks that are more than `retainedEntries` entries before it. */
export function compact(log: Log, snapshot: Snapshot, retainedEntries: number): Log {
	const chunks = log.chunks.filter(chunk => chunk.start + chunk.entries.length - 1 > snapshot.index - retainedEntries);
	const later = log.voterSets.filter(change => change.index > snapshot.index);
	return {
		...log,
		snapshot,
		chunks,
		firstIndex: chunks[0]?.start ?? log.lastIndex + 1,
		voterSets: [{index: snapshot.index, voterSet: snapshot.voterSet}, ...later],
	};
}

/** Replaces the log by a snapshot from the leader, or only its prefix if the entry at the snapshot's index has the same term. */
export function installSnapshot(log: Log, snapshot: Snapshot): Log {
	return termAt(log, snapshot.index) === snapshot.term ? compact(log, snapshot, 0) : createLog(snapshot);
}

/** The voter set in effect after the entry at an index. */
export function voterSetAt(log: Log, index: LogIndex): VoterSet {
	return (log.voterSets.findLast(change => change.index <= index) ?? log.voterSets[0]!).voterSet;
}

/** The newest voter set in the log, which is in effect whether it is committed or not. */
export function latestVoterSet(log: Log): VoterSet {
	return log.voterSets.at(-1)!.voterSet;
}

/** The index of the entry with the newest voter set. */
export function latestVoterSetIndex(log: Log): LogIndex {
	return log.voterSets.at(-1)!.index;
}
