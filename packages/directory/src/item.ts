/**
 * The configuration as named items, each with a version of its own.
 */

/** A part of a route's requests that goes to one service. */
export type Target = {readonly service: string; readonly weight: number};

/** Where requests of a host and a path go, and how they are treated. */
export type Route = {
	readonly hostname: string;
	/** Begins with a slash. */
	readonly pathPrefix: string;
	/** Whether a request may run more than once. */
	readonly idempotent: boolean;
	/** The longest time that a caller is kept waiting. */
	readonly timeoutMilliseconds: number;
	/** The time within which an answer is worth most. */
	readonly objectiveMilliseconds: number;
	/** 0 goes first. */
	readonly priority: number;
	/** The most upstreams that one request may be sent to. */
	readonly maxAttempts: number;
	readonly targets: readonly Target[];
};

/** What upstreams of one service have in common. */
export type ServiceItem = {
	/** Whether its requests belong to keys, each of which one upstream holds. */
	readonly keyed: boolean;
	/** The connections that one upstream takes from all instances together. */
	readonly maxConnections: number;
};

/** What callers may send. */
export type CallerLimits = {
	readonly headerBytes: number;
	readonly bodyBytes: number;
	readonly headerTimeoutMilliseconds: number;
	readonly idleTimeoutMilliseconds: number;
};

/** The kinds of items. */
export type ItemValues = {route: Route; service: ServiceItem; limits: CallerLimits};

/** The name of a kind of items. */
export type ItemKind = keyof ItemValues;

/** An item: what it says, and the document that it was read from, to be given back as it was. */
export type Item<Value> = {
	readonly version: number;
	/** Undefined: the item was dropped at this version. */
	readonly value?: Value;
	readonly document?: string;
};

/** An item that a change sets or drops. */
export type ItemChange = {
	[Kind in ItemKind]: {readonly kind: Kind; readonly name: string; readonly item: Item<ItemValues[Kind]>};
}[ItemKind];

/** All items by name, dropped ones among them. */
export type Items = {
	readonly route: Readonly<Record<string, Item<Route>>>;
	readonly service: Readonly<Record<string, Item<ServiceItem>>>;
	readonly limits: Readonly<Record<string, Item<CallerLimits>>>;
};

/** No items. */
export const noItems: Items = {route: {}, service: {}, limits: {}};

/** The name of the one item that holds the limits. */
export const limitsName = 'limits';

/** The names and values of the items that stand. */
export function standing<Value>(items: Readonly<Record<string, Item<Value>>>): ReadonlyArray<readonly [string, Value]> {
	return Object.entries(items).flatMap(([name, {value}]) => value === undefined ? [] : [[name, value] as const]);
}
