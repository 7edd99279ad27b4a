/**
 * Chooses the holders of a claim by rendezvous hashing over the seats of a roster.
 * Every instance computes the same holders from the same roster.
 */
import {includesInstance, type Milliseconds, sameInstance} from '@dogwooddeck/model/identifiers';
import {type TrackedRoster} from './claim-rosters.js';
import {type ClaimRoster, type ClaimSeat} from './claim.js';
import {type TextHash} from './text-hash.js';

/** The holders that a claimant queries, by the rosters that may be in use. */
export type ClaimHolders = {
	/** Two instances in different availability zones; both must record the claim. */
	readonly current: readonly ClaimSeat[];
	/** One group for each earlier roster; one of each group must have no record of the operation. */
	readonly earlier: ReadonlyArray<readonly ClaimSeat[]>;
};

type ScoredSeat = {readonly seat: ClaimSeat; readonly score: number};

function scoreSeat(seat: ClaimSeat, operation: string, hash: TextHash): ScoredSeat {
	return {seat, score: hash(`${operation} ${seat.name} ${seat.incarnation}`)};
}

function byScore(one: ScoredSeat, other: ScoredSeat): number {
	return other.score - one.score || (one.seat.name < other.seat.name ? -1 : 1);
}

/**
 * Returns the two holders of an operation: the seat with the highest score, and the
 * highest one in another availability zone. With a single zone, only the first.
 */
export function holdersOf(roster: ClaimRoster, operation: string, hash: TextHash): readonly ClaimSeat[] {
	const seats = roster.seats.map(seat => scoreSeat(seat, operation, hash)).sort(byScore).map(entry => entry.seat);
	const [first] = seats;
	const second = seats.find(seat => seat.zone !== first?.zone);
	return [first, second].filter(seat => seat !== undefined);
}

function sameSeats(one: readonly ClaimSeat[], other: readonly ClaimSeat[]): boolean {
	return one.length === other.length && one.every((seat, position) => sameInstance(seat, other[position]!));
}

function mustBeQueried(tracked: TrackedRoster, group: readonly ClaimSeat[]): boolean {
	return group.every(seat => includesInstance(tracked.unsettled, seat));
}

/**
 * Returns the holders by the newest roster and by each earlier one. Rosters are ordered
 * newest first. A group is left out if it equals one before it, or if one of its
 * members has reported that its records are copied.
 */
export function claimHolders(rosters: readonly TrackedRoster[], operation: string, hash: TextHash): ClaimHolders {
	const groups = rosters
		.map((tracked, position) => ({tracked, position, group: holdersOf(tracked.roster, operation, hash)}))
		.filter(({tracked, position, group}) => position === 0 || mustBeQueried(tracked, group))
		.map(({group}) => group);
	const different = groups.filter((group, position) => groups.findIndex(other => sameSeats(other, group)) === position);
	return {current: different[0] ?? [], earlier: different.slice(1)};
}

/**
 * Returns the longest time for which an operation stays refused because all of its
 * holders by an earlier roster have lost their seats; undefined if there is no such
 * roster.
 */
export function refusalTime(rosters: readonly TrackedRoster[], holders: ClaimHolders, remaining: (tracked: TrackedRoster) => Milliseconds): Milliseconds | undefined {
	const seats = rosters[0]?.roster.seats ?? [];
	const lost = holders.earlier.filter(group => !group.some(seat => includesInstance(seats, seat)));
	const queried = rosters.slice(1).filter(tracked => lost.some(group => mustBeQueried(tracked, group)));
	return queried.length === 0 ? undefined : Math.max(...queried.map(tracked => remaining(tracked)));
}
