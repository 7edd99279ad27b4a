/**
 * Runs this instance's part in its availability zone: it asks for a seat and
 * for routing leases, supports a steward, and is the steward when its turn comes.
 */
import {startDueTimer} from '@dogwooddeck/clock/due';
import {monotonicNow} from '@dogwooddeck/clock/monotonic';
import {failure, type Failure, FailureKind} from '@dogwooddeck/model/failure';
import {
	type InstanceIdentity, type InstanceName, type LogIndex, type Milliseconds, type MonotonicTime,
} from '@dogwooddeck/model/identifiers';
import {
	type DelegationRequest, type LeaseAnswer, type LeaseRequest, type SupportAnswer, type SupportRenewal, type SupportRequest,
} from '@dogwooddeck/model/lease';
import {type InstanceRecord} from '@dogwooddeck/model/registry';
import {type LimitShare} from '@dogwooddeck/model/share';
import {dispatch, type HandlerTable} from '@dogwooddeck/model/transition';
import {type Flights} from '@dogwooddeck/ownership/drain';
import {stewardDueAt} from '@dogwooddeck/ownership/due';
import {
	answered, createLease, holdsLease, leaseEnd, type LeaseState, requestDueAt, requestSent,
} from '@dogwooddeck/ownership/lease';
import {
	createSteward, isSeated, isSteward, type StewardEffect, type StewardEvent, type StewardState, stepSteward,
} from '@dogwooddeck/ownership/steward';
import {seatedInstances} from '@dogwooddeck/ownership/table';
import {type LeaseTerms} from '@dogwooddeck/ownership/terms';
import {EventName} from '@dogwooddeck/telemetry/event';
import {type Log} from '@dogwooddeck/telemetry/log';
import {type PeerClients} from '@dogwooddeck/wire/client';
import {type WithCatchUp} from '@dogwooddeck/wire/methods';
import {err, ok, type Result} from 'true-myth/result';
import {type ControlHolder} from './control-holder.js';
import {type ControlRunner} from './control-runner.js';
import {type ReportCollector} from './report-collector.js';
import {createSharePost} from './share-post.js';

/** This instance's part in its zone. */
export type ZoneRunner = {
	/** The routing lease as it stands. */
	readonly lease: () => LeaseState;
	readonly holdsLease: () => boolean;
	readonly isSteward: () => boolean;
	readonly isSeated: () => boolean;
	readonly steward: () => InstanceName | undefined;
	readonly takeLeaseRequest: (request: LeaseRequest) => Promise<Result<WithCatchUp<LeaseAnswer>, Failure>>;
	readonly takeSupportRequest: (request: SupportRequest) => Promise<Result<SupportAnswer, Failure>>;
	/** Another instance has applied this much: fetch what is new. */
	readonly takeNotice: (applied: number) => void;
	/** A request begins to wait for what the next lease brings. */
	readonly look: () => void;
	/** A planned stop: stand no more, and give the seat up unless it is the zone's only one. */
	readonly leave: () => void;
	readonly stop: () => void;
};

/** What the runner needs. */
export type ZoneSurroundings = {
	readonly self: InstanceRecord;
	readonly terms: LeaseTerms;
	readonly holder: ControlHolder;
	readonly control: ControlRunner;
	readonly clients: PeerClients;
	readonly flights: Flights;
	/** What this instance saw. */
	readonly ownReports: ReportCollector;
	/** What this instance passes on as steward. */
	readonly zoneReports: ReportCollector;
	readonly takeShares: (shares: readonly LimitShare[]) => void;
	/** Whether a request waits for the share of a limit. */
	readonly lacksShares: () => boolean;
	readonly log: Log;
};

/** The pause between two looks at what is in flight while the instance drains. */
const drainMilliseconds: Milliseconds = 20;
const peerMilliseconds: Milliseconds = 500;
const seatMilliseconds: Milliseconds = 300;
const holderMilliseconds: Milliseconds = 2000;
/** The pause before a lease is asked for again that wasn't given. */
const lackingMilliseconds: Milliseconds = 60;

