/**
 * The startup settings of a control instance.
 */
import {type Milliseconds, type ZoneName} from '@dogwooddeck/model/identifiers';

/** The settings of a control instance. */
export type ControlSettings = {
	/** Where other instances reach this one, as `IP:port`. It is also the name of its voter. */
	readonly address: string;
	/** The availability zone of this instance. */
	readonly zone: ZoneName;
	/** All availability zones. */
	readonly zones: readonly ZoneName[];
	/** Addresses of control instances at the time the settings were written. */
	readonly seeds: readonly string[];
	/** Whether the whole deployment starts for the first time: the seeds bootstrap the cluster. */
	readonly founding: boolean;
	readonly dataFolder: string;
	/** Number of simultaneous losses of control instances to tolerate; the number of voters is twice that plus one. */
	readonly toleratedLosses: number;
	/** Duration for which an upstream holds its keys after an announcement. */
	readonly holdMilliseconds: Milliseconds;
	/** The maximum number of key ranges that an upstream may hold: each answer to it lists all of them. */
	readonly mostRanges: number;
	/** The maximum fraction by which an upstream's clock may run slow. */
	readonly clockDrift: number;
	/** If set, this instance keeps the room that its zone's upstreams without keys have. It must be the only control instance of its zone. */
	readonly sharedRoom?: {
		/** How many requests an upstream queues for each of its slots. */
		readonly queuePerSlot: number;
	};
};
