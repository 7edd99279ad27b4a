/**
 * The types of the planner's input, and of the state that is kept between plans.
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
	/** When this incarnation joined. Absent: it joined long ago. */
	readonly joinedAt?: MonotonicTime;
};

/** A key that received more than a small share of its service's requests. */
export type HotKey = {
	readonly key: string;
	/** The slot that the key hashes to. */
	readonly home: Slot;
	/** Smoothed requests per second. */
	readonly rate: number;
};

/** The state that is kept from one plan to the next of the same leader. */
export type PlacementState = {
	/** The move budget: how many optional moves may be made now. */
	readonly tokens: number;
	readonly refilledAt: MonotonicTime;
	/** Whether optional moves have begun and continue until scores are down to the target. */
	readonly isBalancing: boolean;
	/** When slots were last moved by an optional move. Entries older than the policy's cooldown are dropped. */
	readonly movedAt: Readonly<Record<Slot, MonotonicTime>>;
};

/** The complete input of a plan for one service. */
export type PlacementInput = {
	readonly now: MonotonicTime;
	readonly contract: ServiceContract;
	readonly assignments: ServiceAssignments;
	readonly upstreams: readonly PlacementUpstream[];
	readonly loads: LoadRates;
	readonly hotKeys: readonly HotKey[];
	/** The number of the service's upstreams that come and go within a short time. */
	readonly flapping: number;
	/** Zones that control can't reach: their upstreams are granted no slots and lose none by optional moves. */
	readonly unreachableZones: readonly ZoneName[];
	readonly state: PlacementState;
	/** Absent: the policy of the contract's weight. */
	readonly policy?: PlacementPolicy;
};
