/**
 * The fault rates of a simulation, and the simulated state of voters, disks and messages.
 */
import {type ConsensusEffect, type SavedState} from '@dogwooddeck/consensus/voter-interface';
import {type VoterState} from '@dogwooddeck/consensus/voter';
import {type ConsensusEnvelope, type VoterIdentity} from '@dogwooddeck/consensus/message';

/** The length of one step of a simulation. */
export const stepMilliseconds = 10;
/** The options of every voter. */
export const options = {electionMilliseconds: 300, heartbeatMilliseconds: 50, entriesBeforeSnapshot: 40};

/** The probability of each fault, in thousandths for each step or message. */
export type Faults = {
	readonly loss: number;
	readonly duplication: number;
	readonly longDelay: number;
	readonly crash: number;
	readonly pause: number;
	readonly partition: number;
	/** Toggles a partition between two voters, in one direction or both. */
	readonly linkPartition: number;
	readonly diskLoss: number;
	readonly leadershipTransfer: number;
	readonly proposals: number;
	/** The upper bound on the duration of a write. */
	readonly syncMilliseconds: number;
};

/** No faults. */
export const noFaults: Faults = {
	loss: 0, duplication: 0, longDelay: 0, crash: 0, pause: 0, partition: 0, linkPartition: 0, diskLoss: 0, leadershipTransfer: 0, proposals: 0, syncMilliseconds: 30,
};

/** A write that is not synced yet. */
export type Write = {readonly syncedAt: number; readonly effect: Extract<ConsensusEffect, {kind: 'persist'}>};

/** The sender that waits for the outcome of a message. */
export type DeliverySender = {readonly node: SimulatedNode; readonly incarnation: number; readonly delivery: number};

/** A message in transit. */
export type MessageInTransit = {readonly at: number; readonly envelope: ConsensusEnvelope; readonly sender: DeliverySender | undefined};

/** The reported outcome of a message. */
export type DeliveryOutcome = {readonly at: number; readonly sender: DeliverySender; readonly arrived: boolean};

/** The transport gives a message up after this long, even if it arrives later. */
export const deliveryTimeoutMilliseconds = 1000;

/** A voter with its disk. Its process is down while `voter` is undefined. */
export type SimulatedNode = {
	readonly name: string;
	identity: VoterIdentity;
	voter: VoterState | undefined;
	disk: SavedState;
	writes: Write[];
	machine: string[];
	startsAt: number;
	pausedUntil: number;
	incarnation: number;
};

/** Returns the content of the disk after a write. */
export function applyWrite(disk: SavedState, effect: Write['effect']): SavedState {
	const {hardState, entries, snapshot = disk.snapshot} = effect;
	const index = snapshot?.index ?? 0;
	const hasSnapshotEntry = index === (disk.snapshot?.index ?? 0) || disk.entries.find(entry => entry.index === index)?.term === snapshot?.term;
	const keptEntries = disk.entries.filter(entry => hasSnapshotEntry && entry.index > index && entry.index < (entries[0]?.index ?? Infinity));
	return {hardState, entries: [...keptEntries, ...entries], ...(snapshot === undefined ? {} : {snapshot})};
}
