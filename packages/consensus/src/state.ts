/**
 * The state of one voter, as immutable plain data.
 */
import {type LogIndex, type MonotonicTime} from '@dogwooddeck/model/identifiers';
import {type Delivery} from './delivery.js';
import {type Log, latestVoterSet} from './log.js';
import {
	type ConsensusOptions, type HardState, Role,
} from './voter-interface.js';
import {type ConsensusEnvelope, type VoterIdentity, type VoterSet} from './message.js';
import {includesVoter} from './voter-set.js';

/** A write that is not synced yet, and the messages that wait for it. */
export type PendingWrite = {
	readonly ticket: number;
	/** The index of the first entry that was written; greater than `last` if there was none. */
	readonly first: LogIndex;
	/** The last index of the log after the write. */
	readonly last: LogIndex;
	readonly deferred: readonly ConsensusEnvelope[];
};

/** The progress of writes to the disk. */
export type DiskProgress = {
	readonly nextTicket: number;
	readonly writes: readonly PendingWrite[];
	/** The last index that is synced to disk. */
	readonly syncedIndex: LogIndex;
	/** The ticket of the latest write of the term and vote. */
	readonly hardStateTicket: number;
	readonly persistedTicket: number;
};

/** An election in which this voter is a candidate. */
export type Campaign = {
	readonly phase: 'preVote' | 'vote';
	readonly granted: readonly VoterIdentity[];
};

/** The leader's record of another member's replication progress. */
export type Progress = {
	readonly peer: VoterIdentity;
	/** The index of the next entry to send. */
	readonly nextIndex: LogIndex;
	/** The index of the last entry that the peer is known to have synced. */
	readonly matchIndex: LogIndex;
	/** Whether `nextIndex` is an estimate that the peer has not confirmed. */
	readonly probing: boolean;
	readonly answeredRound: number;
	/** The last contact with the peer. */
	readonly contactAt: MonotonicTime;
	readonly snapshotSentAt: MonotonicTime | undefined;
	readonly inFlight: readonly Delivery[];
	/** The first entry of the message whose arrival was reported last, and the leader's round at that time. */
	readonly lastArrival: {readonly first: LogIndex; readonly round: number} | undefined;
};

/** The index of the last entry that a member is known to have synced, and the last contact with it. */
export type MemberPosition = {readonly member: VoterIdentity; readonly index: LogIndex; readonly contactAt: MonotonicTime};

/** A read that waits until a majority has answered `round`. */
export type PendingRead = {readonly request: string; readonly round: number};

/** A proposal in the log that is not committed yet. */
export type PendingProposal = {readonly request: string; readonly index: LogIndex};

/** A leadership transfer in progress. */
export type LeadershipTransfer = {readonly successor: VoterIdentity; readonly startedAt: MonotonicTime};

/** State that only a leader has. */
export type Leadership = {
	/** The index of the first entry of this leader's term. */
	readonly termStartIndex: LogIndex;
	readonly startedAt: MonotonicTime;
	readonly progress: readonly Progress[];
	readonly round: number;
	/** When each round was first sent, starting with the newest one that a majority has answered. */
	readonly rounds: ReadonlyArray<{readonly round: number; readonly sentAt: MonotonicTime}>;
	readonly heartbeatAt: MonotonicTime;
	readonly reads: readonly PendingRead[];
	readonly proposals: readonly PendingProposal[];
	readonly transfer: LeadershipTransfer | undefined;
};

/** The state of one voter. */
export type VoterState = {
	readonly options: ConsensusOptions;
	readonly hardState: HardState;
	readonly log: Log;
	readonly committed: LogIndex;
	/** The highest commit index that a leader has sent: this voter should have applied entries up to it. */
	readonly reportedCommitted: LogIndex;
	/** Follower, candidate or leader. A learner has the role of a follower here: see `roleOf`. */
	readonly role: Role;
	readonly leader: VoterIdentity | undefined;
	/**
	 * The last contact with a leader, or the start of this voter: it votes for no other candidate until
	 * `electionMilliseconds` later.
	 */
	readonly leaderContactAt: MonotonicTime;
	readonly electionAt: MonotonicTime;
	/** How many random election timeouts have been drawn. */
	readonly electionTimeoutDraws: number;
	readonly campaign: Campaign | undefined;
	readonly leadership: Leadership | undefined;
	/** How many messages with entries or a snapshot have been passed to the transport. */
	readonly deliveryCount: number;
	readonly disk: DiskProgress;
	/** The index of the latest snapshot that was requested. */
	readonly snapshotRequestedIndex: LogIndex;
};

/** Whether this member is a voter by the newest voter set in its own log. */
export function votesItself(state: VoterState): boolean {
	return includesVoter(latestVoterSet(state.log).voters, state.options.self);
}

/** The current role. */
export function roleOf(state: VoterState): Role {
	return state.role === Role.follower && !votesItself(state) ? Role.learner : state.role;
}

/** The leader of the current term, if it is known. */
export function leaderOf(state: VoterState): VoterIdentity | undefined {
	return state.leader;
}

/** The newest voter set in the log, committed or not. */
export function voterSetOf(state: VoterState): VoterSet {
	return latestVoterSet(state.log);
}

/** The index of the last entry that is known to be committed and in the local log. */
export function committedIndex(state: VoterState): LogIndex {
	return state.committed;
}

/** The highest index that is known to be committed, whether its entry has arrived here or not. */
export function knownCommittedIndex(state: VoterState): LogIndex {
	return Math.max(state.committed, state.reportedCommitted);
}

/** The known replication position of each other member; empty on a voter that isn't the leader. */
export function memberPositions(state: VoterState): readonly MemberPosition[] {
	return state.leadership?.progress.map(({peer, matchIndex, contactAt}) => ({member: peer, index: matchIndex, contactAt})) ?? [];
}

/** The current term. */
export function termOf(state: VoterState): number {
	return state.hardState.term;
}

/** Whether the current term and vote are synced. */
export function hardStateSynced(state: VoterState): boolean {
	return state.disk.persistedTicket >= state.disk.hardStateTicket;
}
