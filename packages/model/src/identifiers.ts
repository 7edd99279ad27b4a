/**
 * Identifiers of instances, upstreams, slots and log entries, and units of time.
 */

/** The name of an instance, unique in the deployment. */
export type InstanceName = string;

/** The name of an availability zone, unique in the deployment. */
export type ZoneName = string;

/** The name of a region. */
export type RegionName = string;

/** The path of a service in the settings tree, such as `bermrand/schedule`. */
export type ServiceName = string;

/** The name of a team: the first segment of every path that the team owns. */
export type TeamName = string;

/** The name of an upstream, unique within its service. */
export type UpstreamName = string;

/**
 * Distinguishes the process starts under one name.
 * A greater number is a later start.
 */
export type Incarnation = number;

/** The index of a slot within its service, from 0. */
export type Slot = number;

/**
 * The fencing token of an assignment: the index of the log entry that granted it.
 * A later grant always has a greater number.
 */
export type FenceNumber = number;

/** A position in the replicated log. The first entry has index 1. */
export type LogIndex = number;

/** Identifies a change that an operator requested, so that it can be retried. */
export type OperationIdentifier = string;

/** A duration. */
export type Milliseconds = number;

/** A reading of the monotonic clock, in milliseconds since an arbitrary start. */
export type MonotonicTime = number;

/** A reading of the wall clock, in milliseconds since 1970 in UTC. */
export type WallTime = number;

/** One incarnation of an instance. */
export type InstanceIdentity = {
	readonly name: InstanceName;
	readonly incarnation: Incarnation;
};

/** One incarnation of an upstream of a service. */
export type UpstreamIdentity = {
	readonly service: ServiceName;
	readonly name: UpstreamName;
	readonly incarnation: Incarnation;
};

/** Returns a map key for an incarnation of an instance, or of an upstream within its service. Names contain no "#", so that keys are unique. */
export function incarnationKey({name, incarnation}: Pick<UpstreamIdentity, 'name' | 'incarnation'>): string {
	return `${name}#${incarnation}`;
}

/** Whether two identities denote the same incarnation of the same instance. */
export function sameInstance(one: InstanceIdentity, other: InstanceIdentity): boolean {
	return one.name === other.name && one.incarnation === other.incarnation;
}

/** Whether a list contains an incarnation of an instance. */
export function includesInstance(instances: readonly InstanceIdentity[], wanted: InstanceIdentity): boolean {
	return instances.some(instance => sameInstance(instance, wanted));
}

/** Whether two identities denote the same incarnation of the same upstream. */
export function sameUpstream(one: UpstreamIdentity, other: UpstreamIdentity): boolean {
	return one.service === other.service && one.name === other.name && one.incarnation === other.incarnation;
}

/**
 * Whether a name can be the key of a plain object. A name that every object
 * inherits, such as "constructor", would be found in an empty one.
 */
export function isSafeRecordKey(name: string): boolean {
	return !(name in Object.prototype);
}
