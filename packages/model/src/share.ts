/**
 * How a contracted limit is divided: what an instance would use, and what it
 * may use. Control divides one part of a limit over all instances, each zone's
 * steward the zone's reserve over the instances of the zone.
 */
import {type Milliseconds, type ServiceName} from './identifiers.js';

/** Who divides a part of a limit. */
export const Divider = {
	/** The leader of control, for the whole deployment. */
	control: 'control',
	/** The steward of the holder's zone, also while the zone is cut off. */
	zone: 'zone',
} as const;

/** One of the dividers. */
export type Divider = (typeof Divider)[keyof typeof Divider];

/** What an instance asks for of one limit. */
export type LimitDemand = {
	readonly service: ServiceName;
	readonly limit: string;
	/** The caller that the limit holds for; empty where all callers share it. */
	readonly caller: string;
	/** Who is asked. */
	readonly divider: Divider;
	/** One life of the instance that asks. */
	readonly holder: string;
	/** Grows with each demand of the holder. */
	readonly sequence: number;
	/** What it would use of the divider's part, in counted things an interval. */
	readonly wanted: number;
	/** The divider's share that is in force at the holder; 0 where none is. */
	readonly held: number;
	/** The greater of `held` and what was used within the last window, of all dividers' shares together, as a share. */
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
	/** In counted things an interval. */
	readonly amount: number;
	/** How long the share holds, from when the demand was made. */
	readonly validMilliseconds: Milliseconds;
};
