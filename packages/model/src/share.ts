/**
 * How a contracted limit is divided: what an instance would use, and what it may use.
 */
import {type Milliseconds, type ServiceName} from './identifiers.js';

/** What a holder of a share asked for since its last report. */
export type LimitDemand = {
	readonly service: ServiceName;
	readonly limit: string;
	/** The caller that the limit holds for; empty where all callers share it. */
	readonly caller: string;
	/** The rate of what was asked for, admitted or not, in units an interval. */
	readonly wanted: number;
};

/** The part of a limit that a holder may use until the share ends. */
export type LimitShare = {
	readonly service: ServiceName;
	readonly limit: string;
	readonly caller: string;
	/** In units an interval. */
	readonly amount: number;
	/** How long the share holds, from when it was asked for. */
	readonly validMilliseconds: Milliseconds;
};
