/**
 * What an entry instance is told when it starts.
 */
import {type RegionName, type ZoneName} from '@dogwooddeck/model/identifiers';

/** An address to listen at. */
export type ListenAddress = {readonly host: string; readonly port: number};

/** The names of the header fields by which callers, entries and upstreams understand each other; all in lower case. */
export type FieldNames = {
	/** Names a request; upstreams echo it. */
	readonly requestIdentifier: string;
	/** The milliseconds that the caller will wait. */
	readonly deadline: string;
	/** The upstream that a request is meant for; others refuse it. */
	readonly expectedUpstream: string;
	/** Only an upstream's own answer has it. */
	readonly stamp: string;
	/** The upstream did not run the request. */
	readonly notRun: string;
	/** The key of a request of a keyed service: a whole number. */
	readonly key: string;
};

/** The settings of an entry instance. */
export type EntrySettings = {
	readonly name: string;
	readonly zone: ZoneName;
	/** The region of each zone. */
	readonly regions: Readonly<Record<ZoneName, RegionName>>;
	readonly callers: ListenAddress;
	readonly readiness: ListenAddress & {readonly path: string};
	/** Where control instances were reachable when the settings were written. */
	readonly seeds: readonly string[];
	readonly fields: FieldNames;
	readonly retries: RetryTerms;
	/** A planned stop ends within this time, in milliseconds. */
	readonly graceMilliseconds: number;
};

/** The budget of requests that are sent again, over all instances together. */
export type RetryTerms = {
	/** The share of a service's requests. */
	readonly ratio: number;
	/** Requests that may be sent again beside that share, within the window that the budget is counted over. */
	readonly slack: number;
};
