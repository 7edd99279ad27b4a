/**
 * The settings of an entry instance.
 */
import {type SecondSendSettings} from '@dogwooddeck/gateway/second-send';
import {type MachineLimits} from '@dogwooddeck/gateway/peer-memory';
import {type RegionName, type ZoneName} from '@dogwooddeck/model/identifiers';

/** An address to listen at. */
export type ListenAddress = {readonly host: string; readonly port: number};

/** The names, in lower case, of the header fields that callers, entries and upstreams exchange. */
export type FieldNames = {
	/** Identifies a request; upstreams echo it. */
	readonly requestIdentifier: string;
	/** How long the caller waits for its answer, in milliseconds. */
	readonly deadline: string;
	/** The upstream that a request is addressed to; other upstreams refuse it. */
	readonly expectedUpstream: string;
	/** Present only on an upstream's own answers. */
	readonly stamp: string;
	/** Present on an answer if the upstream did not run the request. */
	readonly notRun: string;
	/** The key of a request of a keyed service: a whole number. */
	readonly key: string;
	/** `1` on all answers of an upstream that is leaving. */
	readonly leaving: string;
	/** The load that an upstream tells: requests running, waiting, slots, and how long work takes now in percent of the usual. Omitted if upstreams tell none. */
	readonly load?: string;
};

/** The settings of an entry instance. */
export type EntrySettings = {
	readonly name: string;
	readonly zone: ZoneName;
	/** The region of each zone. */
	readonly regions: Readonly<Record<ZoneName, RegionName>>;
	readonly callers: ListenAddress;
	readonly readiness: ListenAddress & {readonly path: string};
	/** Addresses of control instances, as known when the settings were written. */
	readonly seeds: readonly string[];
	readonly fields: FieldNames;
	readonly retries: RetryBudgetSettings;
	/** If omitted, no request is sent to two upstreams at a time. */
	readonly secondSends?: SecondSendSettings;
	/** Undefined: memory and descriptors are not limited. */
	readonly machine?: MachineLimits;
	/** How long an upstream that is leaving may be sent requests that no other can serve, in milliseconds. */
	readonly leavingGraceMilliseconds: number;
	/** How long the upstreams of an evacuated zone may be sent requests for keys that they still hold, in milliseconds. */
	readonly evacuationGraceMilliseconds: number;
	/** If set, requests without keys ask the keeper of the zone's room for a place at an upstream, for services whose upstreams can't queue one request of each entry instance. */
	readonly sharedRoom?: {
		/** How many requests an upstream queues for each of its slots. */
		readonly queuePerSlot: number;
	};
	/** The time limit of a graceful shutdown, in milliseconds. */
	readonly graceMilliseconds: number;
};

/** The retry budget of all instances together. */
export type RetryBudgetSettings = {
	/** Retries allowed, as a fraction of a service's requests. */
	readonly ratio: number;
	/** Retries allowed in addition to that fraction, within the window that the budget is counted over. */
	readonly slack: number;
};
