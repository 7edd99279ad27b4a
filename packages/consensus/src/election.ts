/**
 * Leader election: pre-vote and vote, and the transitions between follower,
 * candidate and leader.
 */
import {failure, FailureKind, type Failure} from '@dogwooddeck/model/failure';
import {type MonotonicTime} from '@dogwooddeck/model/identifiers';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {mersenne} from 'pure-rand/generator/mersenne';
import {
	updateState, rejectRequests, sendAfterSync, setHardState, type Draft,
} from './draft.js';
import {electionDueAt, leadershipEndsAt} from './due.js';
import {lastTermOf, latestVoterSet} from './log.js';
import {Role} from './voter-interface.js';
import {type ConsensusMessage, type Term, type VoterIdentity} from './message.js';
import {
	advanceCommit, appendLeaderEntry, newProgress, startRound,
} from './replication.js';
import {
	hardStateSynced, votesItself, type VoterState,
} from './state.js';
import {
	includesVoter, isMajority, membersOf, sameVoter,
} from './voter-set.js';

type PreVoteRequest = Extract<ConsensusMessage, {readonly kind: 'preVoteRequested'}>;
type VoteRequest = Extract<ConsensusMessage, {readonly kind: 'voteRequested'}>;
type VoteAnswer = Extract<ConsensusMessage, {readonly kind: 'preVoteAnswered' | 'voteAnswered'}>;

/**
 * The randomized election timeout, in milliseconds: one to two times `electionMilliseconds`, a function of the seed and
 * the number of draws. The generator spreads similar seeds far apart; with one whose first number follows its seed, two
 * voters with similar seeds would start their elections together every time.
 */
export function drawElectionTimeout(options: VoterState['options'], draws: number): number {
	const generator = mersenne(options.seed + (draws * 7919));
	return options.electionMilliseconds + uniformInt(generator, 0, options.electionMilliseconds);
}

/** Resets the election timer with a new random timeout. */
export function resetElectionTimer(draft: Draft): Draft {
	const {options, electionTimeoutDraws: draws} = draft.state;
	return updateState(draft, {electionTimeoutDraws: draws + 1, electionAt: draft.now + drawElectionTimeout(options, draws + 1)});
}

function hasLeaderContact(state: VoterState, now: MonotonicTime): boolean {
	return state.role === Role.leader || now - state.leaderContactAt < state.options.electionMilliseconds;
}

/** Becomes a follower. Pending proposals of a former leader fail with an unknown outcome, its pending reads with `readFailure`. */
export function becomeFollower(draft: Draft, leader: VoterIdentity | undefined, readFailure: Failure): Draft {
	const {leadership} = draft.state;
	const unknownOutcome = failure(FailureKind.outcomeUnknown, 'The leader that accepted the change lost its leadership before the change was committed.');
	const followed = updateState(draft, {
		role: Role.follower, leader, campaign: undefined, leadership: undefined,
	});
	return rejectRequests(rejectRequests(followed, leadership?.proposals ?? [], unknownOutcome), leadership?.reads ?? [], readFailure);
}

/** Adopts a higher term, and becomes a follower in it. */
export function adoptTerm(draft: Draft, term: Term): Draft {
	const lost = failure(FailureKind.notLeader, 'Another voter started an election.');
	return setHardState(becomeFollower(resetElectionTimer(draft), undefined, lost), {term});
}

/**
 * A member that is lost when an election ends was lost before it began; an election takes about as many
 * election timeouts.
 */
const longestElectionTimeouts = 2;

function becomeLeader(draft: Draft): Draft {
	const {state, now} = draft;
	const {log, options} = state;
	const peers = membersOf(latestVoterSet(log)).filter(member => !sameVoter(member, options.self));
	const lastContactAt = Math.max(state.leaderContactAt, now - (longestElectionTimeouts * options.electionMilliseconds));
	const started = updateState(draft, {
		role: Role.leader,
		leader: options.self,
		campaign: undefined,
		leadership: {
			termStartIndex: log.lastIndex + 1,
			startedAt: now,
			progress: peers.map(peer => newProgress(peer, log.lastIndex, lastContactAt)),
			round: 0,
			rounds: [],
			heartbeatAt: now,
			reads: [],
			proposals: [],
			transfer: undefined,
		},
	});
	return startRound(appendLeaderEntry(started, {kind: 'leaderStarted'}));
}

function requestVotes(draft: Draft, message: PreVoteRequest | VoteRequest): Draft {
	const {log, options} = draft.state;
	const others = latestVoterSet(log).voters.filter(voter => !sameVoter(voter, options.self));
	return others.reduce((result, voter) => sendAfterSync(result, voter, message), draft);
}

function startElection(draft: Draft, invited: boolean): Draft {
	const {options, hardState, log} = draft.state;
	const term = hardState.term + 1;
	const voted = setHardState(resetElectionTimer(draft), {term, vote: options.self});
	const candidate = updateState(voted, {role: Role.candidate, leader: undefined, campaign: {phase: 'vote', granted: []}});
	return requestVotes(candidate, {
		kind: 'voteRequested', term, lastIndex: log.lastIndex, lastTerm: lastTermOf(log), ...(invited ? {invited: true} : {}),
	});
}

function startPreVote(draft: Draft): Draft {
	const {options, hardState, log} = draft.state;
	const candidate = updateState(resetElectionTimer(draft), {
		role: Role.candidate, leader: undefined, campaign: {phase: 'preVote', granted: [options.self]},
	});
	const requested = requestVotes(candidate, {
		kind: 'preVoteRequested', term: hardState.term + 1, lastIndex: log.lastIndex, lastTerm: lastTermOf(log),
	});
	return countVotes(requested);
}

