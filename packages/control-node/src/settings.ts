/**
 * What a control instance is told when it starts.
 */
import {type Milliseconds, type ZoneName} from '@dogwooddeck/model/identifiers';

/** The settings of a control instance. */
export type ControlSettings = {
	/** Where other instances reach this one, as `IP:port`. It is also the name of its voter. */
	readonly address: string;
	/** The availability zone that it stands in. */
	readonly zone: ZoneName;
	/** Where control instances were reachable when the settings were written. */
	readonly seeds: readonly string[];
	/** The whole deployment starts for the first time: the seeds found the cluster. */
	readonly founding: boolean;
	readonly dataFolder: string;
	/** The losses of control instances that are borne at once; twice as many and one vote. */
	readonly toleratedLosses: number;
	/** How long an upstream holds its keys after an announcement. */
	readonly holdMilliseconds: Milliseconds;
	/** The ranges of keys that an upstream may hold at most: all of them are listed in each answer to it. */
	readonly mostRanges: number;
	/** How much slower than true an upstream's clock may run, as a share. */
	readonly clockDrift: number;
};
