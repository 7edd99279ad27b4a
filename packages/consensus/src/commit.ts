/**
 * Applies committed entries to the state machine, and requests a snapshot after every
 * `entriesBeforeSnapshot` of them.
 */
import {type LogIndex} from '@dogwooddeck/model/identifiers';
import {addEffects, updateState, type Draft} from './draft.js';
import {entriesBetween} from './log.js';

function requestSnapshotIfDue(draft: Draft): Draft {
	const {committed, log, snapshotRequestedIndex, options} = draft.state;
	const lastSnapshotIndex = Math.max(snapshotRequestedIndex, log.snapshot?.index ?? 0);
	return committed - lastSnapshotIndex < options.entriesBeforeSnapshot
		? draft
		: addEffects(updateState(draft, {snapshotRequestedIndex: committed}), {kind: 'snapshotWanted', index: committed});
}

/** Advances the commit index up to an index that the log holds, and applies the new entries. */
export function applyCommitted(draft: Draft, index: LogIndex): Draft {
	const {committed, log} = draft.state;
	if (index <= committed) {
		return draft;
	}

	const entries = entriesBetween(log, committed + 1, index);
	return requestSnapshotIfDue(addEffects(updateState(draft, {committed: index}), {kind: 'apply', entries}));
}
