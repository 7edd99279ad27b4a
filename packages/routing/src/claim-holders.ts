/**
 * Which instances hold a claim: rendezvous hashing over the seats of a roster.
 * Every instance that knows the same roster comes to the same holders.
 */
import {includesInstance, type Milliseconds, sameInstance} from '@dogwooddeck/model/identifiers';
import {type KnownRoster} from './claim-rosters.js';
import {type ClaimRoster, type ClaimSeat} from './claim.js';
import {type TextHash} from './text-hash.js';

/** Whom a claimant asks, by the rosters that may be in use. */
export type ClaimHolders = {
	/** Must all record the claim: two instances in different availability zones. */
	readonly current: readonly ClaimSeat[];
	/** One group for each earlier roster; one of each group must know nothing of the operation. */
	readonly earlier: ReadonlyArray<readonly ClaimSeat[]>;
};

type ScoredSeat = {readonly seat: ClaimSeat; readonly score: number};

function scored(seat: ClaimSeat, operation: string, hash: TextHash): ScoredSeat {
	return {seat, score: hash(`${operation} ${seat.name} ${seat.incarnation}`)};
}

function byScore(one: ScoredSeat, other: ScoredSeat): number {
	return other.score - one.score || (one.seat.name < other.seat.name ? -1 : 1);
}

/**
 * The two holders of an operation: the seat with the highest score, and the
 * highest one in another availability zone. With one zone alone: just the first.
 */
export function holdersOf(roster: ClaimRoster, operation: string, hash: TextHash): readonly ClaimSeat[] {
	const seats = roster.seats.map(seat => scored(seat, operation, hash)).sort(byScore).map(entry => entry.seat);
	const [first] = seats;
	const second = seats.find(seat => seat.zone !== first?.zone);
	return [first, second].filter(seat => seat !== undefined);
}

function sameSeats(one: readonly ClaimSeat[], other: readonly ClaimSeat[]): boolean {
	return one.length === other.length && one.every((seat, position) => sameInstance(seat, other[position]!));
}

function isAsked(known: KnownRoster, group: readonly ClaimSeat[]): boolean {
	return group.every(seat => includesInstance(known.unsettled, seat));
}

/**
 * The holders by the newest roster and by each earlier one. Rosters come newest
 * first. A group is left out if it is equal to one that comes before, or if one
 * of it has told that its records are copied.
 */
export function claimHolders(rosters: readonly KnownRoster[], operation: string, hash: TextHash): ClaimHolders {
	const groups = rosters
		.map((known, position) => ({known, position, group: holdersOf(known.roster, operation, hash)}))
		.filter(({known, position, group}) => position === 0 || isAsked(known, group))
		.map(({group}) => group);
	const different = groups.filter((group, position) => groups.findIndex(other => sameSeats(other, group)) === position);
	return {current: different[0] ?? [], earlier: different.slice(1)};
}

/**
 * How long an operation stays refused at most because all of its holders by an
 * earlier roster have lost their seats; undefined if that is so of none.
 */
export function refusedFor(rosters: readonly KnownRoster[], holders: ClaimHolders, remaining: (known: KnownRoster) => Milliseconds): Milliseconds | undefined {
	const seats = rosters[0]?.roster.seats ?? [];
	const lost = holders.earlier.filter(group => !group.some(seat => includesInstance(seats, seat)));
	const asked = rosters.slice(1).filter(known => lost.some(group => isAsked(known, group)));
	return asked.length === 0 ? undefined : Math.max(...asked.map(known => remaining(known)));
}
