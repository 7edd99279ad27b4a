/**
 * What the leader of control knows beside the log, and what it proposes. The
 * state is volatile: the next leader begins anew.
 */
import {type SharingState} from '@dogwooddeck/limits/sharing';
import {type WatchState} from '@dogwooddeck/membership/watch';
import {
	type InstanceName, type MonotonicTime, type ServiceName, type UpstreamIdentity,
} from '@dogwooddeck/model/identifiers';
import {type SeatRequest} from '@dogwooddeck/model/lease';
import {type GrantorState} from '@dogwooddeck/ownership/grantor';
import {type SlotHash} from '@dogwooddeck/placement/hash';
import {type LoadState} from '@dogwooddeck/placement/load';
import {type PlacementState} from '@dogwooddeck/placement/input';
import {type ControlCommand} from './command.js';
import {type ServiceLook} from './plan-due.js';

/** What the leader knows beside the log. */
export type LeaderState = {
	readonly hash: SlotHash;
	readonly watch: WatchState;
	readonly grantor: GrantorState;
	readonly loads: Readonly<Record<ServiceName, LoadState>>;
	readonly placements: Readonly<Record<ServiceName, PlacementState>>;
	/** The last look at each service. */
	readonly looks: Readonly<Record<ServiceName, ServiceLook>>;
	/** The next owner that a slot under revocation is meant for, by `targetKey`. */
	readonly targets: Readonly<Record<string, UpstreamIdentity>>;
	/** The instances that ask for a seat. */
	readonly seats: Readonly<Record<InstanceName, SeatRequest>>;
	/** When each instance was last heard of. */
	readonly heard: Readonly<Record<InstanceName, MonotonicTime>>;
	readonly sharing: SharingState;
	/** Since when a proposal is under way. Absent: none is. */
	readonly proposedAt?: MonotonicTime;
};

/** Commands and the state that remembers having proposed them. */
export type Proposals = {
	readonly state: LeaderState;
	readonly commands: readonly ControlCommand[];
};
