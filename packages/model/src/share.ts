/**
 * How a contracted limit is divided: what an instance would use, and what it
 * may use. Stewards pass both on; control alone divides.
 */
import {type Milliseconds, type ServiceName} from './identifiers.js';

/** What an instance asks for of one limit. */
export type LimitDemand = {
	readonly service: ServiceName;
	readonly limit: string;
	/** The caller that the limit holds for; empty where all callers share it. */
	readonly caller: string;
	/** One life of the instance that asks. */
	readonly holder: string;
	/** Grows with each demand of the holder. */
	readonly sequence: number;
	/** What it would use, in counted things an interval. */
	readonly wanted: number;
	/** The share that is in force at the holder; 0 where none is. */
	readonly held: number;
	/** The greater of `held` and what was used within the last window, as a share. */
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
