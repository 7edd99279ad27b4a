/**
 * What may happen to voters in a schedule, and what a schedule knows of each.
 */
import {type VoterState} from '@dogwooddeck/consensus/voter';
import {type ConsensusEnvelope, type VoterIdentity} from '@dogwooddeck/consensus/message';
import {type ConsensusEffect, type SavedState} from '@dogwooddeck/consensus/machine';

/** One step of a schedule. */
export const stepMilliseconds = 10;
/** What every voter runs with. */
export const options = {electionMilliseconds: 300, heartbeatMilliseconds: 50, entriesBeforeSnapshot: 40};

/** How likely each fault is, in thousandths a step or a message. */
export type Faults = {
	readonly loss: number;
	readonly duplication: number;
	readonly longDelay: number;
	readonly crash: number;
	readonly pause: number;
	readonly cut: number;
	/** One direction between two voters, or both. */
	readonly link: number;
	readonly wipe: number;
	readonly handOver: number;
	readonly proposals: number;
	/** The longest time that a write takes. */
	readonly syncMilliseconds: number;
};

/** No faults at all. */
export const calm: Faults = {
	loss: 0, duplication: 0, longDelay: 0, crash: 0, pause: 0, cut: 0, link: 0, wipe: 0, handOver: 0, proposals: 0, syncMilliseconds: 30,
};

/** A write that is under way. */
export type Write = {readonly syncedAt: number; readonly effect: Extract<ConsensusEffect, {kind: 'persist'}>};

/** Who has to be told how a message ended. */
export type Awaited = {readonly node: Node; readonly life: number; readonly delivery: number};

/** A message that is under way. */
export type Mail = {readonly at: number; readonly envelope: ConsensusEnvelope; readonly awaited: Awaited | undefined};

/** What the sender of a message is told. */
export type Receipt = {readonly at: number; readonly awaited: Awaited; readonly arrived: boolean};

/** A message is given up after this long, whether it arrives later or not. */
export const givenUpMilliseconds = 1000;

/** A voter with its disk; without `voter` its process is down. */
export type Node = {
	readonly name: string;
	identity: VoterIdentity;
	voter: VoterState | undefined;
	disk: SavedState;
	writes: Write[];
	machine: string[];
	startsAt: number;
	frozenUntil: number;
	lives: number;
};

/** The disk after a write. */
export function written(disk: SavedState, effect: Write['effect']): SavedState {
	const {hardState, entries, snapshot = disk.snapshot} = effect;
	const index = snapshot?.index ?? 0;
	const agrees = index === (disk.snapshot?.index ?? 0) || disk.entries.find(entry => entry.index === index)?.term === snapshot?.term;
	const kept = disk.entries.filter(entry => agrees && entry.index > index && entry.index < (entries[0]?.index ?? Infinity));
	return {hardState, entries: [...kept, ...entries], ...(snapshot === undefined ? {} : {snapshot})};
}
