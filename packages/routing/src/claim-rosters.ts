/**
 * Tracks the rosters whose holders must still be queried. A replaced roster is forgotten
 * only on evidence: one of the two holders of each operation has reported that all of
 * its records are copied to the holders by the newest roster, or the whole lifetime of
 * a record has passed since the roster went out of use.
 */
import {
	type InstanceIdentity, type LogIndex, type Milliseconds, type MonotonicTime, sameInstance,
} from '@dogwooddeck/model/identifiers';
import {type ClaimRoster, type ClaimSeat} from './claim.js';

/** A roster, and which of its seats have not reported their records as copied. */
export type TrackedRoster = {
	readonly roster: ClaimRoster;
	/** The seats that have not reported, since the roster was replaced, that their records are copied. */
	readonly unsettled: readonly ClaimSeat[];
	/** The time since when every live instance has applied a newer roster. */
	readonly outOfUseSince?: MonotonicTime;
};

/** The rosters by which an instance queries holders, as it sends them to an instance that starts. */
export type ClaimsView = {
	/** The index of the newest roster of the sender. */
	readonly newest: LogIndex;
	readonly earlier: ReadonlyArray<{readonly roster: ClaimRoster; readonly unsettled: readonly ClaimSeat[]}>;
};

/** An instance's report on the copies of its records. */
export type CopyReport = {
	readonly seat: InstanceIdentity;
	/** The index of the requester's newest roster when it requested the report. */
	readonly requesterRosterIndex: LogIndex;
	/** The index of the roster whose holders have acknowledged copies of all its records; 0 while an acknowledgement is missing. */
	readonly copiedThrough: LogIndex;
};

/** Starts to track a new roster. */
export function trackRoster(roster: ClaimRoster): TrackedRoster {
	return {roster, unsettled: roster.seats};
}

/** Whether an operation may have holders of which none has reported its records as copied. */
function hasUnsettledHolders({roster, unsettled}: TrackedRoster): boolean {
	const zones = (seats: readonly ClaimSeat[]) => new Set(seats.map(({zone}) => zone)).size;
	return zones(unsettled) >= Math.min(2, zones(roster.seats)) && unsettled.length > 0;
}

function withoutSettledRosters([newest, ...earlier]: readonly TrackedRoster[]): readonly TrackedRoster[] {
	return newest === undefined ? [] : [newest, ...earlier.filter(tracked => hasUnsettledHolders(tracked))];
}

/**
 * Applies a report. It counts for the newest roster alone, and only if it was requested
 * after that roster was applied: an older report may miss records that were copied to
 * the instance afterwards, by holders that have reported since.
 */
export function applyReport(rosters: readonly TrackedRoster[], {seat, requesterRosterIndex, copiedThrough}: CopyReport): readonly TrackedRoster[] {
	const [newest, ...earlier] = rosters;
	if (newest === undefined || newest.roster.seats.length === 0 || requesterRosterIndex !== newest.roster.index || copiedThrough !== requesterRosterIndex) {
		return rosters;
	}

	const settled = earlier.map(tracked => ({...tracked, unsettled: tracked.unsettled.filter(other => !sameInstance(other, seat))}));
	return withoutSettledRosters([newest, ...settled]);
}

/** Marks the rosters that every live instance has replaced, and forgets those marked a lifetime ago. */
export function expireRosters(rosters: readonly TrackedRoster[], now: MonotonicTime, acknowledged: LogIndex, lifetimeMilliseconds: Milliseconds): readonly TrackedRoster[] {
	const [newest, ...earlier] = rosters;
	if (newest === undefined) {
		return [];
	}

	const marked = earlier.map((tracked, position) => {
		const replacedAt = position === 0 ? newest.roster.index : earlier[position - 1]!.roster.index;
		return tracked.outOfUseSince === undefined && replacedAt <= acknowledged ? {...tracked, outOfUseSince: now} : tracked;
	});
	return [newest, ...marked.filter(tracked => tracked.outOfUseSince === undefined || now - tracked.outOfUseSince < lifetimeMilliseconds)];
}

/** Returns the seats of earlier rosters whose reports are missing. */
export function unsettledSeats(rosters: readonly TrackedRoster[]): readonly ClaimSeat[] {
	const seats = rosters.slice(1).flatMap(tracked => tracked.unsettled);
	return seats.filter((seat, position) => seats.findIndex(other => sameInstance(other, seat)) === position);
}

/** Returns the view to send to an instance that starts. */
export function createView([newest, ...earlier]: readonly TrackedRoster[]): ClaimsView | undefined {
	return newest === undefined ? undefined : {newest: newest.roster.index, earlier: earlier.map(({roster, unsettled}) => ({roster, unsettled}))};
}

/** Replaces the earlier rosters by the view of another instance if both have the same newest roster; returns undefined if not. */
export function adoptView(rosters: readonly TrackedRoster[], view: ClaimsView): readonly TrackedRoster[] | undefined {
	const [newest] = rosters;
	return newest?.roster.index === view.newest ? withoutSettledRosters([newest, ...view.earlier]) : undefined;
}

/** Returns how long the holders by a roster must still be queried at most. */
export function remainingQueryTime(tracked: TrackedRoster, now: MonotonicTime, lifetimeMilliseconds: Milliseconds): Milliseconds {
	return lifetimeMilliseconds - (tracked.outOfUseSince === undefined ? 0 : now - tracked.outOfUseSince);
}
