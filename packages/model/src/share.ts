/**
 * The messages that divide a contracted limit among instances: what an instance
 * would use, and what it may use. Control divides one part of a limit among all
 * instances, and each zone's steward divides the zone's reserve among the
 * instances of the zone.
 */
import {type Milliseconds, type ServiceName} from './identifiers.js';

/** The role that divides a part of a limit. */
export const Divider = {
	/** The leader of control, for the whole deployment. */
	control: 'control',
	/** The steward of the holder's zone, also while the zone is partitioned from control. */
	zone: 'zone',
} as const;

/** One of the dividers. */
export type Divider = (typeof Divider)[keyof typeof Divider];

/** An instance's request for a share of one limit. */
export type LimitDemand = {
	readonly service: ServiceName;
	readonly limit: string;
	/** The caller that the limit applies to; empty if all callers share it. */
	readonly caller: string;
	/** The role that the request is sent to. */
	readonly divider: Divider;
	/** The incarnation of the requesting instance. */
	readonly holder: string;
	/** Increases with each demand of the holder. */
	readonly sequence: number;
	/** What it would use of the divider's part, in counted quantities per interval. */
	readonly wanted: number;
	/** The divider's share that is in force at the holder; 0 if there is none. */
	readonly held: number;
	/** The greater of `held` and the use within the last window under the shares of all dividers together, expressed as a share. */
	readonly usable: number;
};

/** The part of a limit that a holder may use until the share ends. */
export type LimitShare = {
	readonly service: ServiceName;
	readonly limit: string;
	readonly caller: string;
	readonly holder: string;
	/** The demand that this answers. */
	readonly sequence: number;
	/** In counted quantities per interval. */
	readonly amount: number;
	/** How long the share is valid, from when the demand was made. */
	readonly validMilliseconds: Milliseconds;
};
