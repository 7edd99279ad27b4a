/**
 * What a plan proposes: grants, moves, and hot keys to split out of their slots.
 */
import {type Slot, type UpstreamIdentity} from '@dogwooddeck/model/identifiers';
import {type PlacementState} from './input.js';

/** Why a slot is taken from its owner. */
export const MoveReason = {
	/** The owner was lost, or its record is gone. */
	lost: 'lost',
	/** The owner is leaving. */
	leaving: 'leaving',
	/** The owner stands in a zone that may no longer own keys. */
	zone: 'zone',
	/** The owner has more than its share. */
	balance: 'balance',
	/** The slot's requests come from another region. */
	locality: 'locality',
	/** A pinned key is no longer hot and goes back to its slot's owner. */
	unpin: 'unpin',
} as const;

/** One of the reasons. */
export type MoveReason = (typeof MoveReason)[keyof typeof MoveReason];

/** A vacant slot and its next owner. */
export type PlannedGrant = {
	readonly slot: Slot;
	readonly owner: UpstreamIdentity;
};

/** A revocation, and the owner that the slot is meant for afterwards. */
export type PlannedMove = {
	readonly slot: Slot;
	readonly from: UpstreamIdentity;
	/** Absent: nobody can take the slot now. */
	readonly to?: UpstreamIdentity;
	readonly reason: MoveReason;
};

/** A key to split out of its slot. It starts with its slot's owner. */
export type PlannedPin = {
	readonly key: string;
	readonly home: Slot;
};

/** A pinned key to put back in its slot. Both have the same owner. */
export type PlannedUnpin = {
	readonly key: string;
	/** The pinned key's own slot. */
	readonly slot: Slot;
};

/** What to propose for one service. */
export type PlacementPlan = {
	readonly grants: readonly PlannedGrant[];
	readonly moves: readonly PlannedMove[];
	readonly pins: readonly PlannedPin[];
	readonly unpins: readonly PlannedUnpin[];
	readonly state: PlacementState;
};
