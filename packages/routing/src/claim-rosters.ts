/**
 * The rosters whose holders are still asked. A roster that was replaced is
 * forgotten on evidence alone: one of the two holders of each operation has told
 * that all of its records are copied to the holders by the newest roster, or a
 * record's whole lifetime has passed since the roster went out of use.
 */
import {
	type InstanceIdentity, type LogIndex, type Milliseconds, type MonotonicTime, sameInstance,
} from '@dogwooddeck/model/identifiers';
import {type ClaimRoster, type ClaimSeat} from './claim.js';

/** A roster, and what is known of the records that its holders keep. */
export type KnownRoster = {
	readonly roster: ClaimRoster;
	/** The seats that have not told, since the roster was replaced, that their records are copied. */
	readonly unsettled: readonly ClaimSeat[];
	/** Since when every live instance knows a newer one. */
	readonly outOfUseSince?: MonotonicTime;
};

/** The rosters that an instance asks by, as it tells them to one that starts. */
export type ClaimsView = {
	/** The newest roster that the view was made with. */
	readonly newest: LogIndex;
	readonly earlier: ReadonlyArray<{readonly roster: ClaimRoster; readonly unsettled: readonly ClaimSeat[]}>;
};

/** What an instance told of its records. */
export type CopyReport = {
	readonly seat: InstanceIdentity;
	/** The newest roster that was known when the instance was asked. */
	readonly asked: LogIndex;
	/** The roster whose holders have answered copies of all its records; 0 while some are missing. */
	readonly copiedThrough: LogIndex;
};

/** A roster that has just become known. */
export function knownRoster(roster: ClaimRoster): KnownRoster {
	return {roster, unsettled: roster.seats};
}

/** Whether some operation may have holders none of which has told that its records are copied. */
function hasUnsettledHolders({roster, unsettled}: KnownRoster): boolean {
	const zones = (seats: readonly ClaimSeat[]) => new Set(seats.map(({zone}) => zone)).size;
	return zones(unsettled) >= Math.min(2, zones(roster.seats)) && unsettled.length > 0;
}

function withoutSettled([newest, ...earlier]: readonly KnownRoster[]): readonly KnownRoster[] {
	return newest === undefined ? [] : [newest, ...earlier.filter(known => hasUnsettledHolders(known))];
}

/**
 * Takes in a report. It counts for the newest roster alone, and only if it was
 * asked for since that became known: an older report may leave out records that
 * were copied to the instance after it, by holders that are settled since.
 */
export function afterReport(rosters: readonly KnownRoster[], {seat, asked, copiedThrough}: CopyReport): readonly KnownRoster[] {
	const [newest, ...earlier] = rosters;
	if (newest === undefined || newest.roster.seats.length === 0 || asked !== newest.roster.index || copiedThrough !== asked) {
		return rosters;
	}

	const settled = earlier.map(known => ({...known, unsettled: known.unsettled.filter(other => !sameInstance(other, seat))}));
	return withoutSettled([newest, ...settled]);
}

/** Marks the rosters that every live instance has replaced, and forgets those that were marked a lifetime ago. */
export function afterTime(rosters: readonly KnownRoster[], now: MonotonicTime, acknowledged: LogIndex, lifetimeMilliseconds: Milliseconds): readonly KnownRoster[] {
	const [newest, ...earlier] = rosters;
	if (newest === undefined) {
		return [];
	}

	const marked = earlier.map((known, position) => {
		const replacedAt = position === 0 ? newest.roster.index : earlier[position - 1]!.roster.index;
		return known.outOfUseSince === undefined && replacedAt <= acknowledged ? {...known, outOfUseSince: now} : known;
	});
	return [newest, ...marked.filter(known => known.outOfUseSince === undefined || now - known.outOfUseSince < lifetimeMilliseconds)];
}

/** The seats whose reports are missing. */
export function unsettledSeats(rosters: readonly KnownRoster[]): readonly ClaimSeat[] {
	const seats = rosters.slice(1).flatMap(known => known.unsettled);
	return seats.filter((seat, position) => seats.findIndex(other => sameInstance(other, seat)) === position);
}

/** What an instance that starts is told. */
export function viewOf([newest, ...earlier]: readonly KnownRoster[]): ClaimsView | undefined {
	return newest === undefined ? undefined : {newest: newest.roster.index, earlier: earlier.map(({roster, unsettled}) => ({roster, unsettled}))};
}

/** Takes over the view of another instance, as a whole, if both know the same newest roster; undefined if not. */
export function adopted(rosters: readonly KnownRoster[], view: ClaimsView): readonly KnownRoster[] | undefined {
	const [newest] = rosters;
	return newest?.roster.index === view.newest ? withoutSettled([newest, ...view.earlier]) : undefined;
}

/** How long a group of holders is asked from now at most. */
export function remainingOf(known: KnownRoster, now: MonotonicTime, lifetimeMilliseconds: Milliseconds): Milliseconds {
	return lifetimeMilliseconds - (known.outOfUseSince === undefined ? 0 : now - known.outOfUseSince);
}
