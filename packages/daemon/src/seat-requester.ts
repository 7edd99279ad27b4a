/**
 * Requests this instance's seat (its membership in its zone's roster) from the
 * control leader, and the removal of that seat for a graceful shutdown.
 */
import {type Milliseconds, type MonotonicTime} from '@dogwooddeck/model/identifiers';
import {leaseEndsAt} from '@dogwooddeck/ownership/lease';
import {type LeaseRequester} from './lease-requester.js';
import {type StateFetcher} from './state-fetcher.js';
import {type StewardRunner} from './steward-runner.js';
import {type ZoneDependencies} from './zone-dependencies.js';
import {type ZoneView} from './zone-view.js';

/** Requests a seat, or its removal. */
export type SeatRequester = {
	/** Sends a request if one is due. */
	readonly tick: (now: MonotonicTime) => void;
	readonly dueAt: () => MonotonicTime;
	/** Requests the seat's removal, unless it is the zone's only one. */
	readonly leave: () => void;
};

const seatRetryMilliseconds: Milliseconds = 300;

/** Collaborators beside the shared ones of the zone. */
export type SeatRequesterDependencies = {
	readonly zone: ZoneView;
	readonly steward: StewardRunner;
	readonly leaseRequester: LeaseRequester;
	readonly fetcher: StateFetcher;
};

/** Creates a requester that hasn't sent a request yet. */
export function createSeatRequester({self, holder, control}: ZoneDependencies, {zone, steward, leaseRequester, fetcher}: SeatRequesterDependencies): SeatRequester {
	let requestedAt = -Infinity;
	let leaving = false;

	function dueAt(): MonotonicTime {
		const isSeated = steward.isSeated();
		const notBefore = isSeated && !leaving ? leaseEndsAt(leaseRequester.lease()) : -Infinity;
		return isSeated || !leaving ? Math.max(notBefore, requestedAt + seatRetryMilliseconds) : Infinity;
	}

	async function requestSeat(now: MonotonicTime): Promise<void> {
		requestedAt = now;
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
				void requestSeat(now);
			}
		},
		dueAt,
		leave() {
			leaving = zone.members().length > 1;
		},
	};
}
