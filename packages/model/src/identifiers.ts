/**
 * The names that the whole system uses for the things it routes between.
 */

/** The name of an instance, unique in the deployment. */
export type InstanceName = string;

/** The name of an availability zone, unique in the deployment. */
export type ZoneName = string;

/** The name of a region. */
export type RegionName = string;

/** A service's path in the settings tree, such as `bermrand/schedule`. */
export type ServiceName = string;

/** The name of a team: the first segment of every path that the team owns. */
export type TeamName = string;

/** The name of an upstream, unique within its service. */
export type UpstreamName = string;

/**
 * Tells one life of a process from the next.
 * A greater number is a later life of the same name.
 */
export type Incarnation = number;

/** The number of a slot within its service, from 0. */
export type Slot = number;

/**
 * The index in the replicated log of the entry that granted an assignment.
 * A later grant always carries a greater number.
 */
export type FenceNumber = number;

/** A position in the replicated log. The first entry has index 1. */
export type LogIndex = number;

/** Names one change that an operator asked for, so that it can be sent again. */
export type OperationIdentifier = string;

/** A duration. */
export type Milliseconds = number;

/** A reading of the monotonic clock, in milliseconds since an arbitrary start. */
export type MonotonicTime = number;

/** A reading of the wall clock, in milliseconds since 1970 in UTC. */
export type WallTime = number;

/** One life of an instance. */
export type InstanceIdentity = {
	readonly name: InstanceName;
	readonly incarnation: Incarnation;
};

/** One life of an upstream of a service. */
export type UpstreamIdentity = {
	readonly service: ServiceName;
	readonly name: UpstreamName;
	readonly incarnation: Incarnation;
};

/** Names one life of an instance, or of an upstream within its service, as a text: names hold no "#". */
export function incarnationKey({name, incarnation}: Pick<UpstreamIdentity, 'name' | 'incarnation'>): string {
	return `${name}#${incarnation}`;
}

/** Whether two identities name the same life of the same instance. */
export function sameInstance(one: InstanceIdentity, other: InstanceIdentity): boolean {
	return one.name === other.name && one.incarnation === other.incarnation;
}

/** Whether one life of an instance is among others. */
export function includesInstance(instances: readonly InstanceIdentity[], wanted: InstanceIdentity): boolean {
	return instances.some(instance => sameInstance(instance, wanted));
}

/** Whether two identities name the same life of the same upstream. */
export function sameUpstream(one: UpstreamIdentity, other: UpstreamIdentity): boolean {
	return one.service === other.service && one.name === other.name && one.incarnation === other.incarnation;
}

/**
 * Whether a name may be given to something that is kept in a record by its name:
 * a name that every object has, such as "constructor", would be found in an empty record.
 */
export function isSafeRecordKey(name: string): boolean {
	return !(name in Object.prototype);
}
