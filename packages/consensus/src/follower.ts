/**
 * The follower's side of log replication: receives entries and snapshots from the leader.
 */
import {failure, FailureKind} from '@dogwooddeck/model/failure';
import {type LogIndex} from '@dogwooddeck/model/identifiers';
import {applyCommitted} from './commit.js';
import {
	addEffects, updateState, markUnsyncedFrom, markSnapshotUnsaved, sendImmediately, sendAfterSync, writeEntries, type Draft,
} from './draft.js';
import {adoptTerm, becomeFollower, resetElectionTimer} from './election.js';
import {installSnapshot, termAt} from './log.js';
import {Role} from './voter-interface.js';
import {type ConsensusMessage, type LogEntry, type VoterIdentity} from './message.js';
import {hardStateSynced} from './state.js';
import {sameVoter} from './voter-set.js';

type AppendRequest = Extract<ConsensusMessage, {readonly kind: 'appendRequested'}>;
type SnapshotMessage = Extract<ConsensusMessage, {readonly kind: 'snapshotSent'}>;

function followLeader(draft: Draft, leader: VoterIdentity): Draft {
	const {state, now} = draft;
	const followedLeader = state.leader !== undefined && sameVoter(state.leader, leader) ? state.leader : leader;
	const lost = failure(FailureKind.notLeader, 'Another voter is the leader.', {leader: leader.name});
	return updateState(becomeFollower(resetElectionTimer(draft), followedLeader, lost), {leaderContactAt: now});
}

/** The first uncommitted index whose entry has the same term as the one at `index`. */
function firstUncommittedOfTerm(draft: Draft, index: LogIndex): LogIndex {
	const {log, committed} = draft.state;
	const term = termAt(log, index);
	let first = index;
	while (first - 1 > committed && termAt(log, first - 1) === term) {
		first--;
	}

	return first;
}

function reject(draft: Draft, from: VoterIdentity, request: AppendRequest): Draft {
	const {log, hardState, committed} = draft.state;
	const index = request.previousIndex > log.lastIndex ? log.lastIndex + 1 : firstUncommittedOfTerm(draft, request.previousIndex);
	return sendAfterSync(draft, from, {
		kind: 'appendAnswered', term: hardState.term, accepted: false, index: Math.max(index, committed + 1), round: request.round,
	});
}

function entriesToWrite(draft: Draft, entries: readonly LogEntry[]): readonly LogEntry[] {
	const {log, committed} = draft.state;
	const first = entries.findIndex(entry => entry.index > committed && termAt(log, entry.index) !== entry.term);
	return first === -1 ? [] : entries.slice(first);
}

function accept(draft: Draft, from: VoterIdentity, request: AppendRequest): Draft {
	const matchIndex = request.previousIndex + request.entries.length;
	const written = writeEntries(draft, entriesToWrite(draft, request.entries));
	const applied = applyCommitted(written, Math.min(request.committed, matchIndex));
	const {hardState, disk} = applied.state;
	const answer = {
		kind: 'appendAnswered', term: hardState.term, accepted: true, round: request.round,
	} as const;
	const needsNoSync = request.entries.length === 0 && hardStateSynced(applied.state) && !applied.unsaved.hardState;
	return needsNoSync
		? sendImmediately(applied, from, {...answer, index: Math.min(matchIndex, disk.syncedIndex)})
		: sendAfterSync(applied, from, {...answer, index: matchIndex});
}

/** Whether the log has the entry that precedes the sent ones in the leader's log. */
function hasPreviousEntry(draft: Draft, request: AppendRequest): boolean {
	const {log, committed} = draft.state;
	return request.previousIndex <= committed || termAt(log, request.previousIndex) === request.previousTerm;
}

function rejectStaleTerm(draft: Draft, from: VoterIdentity, round: number): Draft {
	const {hardState, log} = draft.state;
	return sendAfterSync(draft, from, {
		kind: 'appendAnswered', term: hardState.term, accepted: false, index: log.lastIndex + 1, round,
	});
}

/** Accepts the sender as leader; undefined if its term is stale. */
function followIfCurrentTerm(draft: Draft, from: VoterIdentity, term: number): Draft | undefined {
	const {hardState, role} = draft.state;
	if (term < hardState.term || (term === hardState.term && role === Role.leader)) {
		return undefined;
	}

	return followLeader(term > hardState.term ? adoptTerm(draft, term) : draft, from);
}

/** Handles entries or a heartbeat from the leader. */
export function receiveAppend(draft: Draft, from: VoterIdentity, request: AppendRequest): Draft {
	const followed = followIfCurrentTerm(draft, from, request.term);
	if (followed === undefined) {
		return rejectStaleTerm(draft, from, request.round);
	}

	const updated = updateState(followed, {reportedCommitted: Math.max(followed.state.reportedCommitted, request.committed)});
	return hasPreviousEntry(updated, request) ? accept(updated, from, request) : reject(updated, from, request);
}

function install(draft: Draft, message: SnapshotMessage): Draft {
	const {snapshot} = message;
	const {log, committed} = draft.state;
	const updated = updateState(draft, {log: installSnapshot(log, snapshot), committed: snapshot.index});
	return addEffects(markUnsyncedFrom(markSnapshotUnsaved(updated, snapshot), committed + 1), {kind: 'restore', snapshot});
}

/** Handles a snapshot from the leader; installs it if it is ahead of the local commit index. */
export function receiveSnapshot(draft: Draft, from: VoterIdentity, message: SnapshotMessage): Draft {
	const followed = followIfCurrentTerm(draft, from, message.term);
	if (followed === undefined) {
		return rejectStaleTerm(draft, from, message.round);
	}

	const isAhead = message.snapshot.index > followed.state.committed;
	const installed = isAhead ? install(followed, message) : followed;
	return sendAfterSync(installed, from, {
		kind: 'appendAnswered', term: installed.state.hardState.term, accepted: true, index: message.snapshot.index, round: message.round,
	});
}
