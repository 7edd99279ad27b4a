/**
 * The state of one voter: plain data, never changed in place.
 */
import {type LogIndex, type MonotonicTime} from '@dogwooddeck/model/identifiers';
import {type Delivery} from './delivery.js';
import {type Log, latestVoterSet} from './log.js';
import {
	type ConsensusOptions, type HardState, Role,
} from './machine.js';
import {type ConsensusEnvelope, type VoterIdentity, type VoterSet} from './message.js';
import {includesVoter} from './voter-set.js';

/** A write that the disk has not synced yet, and the messages that wait for it. */
export type PendingWrite = {
	readonly ticket: number;
	/** The first entry that was written; after `last` where none was. */
	readonly first: LogIndex;
	/** The last index of the log after the write. */
	readonly last: LogIndex;
	readonly held: readonly ConsensusEnvelope[];
};

/** What is on its way to the disk. */
export type DiskProgress = {
	readonly nextTicket: number;
	readonly writes: readonly PendingWrite[];
	/** The last index that is synced. */
	readonly syncedIndex: LogIndex;
	/** The ticket of the newest write of the term and vote. */
	readonly hardStateTicket: number;
	readonly persistedTicket: number;
};

/** An election that this voter stands in. */
export type Campaign = {
	readonly phase: 'preVote' | 'vote';
	readonly granted: readonly VoterIdentity[];
};

/** What the leader knows about another member. */
export type Progress = {
	readonly peer: VoterIdentity;
	/** The next entry to send. */
	readonly next: LogIndex;
	/** The last entry that the peer is known to have synced. */
	readonly match: LogIndex;
	/** Whether `next` is a guess that the peer has not confirmed. */
	readonly probing: boolean;
	readonly answeredRound: number;
	readonly snapshotSentAt: MonotonicTime | undefined;
	readonly underWay: readonly Delivery[];
	/** The first entry of the message that arrived last, and the leader's round when that was known. */
	readonly arrived: {readonly first: LogIndex; readonly round: number} | undefined;
};

/** The last entry that a member is known to have synced. */
export type MemberPosition = {readonly member: VoterIdentity; readonly index: LogIndex};

/** A read that waits until `round` is answered by a majority. */
export type PendingRead = {readonly request: string; readonly round: number};

/** A proposal that is in the log and not committed. */
export type PendingProposal = {readonly request: string; readonly index: LogIndex};

/** The planned passing on of leadership. */
export type HandOver = {readonly successor: VoterIdentity; readonly startedAt: MonotonicTime};

/** What only a leader has. */
export type Leadership = {
	/** The entry that began this leader's term. */
	readonly startedIndex: LogIndex;
	readonly startedAt: MonotonicTime;
	readonly progress: readonly Progress[];
	readonly round: number;
	/** When each round was first sent, from the newest one that a majority answered. */
	readonly rounds: ReadonlyArray<{readonly round: number; readonly sentAt: MonotonicTime}>;
	readonly heartbeatAt: MonotonicTime;
	readonly reads: readonly PendingRead[];
	readonly proposals: readonly PendingProposal[];
	readonly handOver: HandOver | undefined;
};

/** The state of one voter. */
export type VoterState = {
	readonly options: ConsensusOptions;
	readonly hardState: HardState;
	readonly log: Log;
	readonly committed: LogIndex;
	/** The highest index that a leader said it had committed: what this voter should have applied. */
	readonly heardCommitted: LogIndex;
	/** Follower, candidate or leader. Learners are followers here. */
	readonly role: Role;
	readonly leader: VoterIdentity | undefined;
	/** When a leader was last heard, or the voter started: it helps no other candidate for an election's time. */
	readonly leaderHeardAt: MonotonicTime;
	readonly electionAt: MonotonicTime;
	/** How often an election's time was drawn. */
	readonly draws: number;
	readonly campaign: Campaign | undefined;
	readonly leadership: Leadership | undefined;
	/** How many messages with entries or a snapshot were handed to the transport. */
	readonly deliveries: number;
	readonly disk: DiskProgress;
	/** The index of the newest snapshot that was asked for. */
	readonly snapshotAskedAt: LogIndex;
};

/** Whether the voter itself votes, as far as it knows. */
export function votesItself(state: VoterState): boolean {
	return includesVoter(latestVoterSet(state.log).voters, state.options.self);
}

/** What the voter is at the moment. */
export function roleOf(state: VoterState): Role {
	return state.role === Role.follower && !votesItself(state) ? Role.learner : state.role;
}

/** The leader of the current term, where it is known. */
export function leaderOf(state: VoterState): VoterIdentity | undefined {
	return state.leader;
}

/** The newest voter set of the log, committed or not. */
export function voterSetOf(state: VoterState): VoterSet {
	return latestVoterSet(state.log);
}

/** The last entry that is known to be committed. */
export function committedIndex(state: VoterState): LogIndex {
	return state.committed;
}

/** The highest index that is known to be committed anywhere, whether its entry has arrived here or not. */
export function knownCommittedIndex(state: VoterState): LogIndex {
	return Math.max(state.committed, state.heardCommitted);
}

/** How far each other member of a leader's log is known to be; empty on one that doesn't lead. */
export function memberPositions(state: VoterState): readonly MemberPosition[] {
	return state.leadership?.progress.map(({peer, match}) => ({member: peer, index: match})) ?? [];
}

/** The current term. */
export function termOf(state: VoterState): number {
	return state.hardState.term;
}

/** Whether the current term and vote are synced. */
export function hardStateSynced(state: VoterState): boolean {
	return state.disk.persistedTicket >= state.disk.hardStateTicket;
}
