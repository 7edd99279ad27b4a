/**
 * Asks control to seat this instance in its zone's roster, or to take its seat
 * away for a planned stop.
 */
import {type Milliseconds, type MonotonicTime} from '@dogwooddeck/model/identifiers';
import {leaseEndsAt} from '@dogwooddeck/ownership/lease';
import {type LeaseAsker} from './lease-asker.js';
import {type StateFetcher} from './state-fetcher.js';
import {type StewardRunner} from './steward-runner.js';
import {type ZoneSurroundings} from './zone-surroundings.js';
import {type ZoneView} from './zone-view.js';

/** Asks for seats. */
export type SeatAsker = {
	/** Asks if it is time to. */
	readonly tick: (now: MonotonicTime) => void;
	readonly dueAt: () => MonotonicTime;
	/** Gives the seat up, unless it is the zone's only one. */
	readonly leave: () => void;
};

const seatMilliseconds: Milliseconds = 300;

/** What an asker needs beside the surroundings. */
export type SeatParts = {
	readonly zone: ZoneView;
	readonly steward: StewardRunner;
	readonly leases: LeaseAsker;
	readonly fetcher: StateFetcher;
};

/** Makes an asker that hasn't asked yet. */
export function createSeatAsker({self, holder, control}: ZoneSurroundings, {zone, steward, leases, fetcher}: SeatParts): SeatAsker {
	let askedAt = -Infinity;
	let leaving = false;

	function dueAt(): MonotonicTime {
		const isSeated = steward.isSeated();
		const from = isSeated && !leaving ? leaseEndsAt(leases.lease()) : -Infinity;
		return isSeated || !leaving ? Math.max(from, askedAt + seatMilliseconds) : Infinity;
	}

	async function ask(now: MonotonicTime): Promise<void> {
		askedAt = now;
		const answer = await control.callLeader('seat', {instance: self, applied: holder.state().applied, leaving});
		if (answer.isOk) {
			holder.catchUp(answer.value);
			return;
		}

		await fetcher.fetchFrom(zone.others()[0]?.peerAddress);
	}

	return {
		tick(now) {
			if (now >= dueAt()) {
				void ask(now);
			}
		},
		dueAt,
		leave() {
			leaving = zone.members().length > 1;
		},
	};
}
