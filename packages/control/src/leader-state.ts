/**
 * The volatile state of the leader of control, which isn't in the log. The next
 * leader starts with an empty one.
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
import {type PlanningInputs} from './plan-due.js';

/** The leader's state that isn't in the log. */
export type LeaderState = {
	readonly hash: SlotHash;
	readonly watch: WatchState;
	readonly grantor: GrantorState;
	readonly loads: Readonly<Record<ServiceName, LoadState>>;
	readonly placements: Readonly<Record<ServiceName, PlacementState>>;
	/** The inputs and the due time of the last planning of each service. */
	readonly planningInputs: Readonly<Record<ServiceName, PlanningInputs>>;
	/** The intended next owner of each slot under revocation, by `targetKey`. */
	readonly targets: Readonly<Record<string, UpstreamIdentity>>;
	/** The latest request for a seat (membership in a zone's roster) of each instance. */
	readonly seats: Readonly<Record<InstanceName, SeatRequest>>;
	/** The last contact with each instance. */
	readonly lastContacts: Readonly<Record<InstanceName, MonotonicTime>>;
	readonly sharing: SharingState;
	/** When the pending proposal was made. Absent: none is pending. */
	readonly proposedAt?: MonotonicTime;
};

/** Commands to propose, and the leader's state after proposing them. */
export type Proposals = {
	readonly state: LeaderState;
	readonly commands: readonly ControlCommand[];
};
