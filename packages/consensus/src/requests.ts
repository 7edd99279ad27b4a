/**
 * What the edge asks of the voter: proposals, changes of voters, reads, and a planned hand-over.
 */
import {failure, FailureKind, type Failure} from '@dogwooddeck/model/failure';
import {
	ask, change, refuse, saveSnapshot, type Draft,
} from './draft.js';
import {
	latestVoterSet, latestVoterSetIndex, compact, termAt, voterSetAt,
} from './log.js';
import {type ConsensusEvent} from './machine.js';
import {type EntryBody, type VoterSet} from './message.js';
import {answeredRound, ownTermCommitted} from './quorum.js';
import {
	advanceCommit, answerReads, appendOwn, broadcast, changeLeadership, inviteSuccessor, refreshMembers, startRound,
} from './replication.js';
import {type Leadership, type Progress} from './state.js';
import {includesVoter, voterChangeProblem, without} from './voter-set.js';

type EventOf<Kind extends ConsensusEvent['kind']> = Extract<ConsensusEvent, {readonly kind: Kind}>;

function notLeading(draft: Draft): Failure {
	const {leader} = draft.state;
	return leader === undefined
		? failure(FailureKind.noQuorum, 'No leader is known at this moment.')
		: failure(FailureKind.notLeader, 'Another voter leads.', {leader: leader.name});
}

function passingOn(leadership: Leadership): Failure | undefined {
	const {handOver} = leadership;
	return handOver === undefined
		? undefined
		: failure(FailureKind.notLeader, 'Leadership is being passed on.', {leader: handOver.successor.name});
}

function place(draft: Draft, request: string, body: EntryBody): Draft {
	const appended = appendOwn(draft, body);
	const {log, hardState, leadership} = appended.state;
	const index = log.lastIndex;
	const noted = changeLeadership(appended, {proposals: [...leadership!.proposals, {request, index}]});
	return ask(noted, {
		kind: 'placed', request, index, term: hardState.term,
	});
}

/** Puts a proposal into the log, or refuses it. */
export function propose(draft: Draft, event: EventOf<'proposed'>): Draft {
	const {leadership} = draft.state;
	const refusal = leadership === undefined ? notLeading(draft) : passingOn(leadership);
	return refusal === undefined
		? broadcast(place(draft, event.request, {kind: 'command', payload: event.payload}))
		: refuse(draft, [event], refusal);
}

function isCaughtUp(draft: Draft, progress: Progress | undefined): boolean {
	const {leadership, committed} = draft.state;
	return progress !== undefined && progress.match >= committed && progress.answeredRound >= answeredRound(draft.state, leadership!);
}

function lagging(draft: Draft, voterSet: VoterSet): boolean {
	const added = without(voterSet.voters, latestVoterSet(draft.state.log).voters);
	const progress = draft.state.leadership!.progress.filter(one => includesVoter(added, one.peer));
	return progress.some(one => !isCaughtUp(draft, one));
}

function voterChangeConflict(draft: Draft, voterSet: VoterSet): Failure | undefined {
	const {log, committed, options} = draft.state;
	const problems: ReadonlyArray<readonly [boolean, string]> = [
		[!ownTermCommitted(draft.state), 'The leader has not committed an entry of its own term yet.'],
		[latestVoterSetIndex(log) > committed, 'Another change of the voters is not committed yet.'],
		[lagging(draft, voterSet), 'The learner has not caught up with the log yet.'],
	];
	const problem = voterChangeProblem(latestVoterSet(log), voterSet, options.self) ?? problems.find(([applies]) => applies)?.[1];
	return problem === undefined ? undefined : failure(FailureKind.conflict, problem);
}

/** Puts a change of the voters into the log, or refuses it: one voter at a time. */
export function proposeVoterChange(draft: Draft, event: EventOf<'voterChangeProposed'>): Draft {
	const {leadership} = draft.state;
	const refusal = leadership === undefined
		? notLeading(draft)
		: passingOn(leadership) ?? voterChangeConflict(draft, event.voterSet);
	if (refusal !== undefined) {
		return refuse(draft, [event], refusal);
	}

	return advanceCommit(broadcast(refreshMembers(place(draft, event.request, {kind: 'votersChanged', voterSet: event.voterSet}))));
}

/** Takes a read, which is answered once a majority has confirmed this leader after it. */
export function requestRead(draft: Draft, event: EventOf<'readRequested'>): Draft {
	const {state} = draft;
	const {leadership} = state;
	if (leadership === undefined) {
		return refuse(draft, [event], notLeading(draft));
	}

	const round = leadership.round + 1;
	const queued = changeLeadership(draft, {reads: [...leadership.reads, {request: event.request, round}]});
	return answeredRound(state, leadership) === leadership.round ? answerReads(startRound(queued)) : queued;
}

/** Takes in the state machine's state, and drops the entries that it stands for. */
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
	return saveSnapshot(change(draft, {log: compact(log, snapshot, options.entriesBeforeSnapshot)}), snapshot);
}

/** Begins to pass leadership on to the voter that has most of the log. */
export function handOver(draft: Draft): Draft {
	const {leadership, log} = draft.state;
	const {voters} = latestVoterSet(log);
	const candidates = (leadership?.progress ?? [])
		.filter(one => includesVoter(voters, one.peer))
		.sort((one, other) => other.match - one.match || other.answeredRound - one.answeredRound);
	const successor = candidates[0]?.peer;
	return successor === undefined || leadership?.handOver !== undefined
		? draft
		: inviteSuccessor(broadcast(changeLeadership(draft, {handOver: {successor, startedAt: draft.now}})));
}
