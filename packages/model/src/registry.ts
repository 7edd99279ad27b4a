/**
 * The records of instances and upstreams, as they stand in the replicated log.
 */
import {
	type Incarnation, type InstanceName, type Milliseconds, type RegionName, type ServiceName, type UpstreamIdentity, type UpstreamName, type ZoneName,
} from './identifiers.js';

/** An instance that belongs to the roster of its availability zone. */
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

/** What is decided about an upstream. */
export const UpstreamPhase = {
	/** It may own keys. */
	serving: 'serving',
	/** It gives its keys away and gets no new work. */
	leaving: 'leaving',
	/** It is judged to be gone. It may come back only as a later incarnation. */
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
	/** How long nothing had been heard of it when it was judged lost. Absent: it is not lost, or that isn't known. */
	readonly silentMilliseconds?: Milliseconds;
};

/** The identity within an upstream's record. */
export function identityOf(record: UpstreamRecord): UpstreamIdentity {
	return {service: record.service, name: record.name, incarnation: record.incarnation};
}

/** What an upstream tells an instance, again and again. */
export type Announcement = {
	readonly service: ServiceName;
	readonly name: UpstreamName;
	readonly incarnation: Incarnation;
	readonly region: RegionName;
	readonly zone: ZoneName;
	readonly address: string;
	/** Whether it wants to give its keys away. */
	readonly leaving: boolean;
	/** Its own figure for how busy it is, from 0 to 1. It may lag or mislead. */
	readonly load: number;
};
