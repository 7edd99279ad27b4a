/**
 * The calls between instances. Messages are JSON: their types are the model's
 * own, so that no second description of them is kept.
 */
import {type ConsensusEnvelope, type VoterIdentity} from '@dogwooddeck/consensus/message';
import {type Announcement} from '@dogwooddeck/directory/announcement';
import {type ItemChange} from '@dogwooddeck/directory/item';
import {type KeyRange, type Life} from '@dogwooddeck/key-lease/range';
import {type CatchUp} from '@dogwooddeck/model/catch-up';
import {type LogIndex, type Milliseconds, type ZoneName} from '@dogwooddeck/model/identifiers';

/** What an upstream is told in answer to an announcement. */
export type AnnouncementAnswer = {
	/** All keys that it is to hold. Undefined: its service has no keys. */
	readonly holds?: readonly KeyRange[];
	readonly holdMilliseconds: Milliseconds;
};

/** Requests that one instance counted, by service and bucket of keys (pairs of bucket and count), and how upstreams answered (name, count, milliseconds together). */
export type LoadReport = {
	readonly services: ReadonlyArray<{readonly service: string; readonly counts: ReadonlyArray<readonly [number, number]>; readonly answers: ReadonlyArray<readonly [string, number, number]>}>;
	/** The time that the counts cover. */
	readonly periodMilliseconds: Milliseconds;
};

/** What each call takes and gives. All but `deliver` and `sight` are answered by the leader alone. */
export type MeshCalls = {
	deliver: {request: ConsensusEnvelope; answer: Record<string, never>};
	/** A control instance shows that it is there; the answer names the leader and all control instances it knows. */
	sight: {
		request: {readonly voter: VoterIdentity; /** The names of the entries that follow it. */ readonly entries: readonly string[]};
		answer: {readonly leader?: string; readonly members: readonly string[]; /** The entries of the whole deployment, as far as the answering instance knows. */ readonly entryCount: number};
	};
	announce: {request: Announcement; answer: AnnouncementAnswer};
	depart: {request: {readonly life: Partial<Life> & Pick<Life, 'id'>}; answer: Record<string, never>};
	declare: {request: {readonly changes: readonly ItemChange[]}; answer: {readonly index: LogIndex}};
	/** Gives the newest state, confirmed by a majority. */
	confirm: {request: Record<string, never>; answer: {readonly index: LogIndex}};
	reportLoad: {request: LoadReport; answer: Record<string, never>};
};

/** The name of a call. */
export type MeshCall = keyof MeshCalls;

/** The calls by name, for tables. */
export const meshCalls: readonly MeshCall[] = ['deliver', 'sight', 'announce', 'depart', 'declare', 'confirm', 'reportLoad'];

/** What an entry asks for when it begins to follow a control instance. */
export type FollowRequest = {
	readonly entry: string;
	/** What it has applied. */
	readonly applied: LogIndex;
};

/** What a control instance streams to the entries that follow it. */
export type FollowMessage = {
	readonly catchUp?: CatchUp;
	/** Whether the sender has heard a leader that a majority follows, a moment ago. */
	readonly fresh: boolean;
	/** The availability zone that the sender stands in. */
	readonly zone: ZoneName;
	/** The addresses of all control instances that are known. */
	readonly members: readonly string[];
	readonly leader?: string;
	/** The number of entries of the whole deployment. */
	readonly entryCount: number;
};
