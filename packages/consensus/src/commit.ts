/**
 * Committed entries go to the state machine, and a snapshot is asked for after enough of them.
 */
import {type LogIndex} from '@dogwooddeck/model/identifiers';
import {ask, change, type Draft} from './draft.js';
import {entriesBetween} from './log.js';

function wantSnapshot(draft: Draft): Draft {
	const {committed, log, snapshotAskedAt, options} = draft.state;
	const since = Math.max(snapshotAskedAt, log.snapshot?.index ?? 0);
	return committed - since < options.entriesBeforeSnapshot
		? draft
		: ask(change(draft, {snapshotAskedAt: committed}), {kind: 'snapshotWanted', index: committed});
}

/** Commits and applies up to an index that the log holds. */
export function applyCommitted(draft: Draft, index: LogIndex): Draft {
	const {committed, log} = draft.state;
	if (index <= committed) {
		return draft;
	}

	const entries = entriesBetween(log, committed + 1, index);
	return wantSnapshot(ask(change(draft, {committed: index}), {kind: 'apply', entries}));
}
