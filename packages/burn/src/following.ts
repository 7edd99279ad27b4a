/**
 * Tracks one service's ownership table for the users' metrics: time without an
 * owner, moves, and how evenly keys are distributed over upstreams.
 */
import {
	type Assignment, AssignmentPhase, assignmentsInUse, type ServiceAssignments,
} from '@dogwooddeck/model/assignment';
import {
	incarnationKey, type Milliseconds, type MonotonicTime, type Slot, type UpstreamIdentity,
} from '@dogwooddeck/model/identifiers';
import {imbalance} from './load.js';
import {type OwnershipFigures} from './report.js';

type SlotState = {
	readonly assignment: Assignment;
	/** The last owner, while the slot is in use. Absent if it had none yet. */
	readonly lastOwner?: string;
	/** When a slot that had an owner became unowned. Absent while it has an owner. */
	readonly withoutOwnerSince?: MonotonicTime;
};

/** The state of the ownership tracker of one service. */
export type Followed = {
	readonly service: ServiceAssignments['service'];
	/** The state of each slot that keys use. */
	readonly slotStates: ReadonlyMap<Slot, SlotState>;
	/** The completed times without an owner, summed over slots. */
	readonly unavailableMilliseconds: Milliseconds;
	readonly moves: number;
};

/** Returns how long an owner had been without contact when it was declared lost; 0 if it was not lost. */
export type SilenceOf = (owner: UpstreamIdentity) => Milliseconds;

/** The initial state, before the first table is observed. */
export function createFollowed(service: ServiceAssignments['service']): Followed {
	return {
		service, slotStates: new Map(), unavailableMilliseconds: 0, moves: 0,
	};
}

function ownerOf(assignment: Assignment): string | undefined {
	return assignment.phase === AssignmentPhase.granted ? incarnationKey(assignment.owner) : undefined;
}

/** The time from which a slot is unowned. A lost owner served nothing after its last contact, which precedes the revocation. */
function unownedSince(before: SlotState | undefined, silenceOf: SilenceOf, now: MonotonicTime): MonotonicTime {
	return before?.assignment.phase === AssignmentPhase.granted ? now - silenceOf(before.assignment.owner) : now;
}

function nextSlotState(before: SlotState | undefined, assignment: Assignment, silenceOf: SilenceOf, now: MonotonicTime): SlotState {
	const owner = ownerOf(assignment);
	const lastOwner = owner ?? before?.lastOwner;
	if (owner !== undefined || lastOwner === undefined) {
		return lastOwner === undefined ? {assignment} : {assignment, lastOwner};
	}

	return {assignment, lastOwner, withoutOwnerSince: before?.withoutOwnerSince ?? unownedSince(before, silenceOf, now)};
}

function endedMilliseconds(before: SlotState | undefined, after: SlotState, now: MonotonicTime): Milliseconds {
	const since = before?.withoutOwnerSince;
	return since === undefined || after.withoutOwnerSince !== undefined ? 0 : now - since;
}

function isMove(before: SlotState | undefined, after: SlotState): boolean {
	return before?.lastOwner !== undefined && before.lastOwner !== after.lastOwner;
}

/** A service's ownership table at one moment. The service has `slots` slots. */
export type ObservedTable = {readonly table: ServiceAssignments; readonly slots: number; readonly silenceOf: SilenceOf};

/** Updates the state with the current table. Drops slots that no key uses any more. */
export function follow(followed: Followed, {table, slots, silenceOf}: ObservedTable, now: MonotonicTime): Followed {
	const slotStates = new Map<Slot, SlotState>();
	let {unavailableMilliseconds, moves} = followed;
	for (const assignment of assignmentsInUse(table, slots)) {
		const before = followed.slotStates.get(assignment.slot);
		const after = before?.assignment === assignment ? before : nextSlotState(before, assignment, silenceOf, now);
		unavailableMilliseconds += endedMilliseconds(before, after, now);
		moves += Number(isMove(before, after));
		slotStates.set(assignment.slot, after);
	}

	return {
		...followed, slotStates, unavailableMilliseconds, moves,
	};
}

function slotCounts(slotStates: Iterable<SlotState>): readonly number[] {
	const counts = new Map<string, number>();
	for (const {assignment} of slotStates) {
		const owner = ownerOf(assignment);
		if (owner !== undefined) {
			counts.set(owner, (counts.get(owner) ?? 0) + 1);
		}
	}

	return [...counts.values()];
}

/** The figures so far; a time without an owner that is still open counts up to now. */
export function figuresOf({service, slotStates, unavailableMilliseconds, moves}: Followed, now: MonotonicTime): OwnershipFigures {
	const openMilliseconds = [...slotStates.values()].reduce((sum, {withoutOwnerSince}) => sum + now - (withoutOwnerSince ?? now), 0);
	const counts = slotCounts(slotStates.values());
	return {
		service, unavailableSlotMilliseconds: unavailableMilliseconds + openMilliseconds, moves, slotImbalance: imbalance(counts, counts.length), owners: counts.length,
	};
}
