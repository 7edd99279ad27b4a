/**
 * The replicated log's entries, and the messages between voters.
 */
import {type LogIndex} from '@dogwooddeck/model/identifiers';

/** The number of an election period, with at most one leader. */
export type Term = number;

/**
 * Identifies a voter by its instance's name and the identity of its data folder. A
 * folder that was lost and created again has another identity, so it is another voter.
 */
export type VoterIdentity = {
	readonly name: string;
	readonly folder: string;
};

/** The members of the replicated log: voters, and learners, which replicate it without a vote. */
export type VoterSet = {
	readonly voters: readonly VoterIdentity[];
	readonly learners: readonly VoterIdentity[];
};

/** The content of a log entry. The payload of a command is opaque text. */
export type EntryBody =
	| {readonly kind: 'leaderStarted'}
	| {readonly kind: 'command'; readonly payload: string}
	| {readonly kind: 'votersChanged'; readonly voterSet: VoterSet};

/** One entry of the log. */
export type LogEntry = {
	readonly index: LogIndex;
	readonly term: Term;
	readonly body: EntryBody;
};

/** The state machine's state after the entry at `index`, which replaces all entries up to it. */
export type Snapshot = {
	readonly index: LogIndex;
	readonly term: Term;
	readonly voterSet: VoterSet;
	readonly data: string;
};

/** A message between two voters. `round` numbers a leader's heartbeat rounds; an answer confirms its leadership as of that round. */
export type ConsensusMessage =
	| {readonly kind: 'preVoteRequested'; readonly term: Term; readonly lastIndex: LogIndex; readonly lastTerm: Term}
	| {readonly kind: 'preVoteAnswered'; readonly term: Term; readonly granted: boolean}
	| {
		readonly kind: 'voteRequested';
		readonly term: Term;
		readonly lastIndex: LogIndex;
		readonly lastTerm: Term;
		/** The leader invited the candidate, so voters that still have contact with the leader answer too. */
		readonly invited?: true;
	}
	| {readonly kind: 'voteAnswered'; readonly term: Term; readonly granted: boolean}
	| {
		readonly kind: 'appendRequested';
		readonly term: Term;
		readonly previousIndex: LogIndex;
		readonly previousTerm: Term;
		readonly entries: readonly LogEntry[];
		readonly committed: LogIndex;
		readonly round: number;
	}
	| {
		readonly kind: 'appendAnswered';
		readonly term: Term;
		readonly accepted: boolean;
		/** If `accepted`, the last index that matches and is synced; otherwise the index to try next. */
		readonly index: LogIndex;
		readonly round: number;
	}
	| {readonly kind: 'snapshotSent'; readonly term: Term; readonly snapshot: Snapshot; readonly round: number}
	/** Sent to the successor in a leadership transfer: start an election at once. */
	| {readonly kind: 'electionInvited'; readonly term: Term};

/** A message with its sender and its recipient. */
export type ConsensusEnvelope = {
	readonly from: VoterIdentity;
	readonly to: VoterIdentity;
	readonly message: ConsensusMessage;
};

/** The length of an entry's payload, in characters. */
export function charactersOf({body}: LogEntry): number {
	return body.kind === 'command' ? body.payload.length : 0;
}

/** The length of a message's entries or snapshot, in characters. */
export function messageCharacters(message: ConsensusMessage): number {
	if (message.kind === 'snapshotSent') {
		return message.snapshot.data.length;
	}

	return message.kind === 'appendRequested' ? message.entries.reduce((sum, entry) => sum + charactersOf(entry), 0) : 0;
}
