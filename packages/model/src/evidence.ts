/**
 * What an instance observes through its own requests: the health of upstreams, and the load of slots and keys.
 */
import {
	type Milliseconds, type ServiceName, type Slot, type UpstreamIdentity,
} from './identifiers.js';

/** Counts of an instance's requests to one upstream since the instance's last report. */
export type UpstreamEvidence = {
	readonly upstream: UpstreamIdentity;
	/** Complete answers, including errors of the upstream's own application. */
	readonly answered: number;
	/** Connections that were refused or broken, and truncated answers. */
	readonly failed: number;
	/** Requests whose deadline passed without an answer. */
	readonly timedOut: number;
	/** Requests that the upstream refused because it was overloaded. */
	readonly shed: number;
	/** Requests that are in flight now. */
	readonly inFlight: number;
	/** The mean latency of complete answers. */
	readonly meanLatencyMilliseconds: Milliseconds;
};

/** The number of requests that an instance received for a slot since its last report. */
export type SlotLoad = {
	readonly service: ServiceName;
	readonly slot: Slot;
	readonly requests: number;
};

/** The number of requests for a key that received more than a small share of its service's requests. */
export type KeyLoad = {
	readonly service: ServiceName;
	readonly key: string;
	readonly requests: number;
};
