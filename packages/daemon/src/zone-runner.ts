/**
 * Runs this instance's membership in its availability zone: requests a seat and
 * routing leases, supports a steward, and acts as the steward when elected.
 */
import {startDueTimer} from '@dogwooddeck/clock/due';
import {monotonicNow} from '@dogwooddeck/clock/monotonic';
import {type Failure} from '@dogwooddeck/model/failure';
import {type InstanceName, type MonotonicTime} from '@dogwooddeck/model/identifiers';
import {
	type LeaseAnswer, type LeaseRequest, type SupportAnswer, type SupportRequest,
} from '@dogwooddeck/model/lease';
import {holdsLease, type LeaseState} from '@dogwooddeck/ownership/lease';
import {EventName} from '@dogwooddeck/telemetry/event';
import {type WithCatchUp} from '@dogwooddeck/wire/methods';
import {type Result} from 'true-myth/result';
import {createLeaseRequester} from './lease-requester.js';
import {createSeatRequester} from './seat-requester.js';
import {createStateFetcher} from './state-fetcher.js';
import {createStewardRunner} from './steward-runner.js';
import {createZoneNotices} from './zone-notices.js';
import {type ZoneDependencies} from './zone-dependencies.js';
import {createZoneView} from './zone-view.js';

/** This instance's membership in its zone. */
export type ZoneRunner = {
	/** The current routing lease. */
	readonly lease: () => LeaseState;
	readonly holdsLease: () => boolean;
	readonly isSteward: () => boolean;
	readonly isSeated: () => boolean;
	readonly steward: () => InstanceName | undefined;
	readonly handleLeaseRequest: (request: LeaseRequest) => Result<WithCatchUp<LeaseAnswer>, Failure>;
	readonly handleSupportRequest: (request: SupportRequest) => Result<SupportAnswer, Failure>;
	/** Called with another instance's applied index. Fetches if this one is behind. */
	readonly handleNotice: (applied: number) => void;
	/** Called when a request starts to wait for the next lease; reschedules the timer. */
	readonly rearmTimer: () => void;
	/** For a graceful shutdown: stops standing for election, and requests the seat's removal unless it is the zone's only one. */
	readonly leave: () => void;
	readonly stop: () => void;
};

/** Returns a function that calls `changed` when its argument differs from that of the last call, initially `false`. */
function onChange(changed: (value: boolean) => void): (value: boolean) => void {
	let last = false;
	return value => {
		if (value !== last) {
			last = value;
			changed(value);
		}
	};
}

/** Starts the runner and its timer. */
export function startZone(dependencies: ZoneDependencies): ZoneRunner {
	const {self, holder, clients, log} = dependencies;
	const arm = () => {
		timer.arm();
	};

	const zone = createZoneView(self, holder);
	const fetcher = createStateFetcher(holder, clients);
	const steward = createStewardRunner(dependencies, zone, arm);
	const leaseRequester = createLeaseRequester(dependencies, zone, steward, arm);
	const seatRequester = createSeatRequester(dependencies, {
		zone, steward, leaseRequester, fetcher,
	});
	const notices = createZoneNotices(dependencies, {zone, steward, fetcher});
	const logStewardChange = onChange(isSteward => {
		log.event(isSteward ? EventName.stewardStarted : EventName.stewardEnded, {zone: self.zone});
	});
	const logLeaseChange = onChange(hasLease => {
		log.event(hasLease ? EventName.leaseGained : EventName.leaseLost, {applied: holder.state().applied});
	});

	holder.listen(table => {
		steward.tableChanged(table);
		notices.send(table.applied);
	});

	function tick(): void {
		const now = monotonicNow();
		steward.tick(now);
		logStewardChange(steward.isSteward());
		logLeaseChange(holdsLease(leaseRequester.lease(), now));
		seatRequester.tick(now);
		leaseRequester.tick(now);
	}

	function dueAt(now: MonotonicTime): MonotonicTime {
		return Math.min(steward.dueAt(now), leaseRequester.dueAt(now), seatRequester.dueAt());
	}

	const timer = startDueTimer({dueAt, run: tick});

	return {
		lease: leaseRequester.lease,
		holdsLease: () => holdsLease(leaseRequester.lease(), monotonicNow()),
		isSteward: steward.isSteward,
		isSeated: steward.isSeated,
		steward: () => steward.isSteward() ? self.name : zone.steward()?.name,
		handleLeaseRequest: steward.handleLeaseRequest,
		handleSupportRequest: steward.handleSupportRequest,
		handleNotice: notices.receive,
		rearmTimer: arm,
		leave() {
			seatRequester.leave();
			steward.resign();
		},
		stop: timer.stop,
	};
}
