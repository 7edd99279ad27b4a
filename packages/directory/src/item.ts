/**
 * The configuration as named items (routes, services and limits), each with its
 * own version.
 */
import {type RegionName} from '@dogwooddeck/model/identifiers';

/** A service that a route sends a share of its requests to. */
export type Target = {readonly service: string; readonly weight: number};

/** How large the answers to a route's requests are. */
export const AnswerSize = {
	ordinary: 'ordinary',
	/** So large that forwarding one takes long, such as a download. */
	large: 'large',
} as const;

export type AnswerSize = (typeof AnswerSize)[keyof typeof AnswerSize];

/** How large the bodies of a route's requests are. */
export const BodySize = {
	ordinary: 'ordinary',
	/** So large that receiving and sending one takes long, such as an upload. */
	large: 'large',
} as const;

export type BodySize = (typeof BodySize)[keyof typeof BodySize];

/** Where requests for a host and path prefix are sent, and how they are handled. */
export type Route = {
	readonly hostname: string;
	/** Starts with a slash. */
	readonly pathPrefix: string;
	/** Whether a request may be executed more than once. */
	readonly idempotent: boolean;
	/** If omitted, answers are of ordinary size. */
	readonly answerSize?: AnswerSize;
	/** If omitted, bodies are of ordinary size. */
	readonly bodySize?: BodySize;
	/** The regions whose upstreams may process a request. If omitted, all may. */
	readonly allowedRegions?: readonly RegionName[];
	/** The maximum time until the caller gets an answer. */
	readonly timeoutMilliseconds: number;
	/** The latency objective: the time within which an answer has its full value. */
	readonly objectiveMilliseconds: number;
	/** 0 is the most urgent. */
	readonly priority: number;
	/** The maximum number of upstreams that one request may be sent to. */
	readonly maxAttempts: number;
	readonly targets: readonly Target[];
};

/** What an upstream bears while it is cold: for some time after its start, or when it says so. */
export type ColdCapacity = {
	/** How long an upstream is cold after its start, in milliseconds. */
	readonly milliseconds: number;
	/** The requests a second that a cold upstream bears, from all instances together. */
	readonly requestsPerSecond: number;
};

/** The settings that all upstreams of a service share. */
export type ServiceItem = {
	/** Whether each request belongs to a key, which a single upstream holds. */
	readonly keyed: boolean;
	/** The maximum number of connections that one upstream accepts from all instances together. */
	readonly maxConnections: number;
	/** If omitted, cold upstreams are slow, but bear any number of requests. */
	readonly coldCapacity?: ColdCapacity;
};

/** Limits on what callers may send. */
export type CallerLimits = {
	readonly headerBytes: number;
	readonly bodyBytes: number;
	readonly headerTimeoutMilliseconds: number;
	readonly idleTimeoutMilliseconds: number;
};

/** The value type of each kind of item. */
export type ItemValues = {route: Route; service: ServiceItem; limits: CallerLimits};

/** A kind of item. */
export type ItemKind = keyof ItemValues;

/** A version of an item: its value, and the document that it was read from, which is returned unchanged. */
export type Item<Value> = {
	readonly version: number;
	/** Undefined if the item was dropped at this version (a tombstone). */
	readonly value?: Value;
	readonly document?: string;
};

/** The change of one item: a new value, or a tombstone. */
export type ItemChange = {
	[Kind in ItemKind]: {readonly kind: Kind; readonly name: string; readonly item: Item<ItemValues[Kind]>};
}[ItemKind];

/** All items by kind and name, including tombstones. */
export type Items = {
	readonly route: Readonly<Record<string, Item<Route>>>;
	readonly service: Readonly<Record<string, Item<ServiceItem>>>;
	readonly limits: Readonly<Record<string, Item<CallerLimits>>>;
};

/** No items. */
export const noItems: Items = {route: {}, service: {}, limits: {}};

/** The name of the single item of kind `limits`. */
export const limitsName = 'limits';

/** Returns the names and values of the items that are not dropped. */
export function definedItems<Value>(items: Readonly<Record<string, Item<Value>>>): ReadonlyArray<readonly [string, Value]> {
	return Object.entries(items).flatMap(([name, {value}]) => value === undefined ? [] : [[name, value] as const]);
}
