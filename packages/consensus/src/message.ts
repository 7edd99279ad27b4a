/**
 * The replicated log's entries, and the messages between voters.
 */
import {type LogIndex} from '@dogwooddeck/model/identifiers';

/** The number of a leader's period. */
export type Term = number;

/**
 * A voter: its instance's name, and the identity of its data folder. A folder
 * that was lost and made anew has another identity, so it is another voter.
 */
export type VoterIdentity = {
	readonly name: string;
	readonly folder: string;
};

/** Who votes and who only follows. */
export type VoterSet = {
	readonly voters: readonly VoterIdentity[];
	readonly learners: readonly VoterIdentity[];
};

/** What an entry carries. A payload is opaque text. */
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

/** The state machine's state after the entry at `index`, in place of all entries up to it. */
export type Snapshot = {
	readonly index: LogIndex;
	readonly term: Term;
	readonly voterSet: VoterSet;
	readonly data: string;
};

/** A message between two voters. `round` numbers a leader's requests, so that answers confirm its leadership. */
export type ConsensusMessage =
	| {readonly kind: 'preVoteRequested'; readonly term: Term; readonly lastIndex: LogIndex; readonly lastTerm: Term}
	| {readonly kind: 'preVoteAnswered'; readonly term: Term; readonly granted: boolean}
	| {
		readonly kind: 'voteRequested';
		readonly term: Term;
		readonly lastIndex: LogIndex;
		readonly lastTerm: Term;
		/** The leader invited the candidate, so voters that still hear the leader answer too. */
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
		/** With `accepted`: the last index that matches and is synced. Else: where to try next. */
		readonly index: LogIndex;
		readonly round: number;
	}
	| {readonly kind: 'snapshotSent'; readonly term: Term; readonly snapshot: Snapshot; readonly round: number}
	/** From a leader that stops: start an election at once. */
	| {readonly kind: 'electionInvited'; readonly term: Term};

/** A message with the two voters that it passes between. */
export type ConsensusEnvelope = {
	readonly from: VoterIdentity;
	readonly to: VoterIdentity;
	readonly message: ConsensusMessage;
};

/** The length of an entry's payload. */
export function charactersOf({body}: LogEntry): number {
	return body.kind === 'command' ? body.payload.length : 0;
}

/** The length of what a message carries: its entries or its snapshot. */
export function messageCharacters(message: ConsensusMessage): number {
	if (message.kind === 'snapshotSent') {
		return message.snapshot.data.length;
	}

	return message.kind === 'appendRequested' ? message.entries.reduce((sum, entry) => sum + charactersOf(entry), 0) : 0;
}