/** Starts the runner. */
export function startZone(surroundings: ZoneSurroundings): ZoneRunner {
	const {self, terms, holder, control, clients, flights, log} = surroundings;
	let state: StewardState = createSteward(self, monotonicNow(), terms);
	let lease: LeaseState = createLease(terms);
	let steward: InstanceRecord | undefined;
	let seatAskedAt = -Infinity;
	let asking = false;
	let lacking = false;
	let fetching = false;
	let wasSteward = false;
	let hadLease = false;
	let leaving = false;
	let drained: LogIndex = 0;
	const notified = new Map<InstanceName, number>();
	const sharePost = createSharePost();
	const leaseAskers = new Map<InstanceName, {readonly instance: InstanceRecord; readonly at: MonotonicTime}>();

	function zoneMembers(): readonly InstanceRecord[] {
		return holder.state().ownership.rosters[self.zone]?.members ?? [];
	}

	function memberNamed(name: InstanceName | undefined): InstanceRecord | undefined {
		return zoneMembers().find(member => member.name === name);
	}

	let leaseAnswer: LeaseAnswer | undefined;
	let supportAnswer: SupportAnswer | undefined;
	let supportRenewal: SupportRenewal | undefined;

	async function askSupport(to: InstanceRecord, sentAt: MonotonicTime, request: SupportRequest): Promise<void> {
		const answer = await clients.call(to.peerAddress, 'support', request, peerMilliseconds);
		if (answer.isOk) {
			step({
				kind: 'supportAnswered', now: monotonicNow(), sentAt, answer: answer.value,
			});
		}
	}

	function recentHolders(now: MonotonicTime): readonly InstanceIdentity[] {
		const recent = [...leaseAskers.values()].filter(({at}) => now - at < holderMilliseconds);
		return recent.map(({instance}) => ({name: instance.name, incarnation: instance.incarnation}));
	}

	async function askDelegation(sentAt: MonotonicTime, request: DelegationRequest): Promise<void> {
		const report = surroundings.zoneReports.take();
		const answer = await control.callLeader('delegate', {...request, report, holders: recentHolders(sentAt)});
		if (answer.isErr) {
			return;
		}

		holder.catchUp(answer.value.catchUp);
		sharePost.put(answer.value.answer.shares);
		step({
			kind: 'delegationAnswered', now: monotonicNow(), sentAt, applied: request.applied, answer: answer.value.answer,
		});
	}

	const effects: HandlerTable<StewardEffect, [], void> = {
		askSupport({to, sentAt, request}) {
			void askSupport(to, sentAt, request);
		},
		answerSupport({answer}) {
			supportAnswer = answer;
		},
		answerLease({answer}) {
			leaseAnswer = answer;
		},
		renewSupport({renewal}) {
			supportRenewal = renewal;
		},
		askDelegation({sentAt, request}) {
			void askDelegation(sentAt, request);
		},
	};

	function step(event: StewardEvent): void {
		const next = stepSteward(state, event);
		state = next.state;
		for (const effect of next.effects) {
			dispatch(effects, effect);
		}

		ticking.arm();
	}

	function noteSteward(now: MonotonicTime): void {
		const isNow = isSteward(state, now);
		if (isNow !== wasSteward) {
			wasSteward = isNow;
			log.event(isNow ? EventName.stewardStarted : EventName.stewardEnded, {zone: self.zone});
		}
	}

	function noteLease(now: MonotonicTime): void {
		const hasNow = holdsLease(lease, now);
		if (hasNow !== hadLease) {
			hadLease = hasNow;
			log.event(hasNow ? EventName.leaseGained : EventName.leaseLost, {applied: holder.state().applied});
		}
	}

	async function takeLeaseRequest(request: LeaseRequest): Promise<Result<WithCatchUp<LeaseAnswer>, Failure>> {
		const now = monotonicNow();
		if (!isSteward(state, now)) {
			const leader = steward?.name;
			return err(failure(FailureKind.notLeader, `${self.name} is not the steward of ${self.zone}`, leader === undefined ? {} : {leader}));
		}

		surroundings.zoneReports.merge(request.report);
		leaseAskers.set(request.instance.name, {instance: request.instance, at: now});
		leaseAnswer = undefined;
		step({kind: 'leaseRequested', now, request});
		const answer = leaseAnswer as LeaseAnswer | undefined;
		if (answer === undefined) {
			return err(failure(FailureKind.notReady, `${self.name} gives no lease now`));
		}

		return ok({answer: {...answer, shares: sharePost.take(request.instance)}, catchUp: holder.after(request.applied)});
	}

	/** Renews this instance's support with a lease request, if the steward asked for it. */
	function renewalFor(to: InstanceRecord): SupportRenewal | undefined {
		supportRenewal = undefined;
		step({kind: 'leaseSent', now: monotonicNow(), to});
		return supportRenewal;
	}

	async function askSteward(request: LeaseRequest): Promise<Result<WithCatchUp<LeaseAnswer>, Failure>> {
		if (isSteward(state, monotonicNow())) {
			return takeLeaseRequest(request);
		}

		const others = zoneMembers().filter(member => member.name !== self.name);
		const to = steward ?? others[0];
		if (to === undefined) {
			return err(failure(FailureKind.unreachable, `no steward of ${self.zone} is known`));
		}

		const renewal = renewalFor(to);
		const answer = await clients.call(to.peerAddress, 'renewLease', {...request, ...(renewal && {supportRenewal: renewal})}, peerMilliseconds);
		if (answer.isOk) {
			step({kind: 'leaseAnswered', now: monotonicNow(), answer: answer.value.answer});
		} else {
			const next = memberNamed(answer.error.leader) ?? others.find(member => member.peerAddress !== to.peerAddress);
			steward = next?.name === self.name ? undefined : next;
		}

		return answer;
	}

	function askingDueAt(): MonotonicTime {
		const isLacking = lacking || surroundings.lacksShares();
		return Math.min(requestDueAt(lease, holder.state().applied, drained), isLacking ? lease.sentAt + lackingMilliseconds : Infinity);
	}

	async function renew(now: MonotonicTime): Promise<void> {
		const table = holder.state();
		drained = flights.drained(table.ownership, table.applied, now);
		if (asking || now < askingDueAt()) {
			return;
		}

		asking = true;
		lease = requestSent(lease, {now, applied: table.applied, drained});
		const answer = await askSteward({
			instance: self, applied: table.applied, drained, report: surroundings.ownReports.take(),
		});
		asking = false;
		lacking = answer.isErr || answer.value.answer.controlMilliseconds === 0;
		if (answer.isOk) {
			holder.catchUp(answer.value.catchUp);
			lease = answered(lease, {sentAt: now, answer: answer.value.answer});
			surroundings.takeShares(answer.value.answer.shares);
			steward = memberNamed(answer.value.answer.steward.name) ?? steward;
		}

		ticking.arm();
	}

	function seatDueAt(): MonotonicTime {
		const from = isSeated(state) && !leaving ? leaseEnd(lease) : -Infinity;
		return isSeated(state) || !leaving ? Math.max(from, seatAskedAt + seatMilliseconds) : Infinity;
	}

	async function askSeat(now: MonotonicTime): Promise<void> {
		if (now < seatDueAt()) {
			return;
		}

		seatAskedAt = now;
		const answer = await control.callLeader('seat', {instance: self, applied: holder.state().applied, leaving});
		if (answer.isOk) {
			holder.catchUp(answer.value);
			return;
		}

		await fetchFrom(zoneMembers().find(member => member.name !== self.name)?.peerAddress);
	}

	async function fetchFrom(address: string | undefined): Promise<void> {
		if (address === undefined || fetching) {
			return;
		}

		fetching = true;
		const answer = await clients.call(address, 'fetchState', holder.state().applied, peerMilliseconds);
		fetching = false;
		if (answer.isOk) {
			holder.catchUp(answer.value);
		}
	}

	function notifyZone(applied: number): void {
		if (!isSteward(state, monotonicNow())) {
			return;
		}

		for (const member of zoneMembers()) {
			if (member.name !== self.name && (notified.get(member.name) ?? 0) < applied) {
				notified.set(member.name, applied);
				void clients.call(member.peerAddress, 'notify', applied, peerMilliseconds);
			}
		}
	}

	holder.listen(table => {
		step({
			kind: 'tableChanged', now: monotonicNow(), applied: table.applied, table: table.ownership,
		});
		notifyZone(table.applied);
	});

	function tick(): void {
		const now = monotonicNow();
		step({kind: 'ticked', now});
		noteSteward(now);
		noteLease(now);
		void askSeat(now);
		void renew(now);
	}

	/** When anything here is due. While the instance drains, only a look at what is in flight tells how far it came. */
	function dueAt(now: MonotonicTime): MonotonicTime {
		const drainingAt = drained < holder.state().applied ? now + drainMilliseconds : Infinity;
		return Math.min(stewardDueAt(state, now), asking ? Infinity : askingDueAt(), seatDueAt(), drainingAt);
	}

	const ticking = startDueTimer({dueAt, run: tick});

	return {
		lease: () => lease,
		holdsLease: () => holdsLease(lease, monotonicNow()),
		isSteward: () => isSteward(state, monotonicNow()),
		isSeated: () => isSeated(state),
		steward: () => isSteward(state, monotonicNow()) ? self.name : steward?.name,
		takeLeaseRequest,
		async takeSupportRequest(request) {
			supportAnswer = undefined;
			step({kind: 'supportRequested', now: monotonicNow(), request});
			const answer = supportAnswer as SupportAnswer | undefined;
			if (answer === undefined) {
				return err(failure(FailureKind.notReady, `${self.name} gives no support now`));
			}

			steward = memberNamed(answer.supported?.name) ?? steward;
			return ok(answer);
		},
		takeNotice(applied) {
			if (applied > holder.state().applied) {
				const leader = control.leader();
				const leaderRecord = seatedInstances(holder.state().ownership).find(({name}) => name === leader);
				void fetchFrom(isSteward(state, monotonicNow()) ? leaderRecord?.peerAddress : steward?.peerAddress);
			}
		},
		look: ticking.arm,
		leave() {
			leaving = zoneMembers().length > 1;
			step({kind: 'resigned', now: monotonicNow()});
		},
		stop: ticking.stop,
	};
}
