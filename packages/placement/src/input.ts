/**
 * Everything that a plan is made from.
 */
import {type ServiceAssignments} from '@dogwooddeck/model/assignment';
import {type ServiceContract} from '@dogwooddeck/model/contract';
import {type MonotonicTime, type Slot, type ZoneName} from '@dogwooddeck/model/identifiers';
import {type UpstreamRecord} from '@dogwooddeck/model/registry';
import {type LoadRates} from './load.js';
import {type PlacementPolicy} from './policy.js';

/** An upstream that may own slots. */
export type PlacementUpstream = {
	readonly record: UpstreamRecord;
	/** When this life joined. Absent: it joined long ago. */
	readonly joinedAt?: MonotonicTime;
};

/** A key that had more than a small share of its service's requests. */
export type HotKey = {
	readonly key: string;
	/** The slot that the key hashes to. */
	readonly home: Slot;
	/** Smoothed requests a second. */
	readonly rate: number;
};

/** What one plan hands on to the next of the same leader. */
export type PlacementState = {
	/** Optional moves that may be made now. */
	readonly tokens: number;
	readonly refilledAt: MonotonicTime;
	/** Whether optional moves have begun, and go on down to the target. */
	readonly isBalancing: boolean;
	/** When slots were last moved without need. Entries older than the policy's cooldown are dropped. */
	readonly movedAt: Readonly<Record<Slot, MonotonicTime>>;
};

/** Everything that a plan for one service is made from. */
export type PlacementInput = {
	readonly now: MonotonicTime;
	readonly contract: ServiceContract;
	readonly assignments: ServiceAssignments;
	readonly upstreams: readonly PlacementUpstream[];
	readonly loads: LoadRates;
	readonly hotKeys: readonly HotKey[];
	/** How many of the service's upstreams come and go in a short while. */
	readonly flapping: number;
	/** Zones that control can't reach: nothing is granted to their upstreams, and nothing optional is taken from them. */
	readonly unreachableZones: readonly ZoneName[];
	readonly state: PlacementState;
	/** Absent: the policy of the contract's weight. */
	readonly policy?: PlacementPolicy;
};
