/**
 * Runs the claims (exactly-once records) of non-idempotent operations: exchanges
 * messages between this instance and the holders, and tracks the seated instances.
 */
import {monotonicNow} from '@dogwooddeck/clock/monotonic';
import {pause} from '@dogwooddeck/clock/pause';
import {type Failure} from '@dogwooddeck/model/failure';
import {keptSeatings, type Seating} from '@dogwooddeck/control/state';
import {
	includesInstance, type InstanceIdentity, incarnationKey, type LogIndex, type Milliseconds, type MonotonicTime, sameInstance,
} from '@dogwooddeck/model/identifiers';
import {seatedInstances} from '@dogwooddeck/ownership/table';
import {type ClaimEnded} from '@dogwooddeck/routing/claim';
import {type ClaimsView} from '@dogwooddeck/routing/claim-rosters';
import {
	acknowledgedBy, type AppliedIndexes, recordApplied, seatsBehind, appliedIndexesOf,
} from '@dogwooddeck/routing/applied-indexes';
import {type TextHash} from '@dogwooddeck/routing/text-hash';
import {type ClaimCoordinator, createClaimCoordinator} from '@dogwooddeck/upstream-client/claim-coordinator';
import {type PeerClients} from '@dogwooddeck/wire/client';
import {type Result} from 'true-myth/result';
import {type ClaimReport, readClaimAnswer, readClaimMessage} from './claim-message.js';
import {ClaimPeers} from './claim-peers.js';
import {type ControlHolder} from './control-holder.js';

/** The claims of this instance. */
export type ClaimRunner = {
	readonly claim: ClaimCoordinator['claim'];
	/** Handles a message of another instance, as JSON, and returns the answer as JSON. */
	readonly receive: (body: string) => Result<string, Failure>;
	/** Returns this instance's report of the claims that it holds. */
	readonly report: () => ClaimReport;
	/** Returns the view that is sent to an instance that starts; undefined while rosters may be missing. */
	readonly view: () => ClaimsView | undefined;
	/** For a graceful shutdown: waits until all others have learned that every record of this instance is copied, at most for the given time. */
	readonly handOver: (maximumWait: Milliseconds) => Promise<void>;
	readonly stop: () => void;
};

/** How long a claim is kept. */
export const claimLifetimeMilliseconds: Milliseconds = 3_600_000;
/** The time after which an instance that has lost its seat holds no lease any more. */
const leaseExpiryMilliseconds: Milliseconds = 5000;
const resendDelays: readonly Milliseconds[] = [0, 500, 2000];
const sweepMilliseconds: Milliseconds = 1000;
const handOverPollMilliseconds: Milliseconds = 100;
/** The time after which an instance that has lost its seat has copied its records or is most likely down. */
const copyTimeoutMilliseconds: Milliseconds = 60_000;
/** A report is requested from an instance that is most likely down in one of this many sweeps. */
const sweepsPerFullSweep = 30;
const holderBounds = {records: 200_000, answerBytes: 16_777_216};

/** The number of reports that the sender of a view is still waiting for. */
function missingReports({earlier}: ClaimsView): number {
	return earlier.reduce((sum, {unsettled}) => sum + unsettled.length, 0);
}

