/**
 * The calls between instances. Messages are JSON and use the types of the model
 * directly, so that there is no second schema to maintain.
 */
import {type ConsensusEnvelope, type VoterIdentity} from '@dogwooddeck/consensus/message';
import {type ItemChange} from '@dogwooddeck/directory/item';
import {type DepartingUpstream, type UpstreamRecord} from '@dogwooddeck/directory/upstream';
import {type ZoneOrder} from '@dogwooddeck/directory/zone-order';
import {type HolderShare} from '@dogwooddeck/key-lease/holder-load';
import {type KeyRange} from '@dogwooddeck/key-lease/range';
import {type KeyReport} from '@dogwooddeck/key-lease/report';
import {type CatchUp} from '@dogwooddeck/model/catch-up';
import {
	type Ask, type KeeperAnswer, type Release, type Report, type ReportAnswer,
} from '@dogwooddeck/room/message';
import {type Failure} from '@dogwooddeck/model/failure';
import {
	type InstanceName, type LogIndex, type Milliseconds, type MonotonicTime, type ZoneName,
} from '@dogwooddeck/model/identifiers';

/** An announcement, as a control instance forwards it to the leader. */
export type AnnouncementReport = {
	/** The announced record; undefined if the sender's directory already contains it unchanged. */
	readonly upstream?: UpstreamRecord;
	readonly keys: KeyReport;
	/** Whether it reports a change, or its upstream has to be notified of one: it is confirmed sooner, in a shorter batching window. */
	readonly isUrgent: boolean;
};

/** The leader's answer to an announcement. */
export type AnnouncementOutcome = {
	readonly holdMilliseconds: Milliseconds;
	/** Whether the service is keyed. */
	readonly keyed: boolean;
	/** All keys that the upstream is to hold; undefined if the digest of the report matches them. */
	readonly rows?: readonly KeyRange[];
};

/** The answer to the announcement of an upstream. */
export type AnnouncementAnswer = {
	/** All keys that the upstream is to hold; undefined if its service is not keyed. */
	readonly holds?: readonly KeyRange[];
	readonly holdMilliseconds: Milliseconds;
};

/** The encoded result of a call. */
export type Reply<Answer> = {readonly answer: Answer} | {readonly failure: Failure};

/** Request counts of instances by service: `counts` lists a key and its count, `answers` an upstream, its number of answers and the sum of their milliseconds. */
export type LoadReport = {
	readonly services: ReadonlyArray<{readonly service: string; readonly counts: ReadonlyArray<readonly [number, number]>; readonly answers: ReadonlyArray<readonly [string, number, number]>}>;
};

/** What an entry tells the keeper of one service's room. */
export type PlacesUpdate = {
	readonly service: string;
	readonly releases: readonly Release[];
	readonly report?: Report;
};

/** The request and answer of each call. All but `deliver`, `sight`, `reportLoad` and those about places are served by the leader alone. */
export type MeshCalls = {
	deliver: {request: ConsensusEnvelope; /** The voter's answer, if it was ready in time. */ answer: {readonly envelope?: ConsensusEnvelope}};
	/** Reports that a control instance is alive; the answer lists the leader and all known control instances. */
	sight: {
		request: {readonly voter: VoterIdentity; /** The names of the entries that follow the sender. */ readonly entries: readonly string[]};
		answer: {readonly leader?: string; readonly members: readonly string[]; /** The number of entries of the whole deployment that the answering instance knows of. */ readonly entryCount: number};
	};
	announce: {request: {readonly announcements: readonly AnnouncementReport[]}; /** One for each, in the same order. */ answer: {readonly answers: ReadonlyArray<Reply<AnnouncementOutcome>>}};
	depart: {request: {readonly life: DepartingUpstream}; answer: Record<string, never>};
	declare: {request: {readonly changes: readonly ItemChange[]}; answer: {readonly index: LogIndex}};
	/** Forwards an operator's order to evacuate a zone or to restore it. */
	orderZone: {request: {readonly order: ZoneOrder}; answer: {readonly index: LogIndex}};
	/** Returns the newest log index, confirmed by a majority. */
	confirm: {request: Record<string, never>; answer: {readonly index: LogIndex}};
	/** Reports the counts of an entry to the control instance that it follows. */
	reportLoad: {request: LoadReport; answer: Record<string, never>};
	/** Forwards the aggregated counts of the entries of a control instance to the leader. */
	relayLoad: {request: LoadReport; /** The overloaded upstreams of all services. */ answer: {readonly shares: readonly HolderShare[]}};
	/** Asks a zone's control instance for a place at an upstream of the zone. It is answered once that is decided. */
	askPlace: {request: {readonly service: string; readonly ask: Ask}; answer: KeeperAnswer};
	updatePlaces: {request: {readonly services: readonly PlacesUpdate[]}; /** One for each report. */ answer: {readonly reports: ReadonlyArray<{readonly service: string; readonly answer: ReportAnswer}>}};
	/** Tells the control instance of another zone how many slots that zone's entries may use. */
	tellRoom: {request: {readonly zone: ZoneName; readonly services: ReadonlyArray<readonly [service: string, free: number]>; /** The time that the last such call took. */ readonly roundTrip: Milliseconds}; answer: Record<string, never>};
};

/** The name of a call. */
export type MeshCall = keyof MeshCalls;

/** The names of all calls, for lookup tables. */
export const meshCalls: readonly MeshCall[] = ['deliver', 'sight', 'announce', 'depart', 'declare', 'orderZone', 'confirm', 'reportLoad', 'relayLoad', 'askPlace', 'updatePlaces', 'tellRoom'];

/** The request with which an entry starts to follow a control instance. */
export type FollowRequest = {
	readonly entry: string;
	/** The log index up to which the entry has applied changes. */
	readonly applied: LogIndex;
	/** Whether to send the changes of the directory. Otherwise the messages carry only the status of the control instance. */
	readonly wantsChanges: boolean;
};

/** A message that a control instance streams to the entries that follow it. */
export type FollowMessage = {
	readonly catchUp?: CatchUp;
	/** Whether the sender's directory is recent: it has had recent contact with a leader that a majority follows and is not behind its committed entries. */
	readonly fresh: boolean;
	/** The highest log index that the sender knows to be committed. */
	readonly committed: LogIndex;
	/** The availability zone of the sender. */
	readonly zone: ZoneName;
	/** The addresses of all known control instances. */
	readonly members: readonly string[];
	readonly leader?: string;
	/** The number of entries of the whole deployment. */
	readonly entryCount: number;
	/** The overloaded upstreams, with the fraction of the requests for their keys that each can process. */
	readonly shares: readonly HolderShare[];
	/** When the message was sent, on the sender's monotonic clock. */
	readonly sentAt?: MonotonicTime;
	/** The cold upstreams of the sender's zone, by the one entry that may send to them; omitted if there are none. */
	readonly cold?: Readonly<Record<InstanceName, readonly string[]>>;
};
