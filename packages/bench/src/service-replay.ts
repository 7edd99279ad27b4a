/**
 * One service under one policy, as a replay goes through a trace.
 */
import {type SlotHash} from '@dogwooddeck/placement/hash';
import {type PlacementState} from '@dogwooddeck/placement/input';
import {type LoadReport, type LoadState} from '@dogwooddeck/placement/load';
import {type Detection, type RegistryChange} from './detection.js';
import {type Measures} from './measures.js';
import {type Ownership} from './ownership.js';
import {type Planner} from './policies.js';
import {type Random} from './random.js';
import {type ServiceShape, type Trace} from './trace.js';
import {type TrafficSource} from './traffic.js';

/** How often loads are reported and optional moves are planned, in seconds. */
export const stepSeconds = 5;

type LateReport = {readonly arrivesAt: number; readonly report: LoadReport};

/** One service under one policy. */
export type ServiceReplay = {
	readonly trace: Trace;
	readonly service: ServiceShape;
	readonly detection: Detection;
	readonly traffic: TrafficSource;
	readonly ownership: Ownership;
	readonly planner: Planner;
	readonly random: Random;
	readonly hash: SlotHash;
	measures: Measures;
	loads: LoadState;
	/** Reports of loads that are under way to control, the earliest first. */
	underWay: readonly LateReport[];
	state: PlacementState;
	registry: RegistryChange;
	/** Requests that each life has answered, by service, name and incarnation. */
	readonly answered: Record<string, number>;
};
