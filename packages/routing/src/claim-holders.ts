/**
 * Which instances hold a claim: rendezvous hashing over the seats of a roster.
 * Every instance that knows the same roster comes to the same holders.
 */
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

function seatText(seat: ClaimSeat): string {
	return `${seat.name} ${seat.incarnation}`;
}

function sameSeats(one: readonly ClaimSeat[], other: readonly ClaimSeat[]): boolean {
	return one.length === other.length && one.every((seat, position) => seatText(seat) === seatText(other[position]!));
}

/**
 * The holders by the newest roster and by each earlier one. Rosters come newest
 * first and hold every roster that a live instance may have used within a
 * claim's lifetime; groups that are equal to an earlier one of the list are left out.
 */
export function claimHolders(rosters: readonly ClaimRoster[], operation: string, hash: TextHash): ClaimHolders {
	const groups = rosters.map(roster => holdersOf(roster, operation, hash));
	const different = groups.filter((group, position) => groups.findIndex(other => sameSeats(other, group)) === position);
	return {current: different[0] ?? [], earlier: different.slice(1)};
}