const afterMajority = {
	preVote: (draft: Draft) => startElection(draft, false),
	vote: becomeLeader,
} as const;

function countVotes(draft: Draft): Draft {
	const {campaign, log} = draft.state;
	const won = campaign !== undefined && isMajority(latestVoterSet(log), campaign.granted);
	return won ? afterMajority[campaign.phase](draft) : draft;
}

function addVote(draft: Draft, voter: VoterIdentity): Draft {
	const {campaign} = draft.state;
	if (campaign === undefined || includesVoter(campaign.granted, voter)) {
		return draft;
	}

	return countVotes(updateState(draft, {campaign: {...campaign, granted: [...campaign.granted, voter]}}));
}

/** Counts a candidate's own vote once it is synced. */
export function countOwnVoteIfSynced(draft: Draft): Draft {
	const {state} = draft;
	return state.campaign?.phase === 'vote' && hardStateSynced(state) ? addVote(draft, state.options.self) : draft;
}

function compareWithOwnLog(state: VoterState, message: PreVoteRequest | VoteRequest): number {
	const termDifference = message.lastTerm - lastTermOf(state.log);
	return termDifference === 0 ? message.lastIndex - state.log.lastIndex : termDifference;
}

/**
 * Whether the candidate's log is recent enough to vote for it. A member that isn't a
 * voter by its own log votes only for a newer log: only that one can hold the entry
 * that made it a voter.
 */
function isLogRecentEnough(state: VoterState, message: PreVoteRequest | VoteRequest): boolean {
	const difference = compareWithOwnLog(state, message);
	return difference > 0 || (difference === 0 && votesItself(state));
}

/** Answers a pre-vote request. A granted pre-vote doesn't bind the voter. */
export function receivePreVoteRequest(draft: Draft, from: VoterIdentity, message: PreVoteRequest): Draft {
	const {state, now} = draft;
	const granted = message.term > state.hardState.term && !hasLeaderContact(state, now) && isLogRecentEnough(state, message);
	return sendAfterSync(draft, from, {kind: 'preVoteAnswered', term: granted ? message.term : state.hardState.term, granted});
}

function answerVoteRequest(draft: Draft, from: VoterIdentity, message: VoteRequest): Draft {
	const {hardState} = draft.state;
	const isVoteFree = hardState.vote === undefined || sameVoter(hardState.vote, from);
	const granted = message.term === hardState.term && isVoteFree && isLogRecentEnough(draft.state, message);
	const voted = granted ? setHardState(resetElectionTimer(draft), {term: hardState.term, vote: from}) : draft;
	return sendAfterSync(voted, from, {kind: 'voteAnswered', term: hardState.term, granted});
}

/**
 * Answers a vote request; a granted vote is sent once it is synced. While the voter
 * has contact with a leader it answers only the successor that this leader invited:
 * the leader's lease relies on that.
 */
export function receiveVoteRequest(draft: Draft, from: VoterIdentity, message: VoteRequest): Draft {
	const {term} = draft.state.hardState;
	if (message.term >= term && message.invited !== true && hasLeaderContact(draft.state, draft.now)) {
		return draft;
	}

	return answerVoteRequest(message.term > term ? adoptTerm(draft, message.term) : draft, from, message);
}

const expectedTerm = {
	preVote: (term: Term) => term + 1,
	vote: (term: Term) => term,
} as const;

function receiveVoteAnswer(draft: Draft, from: VoterIdentity, message: VoteAnswer, phase: 'preVote' | 'vote'): Draft {
	const {campaign, hardState} = draft.state;
	if (!message.granted && message.term > hardState.term) {
		return adoptTerm(draft, message.term);
	}

	const isCounted = message.granted && campaign?.phase === phase && message.term === expectedTerm[phase](hardState.term);
	return isCounted ? addVote(draft, from) : draft;
}

/** Handles the answer to a pre-vote request. */
export function receivePreVote(draft: Draft, from: VoterIdentity, message: VoteAnswer): Draft {
	return receiveVoteAnswer(draft, from, message, 'preVote');
}

/** Handles the answer to a vote request. */
export function receiveVote(draft: Draft, from: VoterIdentity, message: VoteAnswer): Draft {
	return receiveVoteAnswer(draft, from, message, 'vote');
}

/** Starts an election at once, on the leader's invitation in a leadership transfer. */
export function receiveInvitation(draft: Draft, from: VoterIdentity, message: {readonly term: Term}): Draft {
	const {state} = draft;
	const isFollowerOfSender = state.role === Role.follower && state.leader !== undefined && sameVoter(state.leader, from);
	return isFollowerOfSender && message.term === state.hardState.term && votesItself(state) ? startElection(draft, true) : draft;
}

function tickFollower(draft: Draft): Draft {
	return draft.now >= electionDueAt(draft.state) ? startPreVote(draft) : draft;
}

function tickLeader(draft: Draft): Draft {
	const leadership = draft.state.leadership!;
	if (draft.now >= leadershipEndsAt(draft.state, leadership)) {
		const lost = failure(FailureKind.noQuorum, 'The leader has lost contact with a majority of the voters.');
		return becomeFollower(resetElectionTimer(draft), undefined, lost);
	}

	return draft.now >= leadership.heartbeatAt ? advanceCommit(startRound(draft)) : draft;
}

const tickByRole = {
	[Role.learner]: (draft: Draft) => draft,
	[Role.follower]: tickFollower,
	[Role.candidate]: tickFollower,
	[Role.leader]: tickLeader,
} as const;

/** Handles a tick: sends heartbeats, starts an election, or steps down as a leader without a quorum. */
export function tick(draft: Draft): Draft {
	return tickByRole[draft.state.role](draft);
}
