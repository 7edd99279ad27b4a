/**
 * Asks the zone's steward for this instance's routing lease, again and again.
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
import {peerMilliseconds, type ZoneSurroundings} from './zone-surroundings.js';
import {type ZoneView} from './zone-view.js';

/** Asks for leases. */
export type LeaseAsker = {
	/** The routing lease as it stands. */
	readonly lease: () => LeaseState;
	/** Looks at what is in flight, and asks if it is time to. */
	readonly tick: (now: MonotonicTime) => void;
	readonly dueAt: (now: MonotonicTime) => MonotonicTime;
};

/** The pause between two looks at what is in flight while the instance drains. */
const drainMilliseconds: Milliseconds = 20;
/** The pause before a lease is asked for again that wasn't given. */
const lackingMilliseconds: Milliseconds = 60;
/** Makes an asker that holds no lease. `changed` is called after each answer. */
export function createLeaseAsker(surroundings: ZoneSurroundings, zone: ZoneView, steward: StewardRunner, changed: () => void): LeaseAsker {
	const {self, terms, holder, clients, flights} = surroundings;
	let lease: LeaseState = createLease(terms);
	let drained: LogIndex = 0;
	let asking = false;
	let lacking = false;

	async function askOther(to: InstanceRecord, request: LeaseRequest): Promise<Result<WithCatchUp<LeaseAnswer>, Failure>> {
		const supportRenewal = steward.renewSupport(to);
		const answer = await clients.call(to.peerAddress, 'renewLease', {...request, ...(supportRenewal && {supportRenewal})}, peerMilliseconds);
		if (answer.isOk) {
			steward.leaseAnswered(answer.value.answer);
		} else {
			zone.guessSteward(zone.memberNamed(answer.error.leader) ?? zone.others().find(({peerAddress}) => peerAddress !== to.peerAddress));
		}

		return answer;
	}

	async function askSteward(request: LeaseRequest): Promise<Result<WithCatchUp<LeaseAnswer>, Failure>> {
		if (steward.isSteward()) {
			return steward.takeLeaseRequest(request);
		}

		const to = zone.steward() ?? zone.others()[0];
		return to === undefined
			? err(failure(FailureKind.unreachable, `no steward of ${self.zone} is known`))
			: askOther(to, request);
	}

	function take(sentAt: MonotonicTime, {answer, catchUp}: WithCatchUp<LeaseAnswer>): void {
		holder.catchUp(catchUp);
		lease = applyLeaseAnswer(lease, {sentAt, answer});
		surroundings.takeShares(answer.shares);
		zone.heardOfSteward(answer.steward.name);
	}

	function askingDueAt(): MonotonicTime {
		const isLacking = lacking || surroundings.lacksShares();
		return Math.min(requestDueAt(lease, holder.state().applied, drained), isLacking ? lease.sentAt + lackingMilliseconds : Infinity);
	}

	async function ask(now: MonotonicTime): Promise<void> {
		const {applied} = holder.state();
		asking = true;
		lease = recordLeaseRequest(lease, {now, applied, drained});
		const report = surroundings.ownReports.take();
		const answer = await askSteward({
			instance: self, applied, drained, report,
		});
		asking = false;
		lacking = answer.isErr || answer.value.answer.controlMilliseconds === 0;
		if (answer.isOk) {
			take(now, answer.value);
		} else {
			surroundings.ownReports.restore(report);
		}

		changed();
	}

	return {
		lease: () => lease,
		tick(now) {
			const table = holder.state();
			drained = flights.drainedIndex(table.ownership, table.applied, now);
			if (!asking && now >= askingDueAt()) {
				void ask(now);
			}
		},
		dueAt(now) {
			const drainingAt = drained < holder.state().applied ? now + drainMilliseconds : Infinity;
			return Math.min(asking ? Infinity : askingDueAt(), drainingAt);
		},
	};
}
