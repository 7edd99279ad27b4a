/**
 * The replicated log's events and effects.
 */
import {type Failure} from '@dogwooddeck/model/failure';
import {type LogIndex, type Milliseconds, type MonotonicTime} from '@dogwooddeck/model/identifiers';
import {
	type ConsensusEnvelope, type LogEntry, type Snapshot, type Term, type VoterIdentity, type VoterSet,
} from './message.js';

/** What is fixed while the process runs. */
export type ConsensusOptions = {
	readonly self: VoterIdentity;
	/** An election starts after this much silence, and at most twice as much. */
	readonly electionMilliseconds: Milliseconds;
	readonly heartbeatMilliseconds: Milliseconds;
	/** In place of `electionMilliseconds` for the first election after a start: no leader was heard yet that could be slow. */
	readonly firstElectionMilliseconds?: Milliseconds;
	/**
	 * A voter that has just started helps no candidate for this long, as it may have followed a leader whose lease
	 * relies on that. As long as an election where left out; 0 where nothing relies on leadership without a round.
	 */
	readonly startSilenceMilliseconds?: Milliseconds;
	/** Entries that are kept in the log before a snapshot takes their place. */
	readonly entriesBeforeSnapshot: number;
	readonly seed: number;
};

/** What must be on disk before the voter may go on. */
export type HardState = {
	readonly term: Term;
	/** The voter that was voted for in this term. */
	readonly vote?: VoterIdentity;
};

/** What the storage gives back at a start. */
export type SavedState = {
	readonly hardState: HardState;
	readonly snapshot?: Snapshot;
	/** The entries after the snapshot, without gaps. */
	readonly entries: readonly LogEntry[];
};

/** What happens to a voter. */
export type ConsensusEvent =
	| {readonly kind: 'ticked'; readonly now: MonotonicTime}
	| {readonly kind: 'received'; readonly now: MonotonicTime; readonly envelope: ConsensusEnvelope}
	| {readonly kind: 'proposed'; readonly now: MonotonicTime; readonly request: string; readonly payload: string}
	| {readonly kind: 'voterChangeProposed'; readonly now: MonotonicTime; readonly request: string; readonly voterSet: VoterSet}
	| {readonly kind: 'readRequested'; readonly now: MonotonicTime; readonly request: string}
	/** The disk has synced the write with this ticket and all before it. */
	| {readonly kind: 'persisted'; readonly now: MonotonicTime; readonly ticket: number}
	/** The transport knows that a message with a delivery number has arrived, or has given it up. */
	| {readonly kind: 'deliveryEnded'; readonly now: MonotonicTime; readonly delivery: number; readonly arrived: boolean}
	/** The state machine's state after the entry at `index`, asked for by `snapshotWanted`. */
	| {readonly kind: 'snapshotTaken'; readonly now: MonotonicTime; readonly index: LogIndex; readonly data: string}
	/** A planned stop: pass leadership on. */
	| {readonly kind: 'handOverRequested'; readonly now: MonotonicTime};

/** What the edge is asked to do, in this order. */
export type ConsensusEffect =
	| {
		readonly kind: 'persist';
		readonly ticket: number;
		readonly hardState: HardState;
		/** Entries from this index on are replaced by `entries`. */
		readonly entries: readonly LogEntry[];
		/** With a snapshot, entries up to its index are dropped. */
		readonly snapshot?: Snapshot;
	}
	/** The end of a message with a delivery number has to be told by `deliveryEnded`. */
	| {readonly kind: 'send'; readonly envelope: ConsensusEnvelope; readonly delivery?: number}
	/** These entries are committed: apply them. */
	| {readonly kind: 'apply'; readonly entries: readonly LogEntry[]}
	/** Replace the state machine's state by the snapshot's. */
	| {readonly kind: 'restore'; readonly snapshot: Snapshot}
	/** The proposal stands at this index, not yet committed. It is accepted when it is applied with this term. */
	| {readonly kind: 'placed'; readonly request: string; readonly index: LogIndex; readonly term: Term}
	/** The proposal or read was refused, or lost with its leader (`outcomeUnknown`). */
	| {readonly kind: 'refused'; readonly request: string; readonly failure: Failure}
	/** A read may be answered once the entry at `index` is applied. */
	| {readonly kind: 'readReady'; readonly request: string; readonly index: LogIndex}
	| {readonly kind: 'snapshotWanted'; readonly index: LogIndex}
	| {readonly kind: 'roleChanged'; readonly role: Role; readonly term: Term; readonly leader?: VoterIdentity};

/** What a voter is at the moment. */
export const Role = {
	learner: 'learner',
	follower: 'follower',
	candidate: 'candidate',
	leader: 'leader',
} as const;

/** One of the roles. */
export type Role = (typeof Role)[keyof typeof Role];
