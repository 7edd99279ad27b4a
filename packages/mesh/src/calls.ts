/**
 * The calls between instances. Messages are JSON: their types are the model's
 * own, so that no second description of them is kept.
 */
import {type ConsensusEnvelope, type VoterIdentity} from '@dogwooddeck/consensus/message';
import {type ItemChange} from '@dogwooddeck/directory/item';
import {type UpstreamRecord} from '@dogwooddeck/directory/upstream';
import {type HolderShare} from '@dogwooddeck/key-lease/holder-load';
import {type KeyRange, type UpstreamIncarnation} from '@dogwooddeck/key-lease/range';
import {type KeyReport} from '@dogwooddeck/key-lease/report';
import {type CatchUp} from '@dogwooddeck/model/catch-up';
import {type Failure} from '@dogwooddeck/model/failure';
import {type LogIndex, type Milliseconds, type ZoneName} from '@dogwooddeck/model/identifiers';

/** An announcement, as a control instance passes it on to the leader. */
export type AnnouncementReport = {
	/** Undefined: its record stands in the sender's table as it was announced. */
	readonly upstream?: UpstreamRecord;
	readonly keys: KeyReport;
	/** It brings news, or there is news for it: it is not kept to be confirmed together with others. */
	readonly isUrgent: boolean;
};

/** What the leader says to an announcement. */
export type AnnouncementOutcome = {
	readonly holdMilliseconds: Milliseconds;
	/** Whether the service has keys. */
	readonly keyed: boolean;
	/** All keys that the upstream is to hold. Undefined: those by which the report's digest was made. */
	readonly rows?: readonly KeyRange[];
};

/** What an upstream is told in answer to an announcement. */
export type AnnouncementAnswer = {
	/** All keys that it is to hold. Undefined: its service has no keys. */
	readonly holds?: readonly KeyRange[];
	readonly holdMilliseconds: Milliseconds;
};

/** An answer as it travels. */
export type Reply<Answer> = {readonly answer: Answer} | {readonly failure: Failure};

/** Requests that instances counted, by service and key (pairs of key and count), and how upstreams answered (name, count, milliseconds together). */
export type LoadReport = {
	readonly services: ReadonlyArray<{readonly service: string; readonly counts: ReadonlyArray<readonly [number, number]>; readonly answers: ReadonlyArray<readonly [string, number, number]>}>;
};

/** What each call takes and gives. All but `deliver`, `sight` and `reportLoad` are answered by the leader alone. */
export type MeshCalls = {
	deliver: {request: ConsensusEnvelope; /** What the voter has to say to it, where that was known soon. */ answer: {readonly envelope?: ConsensusEnvelope}};
	/** A control instance shows that it is there; the answer names the leader and all control instances it knows. */
	sight: {
		request: {readonly voter: VoterIdentity; /** The names of the entries that follow it. */ readonly entries: readonly string[]};
		answer: {readonly leader?: string; readonly members: readonly string[]; /** The entries of the whole deployment, as far as the answering instance knows. */ readonly entryCount: number};
	};
	announce: {request: {readonly announcements: readonly AnnouncementReport[]}; /** One for each, in order. */ answer: {readonly answers: ReadonlyArray<Reply<AnnouncementOutcome>>}};
	depart: {request: {readonly life: Partial<UpstreamIncarnation> & Pick<UpstreamIncarnation, 'id'>}; answer: Record<string, never>};
	declare: {request: {readonly changes: readonly ItemChange[]}; answer: {readonly index: LogIndex}};
	/** Gives the newest state, confirmed by a majority. */
	confirm: {request: Record<string, never>; answer: {readonly index: LogIndex}};
	/** An entry tells the control instance that it follows what it counted. */
	reportLoad: {request: LoadReport; answer: Record<string, never>};
	/** A control instance tells the leader what its entries counted. */
	relayLoad: {request: LoadReport; /** The upstreams of all services that have too much work. */ answer: {readonly shares: readonly HolderShare[]}};
};

/** The name of a call. */
export type MeshCall = keyof MeshCalls;

/** The calls by name, for tables. */
export const meshCalls: readonly MeshCall[] = ['deliver', 'sight', 'announce', 'depart', 'declare', 'confirm', 'reportLoad', 'relayLoad'];

/** What an entry asks for when it begins to follow a control instance. */
export type FollowRequest = {
	readonly entry: string;
	/** What it has applied. */
	readonly applied: LogIndex;
	/** Whether it wants the changes of the directory; otherwise it only hears where the control instance stands, and how it is. */
	readonly wantsChanges: boolean;
};

/** What a control instance streams to the entries that follow it. */
export type FollowMessage = {
	readonly catchUp?: CatchUp;
	/** Whether the sender has heard a leader that a majority follows, a moment ago, and lacks nothing that it committed before. */
	readonly fresh: boolean;
	/** The highest index that the sender knows to be committed. */
	readonly committed: LogIndex;
	/** The availability zone that the sender stands in. */
	readonly zone: ZoneName;
	/** The addresses of all control instances that are known. */
	readonly members: readonly string[];
	readonly leader?: string;
	/** The number of entries of the whole deployment. */
	readonly entryCount: number;
	/** The upstreams that have too much work, and the part of the requests for their keys that they can process. */
	readonly shares: readonly HolderShare[];
};
