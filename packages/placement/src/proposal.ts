/**
 * The proposals of a plan: grants, moves, and hot keys to pin or unpin.
 */
import {type Slot, type UpstreamIdentity} from '@dogwooddeck/model/identifiers';
import {type PlacementState} from './input.js';

/** Why a slot is revoked from its owner. */
export const MoveReason = {
	/** The owner was lost, or its record was removed. */
	lost: 'lost',
	/** The owner is leaving. */
	leaving: 'leaving',
	/** The owner is in a zone that may no longer own keys. */
	zone: 'zone',
	/** The owner has more than its share. */
	balance: 'balance',
	/** The slot's requests come from another region. */
	locality: 'locality',
	/** A pinned key is no longer hot and returns to the owner of its home slot. */
	unpin: 'unpin',
} as const;

export type MoveReason = (typeof MoveReason)[keyof typeof MoveReason];

/** A vacant slot and its next owner. */
export type PlannedGrant = {
	readonly slot: Slot;
	readonly owner: UpstreamIdentity;
};

/** A revocation, and the owner that the slot is intended for afterwards. */
export type PlannedMove = {
	readonly slot: Slot;
	readonly from: UpstreamIdentity;
	/** Absent: no upstream can own the slot now. */
	readonly to?: UpstreamIdentity;
	readonly reason: MoveReason;
};

/** A key to split out of its slot. Its first owner is that of its slot. */
export type PlannedPin = {
	readonly key: string;
	readonly home: Slot;
};

/** A pinned key to return to its slot. Both have the same owner. */
export type PlannedUnpin = {
	readonly key: string;
	/** The pinned key's own slot. */
	readonly slot: Slot;
};

/** The proposals for one service, and the state for its next plan. */
export type PlacementPlan = {
	readonly grants: readonly PlannedGrant[];
	readonly moves: readonly PlannedMove[];
	readonly pins: readonly PlannedPin[];
	readonly unpins: readonly PlannedUnpin[];
	readonly state: PlacementState;
};
