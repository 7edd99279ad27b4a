/**
 * What an instance saw of an upstream by its own requests.
 */
import {
	type Milliseconds, type ServiceName, type Slot, type UpstreamIdentity,
} from './identifiers.js';

/** Counts since the last report of the same instance. */
export type UpstreamEvidence = {
	readonly upstream: UpstreamIdentity;
	/** Whole answers, errors of the upstream's own application among them. */
	readonly answered: number;
	/** Connections refused or cut, and answers cut short. */
	readonly failed: number;
	/** Requests whose deadline passed without an answer. */
	readonly timedOut: number;
	/** Requests that the upstream refused because it had too much to do. */
	readonly shed: number;
	/** Requests that are in flight now. */
	readonly inFlight: number;
	/** The mean time to a whole answer. */
	readonly meanLatencyMilliseconds: Milliseconds;
};

/** How many requests an instance had for a slot since its last report. */
export type SlotLoad = {
	readonly service: ServiceName;
	readonly slot: Slot;
	readonly requests: number;
};

/** A key that had more than a small share of its service's requests. */
export type KeyLoad = {
	readonly service: ServiceName;
	readonly key: string;
	readonly requests: number;
};
