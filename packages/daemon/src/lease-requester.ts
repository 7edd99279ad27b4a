/**
 * Obtains and renews this instance's routing lease from its zone's steward.
 */
import {failure, type Failure, FailureKind} from '@dogwooddeck/model/failure';
import {type LogIndex, type Milliseconds, type MonotonicTime} from '@dogwooddeck/model/identifiers';
import {type LeaseAnswer, type LeaseRequest} from '@dogwooddeck/model/lease';
import {type InstanceRecord} from '@dogwooddeck/model/registry';
import {
	applyLeaseAnswer, createLease, type LeaseState, requestDueAt, recordLeaseRequest,
} from '@dogwooddeck/ownership/lease';
import {type WithCatchUp} from '@dogwooddeck/wire/methods';
import {err, type Result} from 'true-myth/result';
import {type StewardRunner} from './steward-runner.js';
import {peerTimeoutMilliseconds, type ZoneDependencies} from './zone-dependencies.js';
import {type ZoneView} from './zone-view.js';

/** Requests routing leases. */
export type LeaseRequester = {
	/** The current routing lease. */
	readonly lease: () => LeaseState;
	/** Updates the drained index from the requests in flight, and requests a lease if one is due. */
	readonly tick: (now: MonotonicTime) => void;
	readonly dueAt: (now: MonotonicTime) => MonotonicTime;
};

/** The interval between checks of the requests in flight while the instance drains. */
const drainPollMilliseconds: Milliseconds = 20;
/** The delay before the next request for a lease or a share that wasn't granted. */
const retryMilliseconds: Milliseconds = 60;

/** Creates a requester that holds no lease. `changed` is called after each answer. */
export function createLeaseRequester(dependencies: ZoneDependencies, zone: ZoneView, steward: StewardRunner, changed: () => void): LeaseRequester {
	const {self, terms, holder, clients, inFlightTracker} = dependencies;
	let lease: LeaseState = createLease(terms);
	let drained: LogIndex = 0;
	let isRequesting = false;
	let wasDenied = false;

	async function requestFrom(to: InstanceRecord, request: LeaseRequest): Promise<Result<WithCatchUp<LeaseAnswer>, Failure>> {
		const supportRenewal = steward.renewSupport(to);
		const answer = await clients.call(to.peerAddress, 'renewLease', {...request, ...(supportRenewal && {supportRenewal})}, peerTimeoutMilliseconds);
		if (answer.isOk) {
			steward.leaseAnswered(answer.value.answer);
		} else {
			zone.assumeSteward(zone.memberNamed(answer.error.leader) ?? zone.others().find(({peerAddress}) => peerAddress !== to.peerAddress));
		}

		return answer;
	}

	async function requestFromSteward(request: LeaseRequest): Promise<Result<WithCatchUp<LeaseAnswer>, Failure>> {
		if (steward.isSteward()) {
			return steward.handleLeaseRequest(request);
		}

		const to = zone.steward() ?? zone.others()[0];
		return to === undefined
			? err(failure(FailureKind.unreachable, `no steward of ${self.zone} is known`))
			: requestFrom(to, request);
	}

	function applyAnswer(sentAt: MonotonicTime, {answer, catchUp}: WithCatchUp<LeaseAnswer>): void {
		holder.catchUp(catchUp);
		lease = applyLeaseAnswer(lease, {sentAt, answer});
		dependencies.acceptShares(answer.shares);
		zone.recordSteward(answer.steward.name);
	}

	function nextRequestAt(): MonotonicTime {
		const isRetryDue = wasDenied || dependencies.isWaitingForShares();
		return Math.min(requestDueAt(lease, holder.state().applied, drained), isRetryDue ? lease.sentAt + retryMilliseconds : Infinity);
	}

	async function requestLease(now: MonotonicTime): Promise<void> {
		const {applied} = holder.state();
		isRequesting = true;
		lease = recordLeaseRequest(lease, {now, applied, drained});
		const report = dependencies.ownReports.take();
		const answer = await requestFromSteward({
			instance: self, applied, drained, report,
		});
		isRequesting = false;
		wasDenied = answer.isErr || answer.value.answer.controlMilliseconds === 0;
		if (answer.isOk) {
			applyAnswer(now, answer.value);
		} else {
			dependencies.ownReports.restore(report);
		}

		changed();
	}

	return {
		lease: () => lease,
		tick(now) {
			const table = holder.state();
			drained = inFlightTracker.drainedIndex(table.ownership, table.applied, now);
			if (!isRequesting && now >= nextRequestAt()) {
				void requestLease(now);
			}
		},
		dueAt(now) {
			const drainingAt = drained < holder.state().applied ? now + drainPollMilliseconds : Infinity;
			return Math.min(isRequesting ? Infinity : nextRequestAt(), drainingAt);
		},
	};
}
