/**
 * Requests from the local process: proposals, voter changes, linearizable reads,
 * snapshots and leadership transfer.
 */
import {failure, FailureKind, type Failure} from '@dogwooddeck/model/failure';
import {
	addEffects, updateState, rejectRequests, markSnapshotUnsaved, type Draft,
} from './draft.js';
import {
	latestVoterSet, latestVoterSetIndex, compact, termAt, voterSetAt,
} from './log.js';
import {type ConsensusEvent} from './voter-interface.js';
import {type EntryBody, type VoterSet} from './message.js';
import {answeredRound, ownTermCommitted} from './quorum.js';
import {
	advanceCommit, answerReads, appendLeaderEntry, broadcast, changeLeadership, inviteSuccessor, refreshMembers, startRound,
} from './replication.js';
import {type Leadership, type Progress} from './state.js';
import {includesVoter, voterChangeProblem, votersNotIn} from './voter-set.js';

type EventOf<Kind extends ConsensusEvent['kind']> = Extract<ConsensusEvent, {readonly kind: Kind}>;

function notLeaderFailure(draft: Draft): Failure {
	const {leader} = draft.state;
	return leader === undefined
		? failure(FailureKind.noQuorum, 'No leader is currently known.')
		: failure(FailureKind.notLeader, 'Another voter is the leader.', {leader: leader.name});
}

function transferFailure(leadership: Leadership): Failure | undefined {
	const {transfer} = leadership;
	return transfer === undefined
		? undefined
		: failure(FailureKind.notLeader, 'A leadership transfer is in progress.', {leader: transfer.successor.name});
}

function appendProposal(draft: Draft, request: string, body: EntryBody): Draft {
	const appended = appendLeaderEntry(draft, body);
	const {log, hardState, leadership} = appended.state;
	const index = log.lastIndex;
	const updated = changeLeadership(appended, {proposals: [...leadership!.proposals, {request, index}]});
	return addEffects(updated, {
		kind: 'placed', request, index, term: hardState.term,
	});
}

/** Appends a proposal to the log, or rejects it. */
export function propose(draft: Draft, event: EventOf<'proposed'>): Draft {
	const {leadership} = draft.state;
	const refusal = leadership === undefined ? notLeaderFailure(draft) : transferFailure(leadership);
	return refusal === undefined
		? broadcast(appendProposal(draft, event.request, {kind: 'command', payload: event.payload}))
		: rejectRequests(draft, [event], refusal);
}

function isCaughtUp(draft: Draft, progress: Progress | undefined): boolean {
	const {leadership, committed} = draft.state;
	return progress !== undefined && progress.matchIndex >= committed && progress.answeredRound >= answeredRound(draft.state, leadership!);
}

function hasLaggingVoter(draft: Draft, voterSet: VoterSet): boolean {
	const added = votersNotIn(voterSet.voters, latestVoterSet(draft.state.log).voters);
	const progress = draft.state.leadership!.progress.filter(one => includesVoter(added, one.peer));
	return progress.some(one => !isCaughtUp(draft, one));
}

function voterChangeConflict(draft: Draft, voterSet: VoterSet): Failure | undefined {
	const {log, committed, options} = draft.state;
	const problems: ReadonlyArray<readonly [boolean, string]> = [
		[!ownTermCommitted(draft.state), 'The leader has not committed an entry of its own term yet.'],
		[latestVoterSetIndex(log) > committed, 'Another voter change is not committed yet.'],
		[hasLaggingVoter(draft, voterSet), 'The learner has not caught up with the log yet.'],
	];
	const problem = voterChangeProblem(latestVoterSet(log), voterSet, options.self) ?? problems.find(([applies]) => applies)?.[1];
	return problem === undefined ? undefined : failure(FailureKind.conflict, problem);
}

/** Appends a voter change to the log, or rejects it. Only one voter may be added or removed at a time. */
export function proposeVoterChange(draft: Draft, event: EventOf<'voterChangeProposed'>): Draft {
	const {leadership} = draft.state;
	const refusal = leadership === undefined
		? notLeaderFailure(draft)
		: transferFailure(leadership) ?? voterChangeConflict(draft, event.voterSet);
	if (refusal !== undefined) {
		return rejectRequests(draft, [event], refusal);
	}

	return advanceCommit(broadcast(refreshMembers(appendProposal(draft, event.request, {kind: 'votersChanged', voterSet: event.voterSet}))));
}

/** Queues a linearizable read, which is answered once a majority has confirmed this leader in a round that starts after the request. */
export function requestRead(draft: Draft, event: EventOf<'readRequested'>): Draft {
	const {state} = draft;
	const {leadership} = state;
	if (leadership === undefined) {
		return rejectRequests(draft, [event], notLeaderFailure(draft));
	}

	const round = leadership.round + 1;
	const queued = changeLeadership(draft, {reads: [...leadership.reads, {request: event.request, round}]});
	return answeredRound(state, leadership) === leadership.round ? answerReads(startRound(queued)) : queued;
}

/** Stores a snapshot of the state machine, and removes old entries that it covers from the log. */
export function takeSnapshot(draft: Draft, event: EventOf<'snapshotTaken'>): Draft {
	const {log, committed, options} = draft.state;
	const {index, data} = event;
	const term = termAt(log, index);
	if (term === undefined || index > committed || index <= (log.snapshot?.index ?? 0)) {
		return draft;
	}

	const snapshot = {
		index, term, voterSet: voterSetAt(log, index), data,
	};
	return markSnapshotUnsaved(updateState(draft, {log: compact(log, snapshot, options.entriesBeforeSnapshot)}), snapshot);
}

/** Starts a leadership transfer to the voter that has the most of the log. */
export function transferLeadership(draft: Draft): Draft {
	const {leadership, log} = draft.state;
	const {voters} = latestVoterSet(log);
	const candidates = (leadership?.progress ?? [])
		.filter(one => includesVoter(voters, one.peer))
		.sort((one, other) => other.matchIndex - one.matchIndex || other.answeredRound - one.answeredRound);
	const successor = candidates[0]?.peer;
	return successor === undefined || leadership?.transfer !== undefined
		? draft
		: inviteSuccessor(broadcast(changeLeadership(draft, {transfer: {successor, startedAt: draft.now}})));
}