/** Starts to track the seated instances and to process claims. */
export function startClaimRunner(self: InstanceIdentity, control: ControlHolder, clients: PeerClients, hash: TextHash): ClaimRunner {
	const recordedAt = new Map<LogIndex, MonotonicTime>();

	const peers = new ClaimPeers(clients);

	let appliedIndexes: AppliedIndexes = new Map();
	let sweeps = 0;

	/** Sends the end of an operation again until it arrives or `resendDelays` is exhausted: answers to a resent operation rely on the recorded end. */
	async function sendUntilDelivered(ended: ClaimEnded): Promise<void> {
		for (const duration of resendDelays) {
			await pause(duration);
			const result = await peers.send(ended);
			if (result.isOk) {
				return;
			}
		}
	}

	const coordinator = createClaimCoordinator({
		self, hash, bounds: holderBounds, lifetimeMilliseconds: claimLifetimeMilliseconds, rosters: [], rostersComplete: true, now: monotonicNow(),
	}, {
		async ask(request) {
			const answer = await peers.send(request);
			return answer.andThen(text => readClaimAnswer(text));
		},
		tell(ended) {
			void sendUntilDelivered(ended);
		},
	}, monotonicNow);

	function otherSeats(): readonly InstanceIdentity[] {
		return (control.state().seatings[0]?.seats ?? []).filter(seat => !sameInstance(seat, self));
	}

	/**
	 * Adopts the view of another instance if both have the same newest roster and the
	 * other one is missing fewer reports. Reports of an instance that is down never arrive.
	 */
	async function requestView(seat: InstanceIdentity): Promise<void> {
		const answer = await peers.view(seat);
		const view = answer.unwrapOr(undefined);
		const {newest, view: own} = coordinator.standing();
		if (view?.newest === newest && (own === undefined || missingReports(view) < missingReports(own))) {
			coordinator.learn({kind: 'view-told', view});
		}
	}

	/** Whether rosters, or reports of instances without a seat, may be missing. */
	function needsView(newest: Seating, now: MonotonicTime): boolean {
		const {view, awaited} = coordinator.standing();
		return view === undefined || (!skipsUnseated(newest, now) && awaited.some(seat => !includesInstance(newest.seats, seat)));
	}

	function requestViews(newest: Seating, now: MonotonicTime): void {
		for (const seat of needsView(newest, now) ? otherSeats() : []) {
			void requestView(seat);
		}
	}

	/** Records that rosters may be missing: the log may have dropped seatings between the last recorded one and these. */
	function recordMissedRosters(seatings: readonly Seating[]): void {
		const oldest = seatings.at(-1)?.index ?? 0;
		if (seatings.length >= keptSeatings && oldest > coordinator.standing().newest) {
			coordinator.learn({kind: 'rosters-missed'});
		}
	}

	function followSeatings(): void {
		const now = monotonicNow();
		const {seatings} = control.state();
		const [newest] = seatings;
		if (newest === undefined || recordedAt.has(newest.index)) {
			return;
		}

		recordMissedRosters(seatings);
		for (const roster of [...seatings].reverse()) {
			if (!recordedAt.has(roster.index)) {
				recordedAt.set(roster.index, now);
				coordinator.learn({kind: 'roster', roster});
			}
		}

		peers.updateAddresses(seatedInstances(control.state().ownership), coordinator.standing().awaited);
		requestViews(newest, now);
	}

	async function requestReport(seat: InstanceIdentity): Promise<void> {
		const requesterRosterIndex = coordinator.standing().newest;
		const report = await peers.report(seat);
		if (report !== undefined) {
			appliedIndexes = recordApplied(appliedIndexes, seat, report.applied);
			coordinator.learn({kind: 'copies-told', report: {seat, requesterRosterIndex, copiedThrough: report.copiedThrough}});
		}
	}

	/** Whether this sweep skips the instances without a seat, which after a while are most likely down. */
	function skipsUnseated(newest: Seating, now: MonotonicTime): boolean {
		return now - (recordedAt.get(newest.index) ?? now) > copyTimeoutMilliseconds && sweeps % sweepsPerFullSweep !== 0;
	}

	/** The instances whose reports are missing. */
	function seatsWithMissingReports(newest: Seating, now: MonotonicTime): readonly InstanceIdentity[] {
		const skips = skipsUnseated(newest, now);
		const awaited = coordinator.standing().awaited.filter(seat => !skips || includesInstance(newest.seats, seat));
		const all = new Map([...seatsBehind(appliedIndexes, newest), ...awaited].map(seat => [incarnationKey(seat), seat]));
		all.delete(incarnationKey(self));
		return [...all.values()];
	}

	/** Returns the index that all seats have applied, and requests missing reports for the next sweep. */
	function updateAcknowledged(newest: Seating, now: MonotonicTime): LogIndex {
		appliedIndexes = recordApplied(appliedIndexesOf(appliedIndexes, newest), self, control.state().applied);
		for (const seat of seatsWithMissingReports(newest, now)) {
			void requestReport(seat);
		}

		const state = coordinator.standing();
		coordinator.learn({kind: 'copies-told', report: {seat: self, requesterRosterIndex: state.newest, copiedThrough: state.copiedThrough}});
		return acknowledgedBy(appliedIndexes, newest);
	}

	function sweep(): void {
		const now = monotonicNow();
		const settled = [...recordedAt].filter(([, at]) => now - at >= leaseExpiryMilliseconds).map(([index]) => index);
		const [newest] = control.state().seatings;
		sweeps += 1;
		coordinator.sweep(newest === undefined ? 0 : Math.min(updateAcknowledged(newest, now), Math.max(0, ...settled)));
		if (newest !== undefined) {
			requestViews(newest, now);
		}
	}

	/** Whether another instance is still waiting for this one's report; false if it doesn't answer. */
	async function isAwaitedBy(seat: InstanceIdentity): Promise<boolean> {
		const answer = await peers.view(seat);
		return answer.isOk && (answer.value === undefined
			|| answer.value.newest < coordinator.standing().newest
			|| answer.value.earlier.some(entry => includesInstance(entry.unsettled, self)));
	}

	control.listen(followSeatings);
	const sweepTimer = setInterval(sweep, sweepMilliseconds);

	return {
		claim(intent, decided) {
			return coordinator.claim(intent, decided);
		},
		receive(body) {
			return readClaimMessage(body).map(message => {
				const answer = coordinator.receive(message);
				return answer === undefined ? '' : JSON.stringify(answer);
			});
		},
		report: () => ({instance: self, applied: control.state().applied, copiedThrough: coordinator.standing().copiedThrough}),
		view: () => coordinator.standing().view,
		async handOver(maximumWait) {
			const deadline = monotonicNow() + maximumWait;
			let isAwaited = true;
			while (isAwaited && monotonicNow() < deadline) {
				const answers = await Promise.all(otherSeats().map(async seat => isAwaitedBy(seat)));
				isAwaited = answers.includes(true);
				await pause(isAwaited ? handOverPollMilliseconds : 0);
			}
		},
		stop() {
			clearInterval(sweepTimer);
		},
	};
}
