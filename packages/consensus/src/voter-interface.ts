/**
 * The interface of the voter state machine: its options, events and effects, and
 * the durable state.
 */
import {type Failure} from '@dogwooddeck/model/failure';
import {type LogIndex, type Milliseconds, type MonotonicTime} from '@dogwooddeck/model/identifiers';
import {
	type ConsensusEnvelope, type LogEntry, type Snapshot, type Term, type VoterIdentity, type VoterSet,
} from './message.js';

/** Options that are constant while the process runs. */
export type ConsensusOptions = {
	readonly self: VoterIdentity;
	/** A voter starts an election after one to two times this long without contact with a leader. */
	readonly electionMilliseconds: Milliseconds;
	readonly heartbeatMilliseconds: Milliseconds;
	/** Replaces `electionMilliseconds` for the first election after a start: there is no current leader yet that could just be slow. */
	readonly firstElectionMilliseconds?: Milliseconds;
	/**
	 * A voter that has just started votes for no candidate for this long, as it may have followed a leader whose lease
	 * relies on that. Defaults to `electionMilliseconds`; 0 if nothing relies on leadership without a heartbeat round.
	 */
	readonly startupVoteDelayMilliseconds?: Milliseconds;
	/** A snapshot is requested after this many committed entries; as many entries before it are kept in the log. */
	readonly entriesBeforeSnapshot: number;
	readonly seed: number;
};

/** The term and vote, which must be on disk before messages that depend on them are sent. */
export type HardState = {
	readonly term: Term;
	/** The voter that was voted for in this term. */
	readonly vote?: VoterIdentity;
};

/** The durable state that the storage returns when the process starts. */
export type SavedState = {
	readonly hardState: HardState;
	readonly snapshot?: Snapshot;
	/** The entries after the snapshot, without gaps. */
	readonly entries: readonly LogEntry[];
};

/** An input of the voter state machine. */
export type ConsensusEvent =
	| {readonly kind: 'ticked'; readonly now: MonotonicTime}
	| {readonly kind: 'received'; readonly now: MonotonicTime; readonly envelope: ConsensusEnvelope}
	| {readonly kind: 'proposed'; readonly now: MonotonicTime; readonly request: string; readonly payload: string}
	| {readonly kind: 'voterChangeProposed'; readonly now: MonotonicTime; readonly request: string; readonly voterSet: VoterSet}
	| {readonly kind: 'readRequested'; readonly now: MonotonicTime; readonly request: string}
	/** The disk has synced the write with this ticket and all before it. */
	| {readonly kind: 'persisted'; readonly now: MonotonicTime; readonly ticket: number}
	/** The transport reports whether a message with a delivery number has arrived; otherwise it has given it up. */
	| {readonly kind: 'deliveryEnded'; readonly now: MonotonicTime; readonly delivery: number; readonly arrived: boolean}
	/** The state machine's state after the entry at `index`, as requested by `snapshotWanted`. */
	| {readonly kind: 'snapshotTaken'; readonly now: MonotonicTime; readonly index: LogIndex; readonly data: string}
	/** Requests a leadership transfer, before a planned stop. */
	| {readonly kind: 'handOverRequested'; readonly now: MonotonicTime};

/** An output of the voter state machine. The caller carries the effects of a step out in order. */
export type ConsensusEffect =
	| {
		readonly kind: 'persist';
		readonly ticket: number;
		readonly hardState: HardState;
		/** They replace all entries on disk from the first one's index on. */
		readonly entries: readonly LogEntry[];
		/** With a snapshot, entries up to its index are removed from the disk. */
		readonly snapshot?: Snapshot;
	}
	/** The outcome of a message with a delivery number has to be reported by `deliveryEnded`. */
	| {readonly kind: 'send'; readonly envelope: ConsensusEnvelope; readonly delivery?: number}
	/** Apply these entries, which are committed. */
	| {readonly kind: 'apply'; readonly entries: readonly LogEntry[]}
	/** Replace the state machine's state by the snapshot. */
	| {readonly kind: 'restore'; readonly snapshot: Snapshot}
	/** The proposal was appended at this index and is not committed yet. It is accepted when the entry applied there has this term. */
	| {readonly kind: 'placed'; readonly request: string; readonly index: LogIndex; readonly term: Term}
	/** The proposal or read was rejected; `outcomeUnknown`: the leader lost its leadership before it was committed. */
	| {readonly kind: 'refused'; readonly request: string; readonly failure: Failure}
	/** The read may be answered once the entry at `index`, its read index, is applied. */
	| {readonly kind: 'readReady'; readonly request: string; readonly index: LogIndex}
	| {readonly kind: 'snapshotWanted'; readonly index: LogIndex}
	| {readonly kind: 'roleChanged'; readonly role: Role; readonly term: Term; readonly leader?: VoterIdentity};

/** The role of a member. */
export const Role = {
	learner: 'learner',
	follower: 'follower',
	candidate: 'candidate',
	leader: 'leader',
} as const;

/** One of the roles. */
export type Role = (typeof Role)[keyof typeof Role];
