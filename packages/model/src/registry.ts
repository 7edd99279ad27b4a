/**
 * The records of instances and upstreams in the replicated log, and the announcements of upstreams.
 */
import {
	type Incarnation, type InstanceName, type Milliseconds, type RegionName, type ServiceName, type UpstreamIdentity, type UpstreamName, type ZoneName,
} from './identifiers.js';

/** An instance in the roster of its availability zone. */
export type InstanceRecord = {
	readonly name: InstanceName;
	readonly incarnation: Incarnation;
	readonly region: RegionName;
	readonly zone: ZoneName;
	/** The address for other instances, as `IP:port`. */
	readonly peerAddress: string;
	/** The address for callers, as `IP:port`. */
	readonly callerAddress: string;
	/** The address for operators and upstreams, as `IP:port`. */
	readonly operatorAddress: string;
};

/** The phase that control has decided for an upstream. */
export const UpstreamPhase = {
	/** It may own keys. */
	serving: 'serving',
	/** It gives up its keys and receives no new work. */
	leaving: 'leaving',
	/** It is declared lost. It may return only as a later incarnation. */
	lost: 'lost',
} as const;

/** One of the phases of an upstream. */
export type UpstreamPhase = (typeof UpstreamPhase)[keyof typeof UpstreamPhase];

/** An upstream that announced itself. */
export type UpstreamRecord = {
	readonly service: ServiceName;
	readonly name: UpstreamName;
	readonly incarnation: Incarnation;
	readonly region: RegionName;
	readonly zone: ZoneName;
	/** Where requests go, as `IP:port`. */
	readonly address: string;
	readonly phase: UpstreamPhase;
	/** The time since the last contact with it when it was declared lost. Absent: it is not lost, or the time isn't known. */
	readonly silentMilliseconds?: Milliseconds;
};

/** Returns the identity of the upstream in a record. */
export function identityOf(record: UpstreamRecord): UpstreamIdentity {
	return {service: record.service, name: record.name, incarnation: record.incarnation};
}

/** The heartbeat that an upstream sends to an instance. */
export type Announcement = {
	readonly service: ServiceName;
	readonly name: UpstreamName;
	readonly incarnation: Incarnation;
	readonly region: RegionName;
	readonly zone: ZoneName;
	readonly address: string;
	/** Whether it asks to give up its keys. */
	readonly leaving: boolean;
	/** Its load as it measures it itself, from 0 to 1. It may be out of date or misleading. */
	readonly load: number;
};
