/**
 * Runs this instance's role in the election of its availability zone's steward
 * (the instance that distributes routing leases), as supporter, candidate and
 * steward: drives the state machine of `@dogwooddeck/ownership/steward` and
 * performs its effects.
 */
import {monotonicNow} from '@dogwooddeck/clock/monotonic';
import {failure, type Failure, FailureKind} from '@dogwooddeck/model/failure';
import {type MonotonicTime} from '@dogwooddeck/model/identifiers';
import {
	type DelegationRequest, type LeaseAnswer, type LeaseRequest, type SupportAnswer, type SupportRenewal, type SupportRequest,
} from '@dogwooddeck/model/lease';
import {type InstanceRecord} from '@dogwooddeck/model/registry';
import {dispatch, type HandlerTable} from '@dogwooddeck/model/transition';
import {stewardDueAt} from '@dogwooddeck/ownership/due';
import {
	createSteward, isSeated, isSteward, stepSteward,
} from '@dogwooddeck/ownership/steward';
import {type StewardEffect, type StewardEvent, type StewardState} from '@dogwooddeck/ownership/steward-state';
import {type OwnershipState} from '@dogwooddeck/ownership/table';
import {type WithCatchUp} from '@dogwooddeck/wire/methods';
import {err, ok, type Result} from 'true-myth/result';
import {createRecentHolders} from './recent-holders.js';
import {createShareOutbox} from './share-outbox.js';
import {createZoneLimits} from './zone-limits.js';
import {peerTimeoutMilliseconds, type ZoneDependencies} from './zone-dependencies.js';
import {type ZoneView} from './zone-view.js';

/** This instance's steward state machine. */
export type StewardRunner = {
	readonly isSteward: () => boolean;
	readonly isSeated: () => boolean;
	readonly tick: (now: MonotonicTime) => void;
	/** The time at which the next tick is due. */
	readonly dueAt: (now: MonotonicTime) => MonotonicTime;
	/** Called when the instance has applied a newer table. */
	readonly tableChanged: (table: {readonly applied: number; readonly ownership: OwnershipState}) => void;
	readonly handleLeaseRequest: (request: LeaseRequest) => Result<WithCatchUp<LeaseAnswer>, Failure>;
	readonly handleSupportRequest: (request: SupportRequest) => Result<SupportAnswer, Failure>;
	/** Returns the renewed support to piggyback on a lease request to the steward, if the steward requested it. */
	readonly renewSupport: (to: InstanceRecord) => SupportRenewal | undefined;
	/** Called when another instance answered a lease request. */
	readonly leaseAnswered: (answer: LeaseAnswer) => void;
	/** Stops standing for election and renewing. */
	readonly resign: () => void;
};

type EffectOf<Kind extends StewardEffect['kind']> = Extract<StewardEffect, {readonly kind: Kind}>;

function effectOf<Kind extends StewardEffect['kind']>(effects: readonly StewardEffect[], kind: Kind): EffectOf<Kind> | undefined {
	return effects.find((effect): effect is EffectOf<Kind> => effect.kind === kind);
}

/** Answers are returned to the caller of `step` among its effects. */
const returnToCaller = (): void => undefined;

/** Creates the state machine and its effects. `changed` is called after each event. */
export function createStewardRunner(dependencies: ZoneDependencies, zone: ZoneView, changed: () => void): StewardRunner {
	const {self, terms, holder, control, clients, zoneReports} = dependencies;
	const holders = createRecentHolders();
	const shareOutbox = createShareOutbox();
	const zoneLimits = createZoneLimits(self.zone);
	let state: StewardState = createSteward(self, monotonicNow(), terms);

	async function requestSupport({to, sentAt, request}: EffectOf<'askSupport'>): Promise<void> {
		const answer = await clients.call(to.peerAddress, 'support', request, peerTimeoutMilliseconds);
		if (answer.isOk) {
			step({
				kind: 'supportAnswered', now: monotonicNow(), sentAt, answer: answer.value,
			});
		}
	}

	async function requestDelegation(sentAt: MonotonicTime, request: DelegationRequest): Promise<void> {
		const report = zoneReports.take();
		const answer = await control.callLeader('delegate', {...request, report, holders: holders.list(sentAt)});
		if (answer.isErr) {
			zoneReports.restore(report);
			return;
		}

		holder.catchUp(answer.value.catchUp);
		shareOutbox.enqueue(answer.value.answer.shares);
		step({
			kind: 'delegationAnswered', now: monotonicNow(), sentAt, applied: request.applied, answer: answer.value.answer,
		});
	}

	const effects: HandlerTable<StewardEffect, [], void> = {
		askSupport(effect) {
			void requestSupport(effect);
		},
		askDelegation({sentAt, request}) {
			void requestDelegation(sentAt, request);
		},
		answerSupport: returnToCaller,
		answerLease: returnToCaller,
		renewSupport: returnToCaller,
	};

	function step(event: StewardEvent): readonly StewardEffect[] {
		const next = stepSteward(state, event);
		state = next.state;
		for (const effect of next.effects) {
			dispatch(effects, effect);
		}

		changed();
		return next.effects;
	}

	function notSteward(): Failure {
		const leader = zone.steward()?.name;
		return failure(FailureKind.notLeader, `${self.name} is not the steward of ${self.zone}`, leader === undefined ? {} : {leader});
	}

	function handleLeaseRequest(request: LeaseRequest): Result<WithCatchUp<LeaseAnswer>, Failure> {
		const now = monotonicNow();
		if (!isSteward(state, now)) {
			return err(notSteward());
		}

		const limited = zoneLimits.answer(request.report, holder.state(), state.electedAt!, now);
		zoneReports.merge(limited.report);
		shareOutbox.enqueue(limited.shares);
		holders.record(request.instance, now);
		const answer = effectOf(step({kind: 'leaseRequested', now, request}), 'answerLease')?.answer;
		return answer === undefined
			? err(failure(FailureKind.notReady, `${self.name} can't grant a lease now`))
			: ok({answer: {...answer, shares: shareOutbox.take(request.instance)}, catchUp: holder.catchUpAfter(request.applied)});
	}

	function handleSupportRequest(request: SupportRequest): Result<SupportAnswer, Failure> {
		const answer = effectOf(step({kind: 'supportRequested', now: monotonicNow(), request}), 'answerSupport')?.answer;
		if (answer === undefined) {
			return err(failure(FailureKind.notReady, `${self.name} can't answer a support request now`));
		}

		zone.recordSteward(answer.supported?.name);
		return ok(answer);
	}

	return {
		isSteward: () => isSteward(state, monotonicNow()),
		isSeated: () => isSeated(state),
		tick(now) {
			step({kind: 'ticked', now});
		},
		dueAt: now => stewardDueAt(state, now),
		tableChanged({applied, ownership}) {
			step({
				kind: 'tableChanged', now: monotonicNow(), applied, table: ownership,
			});
		},
		handleLeaseRequest,
		handleSupportRequest,
		renewSupport: to => effectOf(step({kind: 'leaseSent', now: monotonicNow(), to}), 'renewSupport')?.renewal,
		leaseAnswered(answer) {
			step({kind: 'leaseAnswered', now: monotonicNow(), answer});
		},
		resign() {
			step({kind: 'resigned', now: monotonicNow()});
		},
	};
}
