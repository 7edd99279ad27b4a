/**
 * Follows one service's ownership table for the users' measures: time without
 * an owner, moves, and how evenly keys are divided.
 */
import {
	type Assignment, AssignmentPhase, assignmentsInUse, type ServiceAssignments,
} from '@dogwooddeck/model/assignment';
import {
	incarnationKey, type Milliseconds, type MonotonicTime, type Slot, type UpstreamIdentity,
} from '@dogwooddeck/model/identifiers';
import {imbalance} from './load.js';
import {type OwnershipFigures} from './report.js';

type Place = {
	readonly assignment: Assignment;
	/** The last owner, while the place is in use. Absent: it had none yet. */
	readonly lastOwner?: string;
	/** Since when a place that had an owner has none. */
	readonly withoutOwnerSince?: MonotonicTime;
};

/** What was seen of one service. */
export type Followed = {
	readonly service: ServiceAssignments['service'];
	/** The places that keys use, by slot. */
	readonly places: ReadonlyMap<Slot, Place>;
	/** The ended times without an owner, summed over slots. */
	readonly unavailableMilliseconds: Milliseconds;
	readonly moves: number;
};

/** How long an owner had been silent when it was judged lost. 0: it was not lost. */
export type SilenceOf = (owner: UpstreamIdentity) => Milliseconds;

/** A service of which nothing was seen yet. */
export function createFollowed(service: ServiceAssignments['service']): Followed {
	return {
		service, places: new Map(), unavailableMilliseconds: 0, moves: 0,
	};
}

function ownerOf(assignment: Assignment): string | undefined {
	return assignment.phase === AssignmentPhase.granted ? incarnationKey(assignment.owner) : undefined;
}

/** A lost owner served nothing from its last sign of life on, not only from the revocation on. */
function lostSince(before: Place | undefined, silenceOf: SilenceOf, now: MonotonicTime): MonotonicTime {
	return before?.assignment.phase === AssignmentPhase.granted ? now - silenceOf(before.assignment.owner) : now;
}

function followPlace(before: Place | undefined, assignment: Assignment, silenceOf: SilenceOf, now: MonotonicTime): Place {
	const owner = ownerOf(assignment);
	const lastOwner = owner ?? before?.lastOwner;
	if (owner !== undefined || lastOwner === undefined) {
		return lastOwner === undefined ? {assignment} : {assignment, lastOwner};
	}

	return {assignment, lastOwner, withoutOwnerSince: before?.withoutOwnerSince ?? lostSince(before, silenceOf, now)};
}

function ended(before: Place | undefined, after: Place, now: MonotonicTime): Milliseconds {
	const since = before?.withoutOwnerSince;
	return since === undefined || after.withoutOwnerSince !== undefined ? 0 : now - since;
}

function isMove(before: Place | undefined, after: Place): boolean {
	return before?.lastOwner !== undefined && before.lastOwner !== after.lastOwner;
}

/** A service's table at one moment. The service has `slots` slots. */
export type SeenTable = {readonly table: ServiceAssignments; readonly slots: number; readonly silenceOf: SilenceOf};

/** Takes in the table as it is now. A place that no key uses any more is forgotten. */
export function follow(followed: Followed, {table, slots, silenceOf}: SeenTable, now: MonotonicTime): Followed {
	const places = new Map<Slot, Place>();
	let {unavailableMilliseconds, moves} = followed;
	for (const assignment of assignmentsInUse(table, slots)) {
		const before = followed.places.get(assignment.slot);
		const after = before?.assignment === assignment ? before : followPlace(before, assignment, silenceOf, now);
		unavailableMilliseconds += ended(before, after, now);
		moves += Number(isMove(before, after));
		places.set(assignment.slot, after);
	}

	return {
		...followed, places, unavailableMilliseconds, moves,
	};
}

function slotsByOwner(places: Iterable<Place>): readonly number[] {
	const counts = new Map<string, number>();
	for (const {assignment} of places) {
		const owner = ownerOf(assignment);
		if (owner !== undefined) {
			counts.set(owner, (counts.get(owner) ?? 0) + 1);
		}
	}

	return [...counts.values()];
}

/** The figures so far; times without an owner that haven't ended count up to now. */
export function figuresOf({service, places, unavailableMilliseconds, moves}: Followed, now: MonotonicTime): OwnershipFigures {
	const open = [...places.values()].reduce((sum, {withoutOwnerSince}) => sum + now - (withoutOwnerSince ?? now), 0);
	const counts = slotsByOwner(places.values());
	return {
		service, unavailableSlotMilliseconds: unavailableMilliseconds + open, moves, slotImbalance: imbalance(counts, counts.length), owners: counts.length,
	};
}
