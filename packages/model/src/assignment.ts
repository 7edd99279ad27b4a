/**
 * The assignments of slots to upstreams, as recorded in the replicated log.
 */
import {
	type FenceNumber, type LogIndex, type ServiceName, type Slot, type UpstreamIdentity,
} from './identifiers.js';

/** The state of one slot's ownership. */
export const AssignmentPhase = {
	/** The slot has no owner, and no upstream may be sent requests for it. */
	vacant: 'vacant',
	/** One upstream owns the slot. */
	granted: 'granted',
	/** The owner is sent no new requests; evidence is gathered that it has none in flight. */
	revoking: 'revoking',
} as const;

/** One of the phases of an assignment. */
export type AssignmentPhase = (typeof AssignmentPhase)[keyof typeof AssignmentPhase];

/**
 * The unit of ownership: a slot, or a key that was split out of its slot
 * because it is hot. Pinned keys are numbered after the service's slots.
 */
export type Assignment =
	| {readonly phase: typeof AssignmentPhase.vacant; readonly slot: Slot}
	| {readonly phase: typeof AssignmentPhase.granted; readonly slot: Slot; readonly owner: UpstreamIdentity; readonly fence: FenceNumber}
	| {
		readonly phase: typeof AssignmentPhase.revoking;
		readonly slot: Slot;
		readonly owner: UpstreamIdentity;
		readonly fence: FenceNumber;
		/** The log entry that began the revocation. */
		readonly revokedAt: LogIndex;
	};

/** A hot key with its own assignment. */
export type PinnedKey = {
	readonly key: string;
	/** The slot that the key hashes to. */
	readonly home: Slot;
	/** The index of the key's own assignment: at least the service's number of slots. */
	readonly slot: Slot;
};

/** All assignments of one service. Plain data, so that a snapshot is its JSON. */
export type ServiceAssignments = {
	readonly service: ServiceName;
	/** Indexed by slot. */
	readonly assignments: readonly Assignment[];
	readonly pinned: readonly PinnedKey[];
};

/**
 * The assignments that keys use: those of all slots and of pinned keys. When a
 * key is unpinned, its assignment stays in the list, vacant, until another key
 * reuses it; it needs no owner meanwhile.
 */
export function assignmentsInUse({assignments, pinned}: ServiceAssignments, slots: number): readonly Assignment[] {
	const places = new Set(pinned.map(({slot}) => slot));
	return assignments.filter(({slot}) => slot < slots || places.has(slot));
}
