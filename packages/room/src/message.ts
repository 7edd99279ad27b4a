/**
 * The messages between the entries and the keeper of a zone's room for one service.
 */
import {
	type InstanceName, type Milliseconds, type UpstreamName, type ZoneName,
} from '@dogwooddeck/model/identifiers';

/** Identifies what an instance asks for: unique in the incarnation of the instance, which is part of `entry`. */
export type AskIdentifier = {readonly entry: InstanceName; readonly ask: number};

/** An instance asks to send one request. All times are left from the moment of sending, since instances share no clock. */
export type Ask = AskIdentifier & {
	readonly kind: 'ask';
	/** 0 is the most urgent. */
	readonly priority: number;
	/** The time left to start within which the request is likely to meet its objective. */
	readonly startWithin: Milliseconds;
	/** The time left until its deadline. */
	readonly endWithin: Milliseconds;
	/** Whether another zone's keeper may let it wait. Such an ask doesn't wait here. */
	readonly isForeign: boolean;
	/** Zones of allowed regions that it may be sent to instead. */
	readonly otherZones: readonly ZoneName[];
};

/** The request of a grant has ended, or its instance doesn't wait any more. Sent again until it is confirmed. */
export type Release = AskIdentifier & {
	readonly kind: 'release';
	/** The time that the upstream took to answer; undefined if it didn't answer. */
	readonly took?: Milliseconds;
	/** Whether the upstream failed the request, had no room for it or could not be used. */
	readonly hasFailed: boolean;
};

/** One request that is in flight by a grant. */
export type HeldGrant = {readonly ask: number; readonly upstream: UpstreamName; readonly endWithin: Milliseconds};

/** All grants that an instance holds: sent when it follows a new keeper, and repeated. */
export type Report = {
	readonly kind: 'report';
	readonly entry: InstanceName;
	readonly isForeign: boolean;
	/** The newest term that the instance knows: it takes no grants of older ones. */
	readonly term: number;
	readonly held: readonly HeldGrant[];
};

/** The answer to a report. */
export type ReportAnswer = {
	readonly term: number;
	/** The position of the instance among the `count` instances of the zone that the keeper knows: it tells which places it may use without a keeper. */
	readonly position: number;
	readonly count: number;
};

export type KeeperRequest = Ask | Release | Report;

/** Why a keeper refuses. */
export const RefusalCause = {
	/** The requests ahead take longer than the request can wait. */
	noTimeToWait: 'no-time-to-wait',
	/** More urgent requests came, or an upstream is gone, while it waited. */
	waitedTooLong: 'waited-too-long',
} as const;

export type RefusalCause = (typeof RefusalCause)[keyof typeof RefusalCause];

/** `term` orders the keepers of one zone; an instance takes grants only of the newest one that it knows. */
export type KeeperAnswer = AskIdentifier & {readonly term: number} & (
	| {readonly kind: 'grant'; readonly upstream: UpstreamName}
	| {readonly kind: 'refuse'; readonly cause: RefusalCause; readonly retryWithin: Milliseconds}
	| {readonly kind: 'elsewhere'; readonly zone: ZoneName}
	/** The keeper has just begun, and what earlier grants use isn't known yet. */
	| {readonly kind: 'unsettled'}
);
