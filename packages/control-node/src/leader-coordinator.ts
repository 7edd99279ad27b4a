/**
 * The work of the leader: records announcements, answers each with the keys that
 * its sender is to hold, accepts declarations, and plans which upstream holds
 * which keys.
 */
import {monotonicNow, wallNow} from '@dogwooddeck/clock/monotonic';
import {pause} from '@dogwooddeck/clock/pause';
import {recordAnnouncement} from '@dogwooddeck/directory/announcement';
import {type ItemChange, definedItems} from '@dogwooddeck/directory/item';
import {isNoOp} from '@dogwooddeck/directory/item-change';
import {planDirectory} from '@dogwooddeck/directory/directory-plan';
import {type DirectoryCommand} from '@dogwooddeck/directory/state';
import {type UpstreamRecord} from '@dogwooddeck/directory/upstream';
import {
	createGrantingState, type GrantingState, type GrantingOptions, lapsedRows, mayHoldUntil, recordAnswer, recordContact, grantedRows, vacatedByAnnouncement,
} from '@dogwooddeck/key-lease/granting';
import {type DominantKey, dominantKeys} from '@dogwooddeck/key-lease/dominant-key';
import {type HeldSpan, rangesOf} from '@dogwooddeck/key-lease/command';
import {type HolderShare, holderShares, sustainableRate} from '@dogwooddeck/key-lease/holder-load';
import {type KeyRate} from '@dogwooddeck/key-lease/planning';
import {
	type KeyRange, type UpstreamIncarnation, incarnationText, rangesHeldBy, sameIncarnation,
} from '@dogwooddeck/key-lease/range';
import {type KeyReport, rowsDigest, rowsToSend} from '@dogwooddeck/key-lease/report';
import {observationOf} from '@dogwooddeck/key-lease/observations';
import {
	type AnnouncementOutcome, type AnnouncementReport, type LoadReport, type MeshCalls,
} from '@dogwooddeck/mesh/calls';
import {failure, FailureKind, type Failure} from '@dogwooddeck/model/failure';
import {type LogIndex, type Milliseconds, type MonotonicTime} from '@dogwooddeck/model/identifiers';
import {EventName} from '@dogwooddeck/telemetry/event';
import {LineBudget} from '@dogwooddeck/telemetry/line-budget';
import {type Log} from '@dogwooddeck/telemetry/log';
import {MeasureName, type Measures} from '@dogwooddeck/telemetry/measure';
import {err, ok, type Result} from 'true-myth/result';
import {type DirectoryHolder, type DirectoryVoter} from './directory-voter.js';
import {longDecayMilliseconds} from './key-counts.js';
import {LoadCounts} from './load-counts.js';
import {createProposalBatcher} from './proposal-batcher.js';
import {createZoneCoordinator} from './zone-coordinator.js';

/** The calls that the leader alone answers. */
export type LeaderCoordinator = {
	readonly announce: (report: AnnouncementReport) => Promise<Result<AnnouncementOutcome, Failure>>;
	readonly depart: (request: MeshCalls['depart']['request']) => Promise<Result<Record<string, never>, Failure>>;
	readonly declare: (request: MeshCalls['declare']['request']) => Promise<Result<{readonly index: LogIndex}, Failure>>;
	readonly orderZone: (request: MeshCalls['orderZone']['request']) => Promise<Result<{readonly index: LogIndex}, Failure>>;
	readonly confirm: () => Promise<Result<{readonly index: LogIndex}, Failure>>;
	readonly reportLoad: (report: LoadReport) => void;
	/** The overloaded upstreams as of the last plan. */
	readonly shares: () => readonly HolderShare[];
	/** Called when this instance becomes leader. */
	readonly begin: () => void;
	/** Called when this instance takes any other role, and when it stops. */
	readonly end: () => void;
};

/** The collaborators and options of the leader coordinator. */
export type LeaderDependencies = {
	readonly holder: DirectoryHolder;
	readonly voter: () => DirectoryVoter;
	readonly terms: GrantingOptions;
	/** The maximum number of key ranges that one upstream may hold. */
	readonly mostRanges: number;
	readonly log: Log;
	readonly measures: Measures;
};

const planIntervalMilliseconds: Milliseconds = 250;

/** Delay from a change that requires a new plan to that plan, which covers all changes received meanwhile. */
const changeBatchMilliseconds: Milliseconds = 30;

/** Announcements received within this window are confirmed by one read round of the log; urgent ones have a shorter window. */
const confirmBatchMilliseconds: Milliseconds = 120;
const urgentBatchMilliseconds: Milliseconds = 10;

const lapseLinesPerSecond = 10;

function spansOf(ranges: readonly KeyRange[], holder: UpstreamIncarnation): readonly HeldSpan[] {
	return ranges.map(({from, to}) => ({from, to, holder}));
}

/** Creates the leader coordinator. */
export function createLeaderCoordinator({holder, voter, terms, mostRanges, log, measures}: LeaderDependencies): LeaderCoordinator {
	let granting: GrantingState = createGrantingState(monotonicNow());
	let loads = new LoadCounts();
	let planTimer: NodeJS.Timeout | undefined;
	let scheduledPlan: NodeJS.Timeout | undefined;
	let isProposing = false;
	/** The pending proposal that vacates keys of holders whose lease expired: no lease may be renewed until its outcome is known. */
	let pendingExpiry: Promise<unknown> | undefined;
	let shares: readonly HolderShare[] = [];
	let joinedAt: MonotonicTime = -Infinity;
	/** Read rounds that have not started yet, by the length of their batching window. */
	const pendingConfirms = new Map<Milliseconds, Promise<Result<LogIndex, Failure>>>();
	/** Pending proposals of item changes, by the JSON of the changes. */
	const pendingDeclarations = new Map<string, Promise<Result<LogIndex, Failure>>>();
	const lapseLines = new LineBudget(lapseLinesPerSecond);
	const propose = createProposalBatcher(async payload => voter().propose(payload));
	const zones = createZoneCoordinator({
		holder, read: async () => voter().read(), propose, schedulePlan, log, measures,
	});

	function isKeyed(service: string): boolean {
		return holder.state().items.service[service]?.value?.keyed ?? false;
	}

	function vacateCommands({service}: UpstreamRecord, keys: KeyReport): readonly DirectoryCommand[] {
		const rows = vacatedByAnnouncement(granting, rangesOf(holder.state().keys, service), keys);
		return rows.length === 0 ? [] : [{kind: 'keysVacated', service, rows}];
	}

	function answerKeys({service}: UpstreamRecord, keys: KeyReport, receivedAt: MonotonicTime): AnnouncementOutcome {
		const {holdMilliseconds} = terms;
		if (!isKeyed(service)) {
			return {holdMilliseconds, keyed: false};
		}

		const {life: incarnation, sequence} = keys;
		const ranges = rangesOf(holder.state().keys, service);
		const rows = grantedRows(ranges, incarnation);
		granting = recordAnswer(granting, {
			holder: incarnation, sequence, receivedAt, index: holder.state().applied,
		}, terms);
		const unreported = rows.filter(({told}) => !told);
		const stopped = rangesHeldBy(ranges, incarnation).filter(({told, releasingSince}) => told && releasingSince !== undefined);
		const commands: readonly DirectoryCommand[] = [
			...(unreported.length === 0 ? [] : [{kind: 'keysTold', service, rows: spansOf(unreported, incarnation)} as const]),
			...(stopped.length === 0 ? [] : [{kind: 'keysStopped', service, rows: spansOf(stopped, incarnation)} as const]),
		];
		if (commands.length > 0) {
			void propose(commands);
		}

		return rowsDigest(rows) === keys.digest ? {holdMilliseconds, keyed: true} : {holdMilliseconds, keyed: true, rows: rowsToSend(ranges, keys)};
	}

	/** Logs and counts keys that were reported to an upstream as held and that it no longer lists. */
	function recordLapse({service}: UpstreamRecord, keys: KeyReport, receivedAt: MonotonicTime): void {
		const lapsed = lapsedRows(granting, rangesOf(holder.state().keys, service), keys);
		if (lapsed.length === 0) {
			return;
		}

		measures.counter(MeasureName.holdsLapsed, {service}).value += 1;
		if (lapseLines.take(receivedAt)) {
			log.warning(EventName.holdLapsed, {
				upstream: keys.life.id,
				born: keys.life.born,
				service,
				sequence: keys.sequence,
				ranges: lapsed.length,
				until: Math.round(mayHoldUntil(granting, keys.life, terms) - receivedAt),
				answered: observationOf(granting.observations, keys.life)?.answered?.sequence,
			});
		}
	}

	async function confirmAfter(milliseconds: Milliseconds): Promise<Result<LogIndex, Failure>> {
		await pause(milliseconds);
		pendingConfirms.delete(milliseconds);
		return voter().read();
	}

	/** Confirms that this instance is still the leader, with one round for all announcements of a batching window: each round crosses regions. */
	async function confirmTogether(isUrgent: boolean): Promise<Result<LogIndex, Failure>> {
		const milliseconds = isUrgent ? urgentBatchMilliseconds : confirmBatchMilliseconds;
		const pending = pendingConfirms.get(milliseconds) ?? confirmAfter(milliseconds);
		pendingConfirms.set(milliseconds, pending);
		return pending;
	}

	async function waitForExpiry(): Promise<Result<unknown, Failure>> {
		if (pendingExpiry === undefined) {
			return ok(undefined);
		}

		await pendingExpiry;
		const confirmed = await voter().read();
		return confirmed.isErr ? confirmed : waitForExpiry();
	}

	/**
	 * Proposes a change unless it is already applied or pending: operators retry a
	 * change when they receive no answer, and each log entry is sent to all instances.
	 */
	async function declareOnce(changes: readonly ItemChange[]): Promise<Result<LogIndex, Failure>> {
		if (isNoOp(holder.state().items, changes)) {
			return voter().read();
		}

		const text = JSON.stringify(changes);
		const pending = pendingDeclarations.get(text) ?? propose([{kind: 'itemsChanged', changes}]);
		pendingDeclarations.set(text, pending);
		const proposed = await pending;
		pendingDeclarations.delete(text);
		return proposed;
	}

	/** The upstream record of an announcement; undefined if the sender's directory was older and the one here records another incarnation. */
	function recordOf({upstream, keys: {life: incarnation}}: AnnouncementReport): UpstreamRecord | undefined {
		const recorded = holder.state().upstreams[incarnation.id];
		return upstream ?? (sameIncarnation(recorded, incarnation) ? recorded : undefined);
	}

	async function announce(report: AnnouncementReport): Promise<Result<AnnouncementOutcome, Failure>> {
		const receivedAt = monotonicNow();
		const {keys, isUrgent} = report;
		const upstream = recordOf(report);
		if (upstream === undefined) {
			return err(failure(FailureKind.notReady, `the directory no longer has a record of ${incarnationText(keys.life)}`));
		}

		const recorded = recordAnnouncement(holder.state(), upstream);
		if (recorded.isErr) {
			return err(recorded.error);
		}

		if (recorded.value.length > 0 && holder.state().upstreams[upstream.id]?.born !== upstream.born) {
			joinedAt = receivedAt;
		}

		recordLapse(upstream, keys, receivedAt);
		granting = recordContact(granting, keys.life, receivedAt, terms);
		const commands = [...recorded.value, ...vacateCommands(upstream, keys)];
		const confirmed = commands.length === 0 ? await confirmTogether(isUrgent) : await propose(commands);
		if (confirmed.isErr) {
			return err(confirmed.error);
		}

		if (commands.length > 0) {
			log.event(EventName.upstreamAnnounced, {
				upstream: upstream.id,
				born: upstream.born,
				service: upstream.service,
				address: upstream.address,
				zone: upstream.zone,
				state: upstream.state,
				sequence: keys.sequence,
				commands: commands.map(({kind}) => kind).join(','),
				index: confirmed.value,
			});
			schedulePlan();
		}

		const settled = await waitForExpiry();
		return settled.map(() => answerKeys(upstream, keys, receivedAt));
	}

	function describeRows(command: DirectoryCommand): string {
		return 'rows' in command ? command.rows.map(({from, to, holder: incarnation}) => `${from}-${to}:${incarnation.id}`).join(',').slice(0, 400) : command.kind;
	}

	async function proposePlan(commands: readonly DirectoryCommand[]): Promise<void> {
		isProposing = true;
		const proposing = propose(commands);
		pendingExpiry = commands.some(({kind}) => kind === 'keysVacated') ? proposing : undefined;
		const proposed = await proposing;
		pendingExpiry = undefined;
		isProposing = false;
		for (const command of commands) {
			log.event(EventName.keysPlanned, {command: command.kind, rows: describeRows(command), index: proposed.unwrapOr(0)});
		}

		if (proposed.isOk) {
			schedulePlan();
		}
	}

	/** Schedules a plan shortly, so that changes in quick succession share one plan. */
	function schedulePlan(): void {
		if (planTimer !== undefined) {
			scheduledPlan ??= setTimeout(() => {
				scheduledPlan = undefined;
				planNow();
			}, changeBatchMilliseconds);
		}
	}

	/** The requests per second that an upstream of a service can process; computed once for each, as it is asked for each key. */
	function sustainableRateOf(service: string, now: MonotonicTime): (upstream: UpstreamIncarnation) => number {
		const {upstreams} = holder.state();
		const meanLatency = loads.meanLatency(service, now);
		const known = new Map<string, number>();
		return ({id}) => {
			const rate = known.get(id) ?? sustainableRate({slots: upstreams[id]?.slots ?? 0, meanLatency, relativeSpeed: loads.speed(id, service, now)});
			known.set(id, rate);
			return rate;
		};
	}

	/** The request rates of a service's keys, the dominant ones among them, and the shares of what is overloaded. */
	function keyLoadOf(service: string, now: MonotonicTime): {readonly rates: readonly KeyRate[]; readonly dominant: readonly DominantKey[]; readonly shares: readonly HolderShare[]} {
		const rates = loads.rates(service, now);
		const ranges = rangesOf(holder.state().keys, service);
		const rateOf = sustainableRateOf(service, now);
		const dominant = dominantKeys(ranges, rates, rateOf);
		return {rates, dominant, shares: holderShares(ranges, rates, rateOf, dominant)};
	}

	function planNow(): void {
		if (isProposing || planTimer === undefined || voter().quorumContactAt(monotonicNow()) === undefined) {
			return;
		}

		const now = monotonicNow();
		const keyed = definedItems(holder.state().items.service).filter(([, {keyed: hasKeys}]) => hasKeys);
		const keyLoads = new Map(keyed.map(([service]) => [service, keyLoadOf(service, now)]));
		const commands = planDirectory({
			state: holder.state(),
			granting,
			options: terms,
			now,
			joinedAt,
			mostRanges,
			zoneTimes: zones.timesAt(now),
			workOf: service => ({
				rates: keyLoads.get(service)?.rates ?? [],
				countedMilliseconds: longDecayMilliseconds,
				relativeSpeedOf: upstream => loads.speed(upstream, service, now),
				dominant: keyLoads.get(service)?.dominant ?? [],
			}),
		});
		shares = [...keyLoads.values()].flatMap(load => load.shares);
		if (commands.length > 0) {
			void proposePlan(commands);
		}
	}

	return {
		announce,
		async depart({life: incarnation}) {
			// What the leader has applied may be behind the log, so that the entry itself decides which record it concerns.
			const service = holder.state().upstreams[incarnation.id]?.service;
			const proposed = await propose([{kind: 'upstreamDeparted', life: incarnation, at: wallNow()}]);
			log.event(EventName.upstreamLeft, {
				upstream: incarnation.id, born: incarnation.born, service, index: proposed.unwrapOr(0),
			});
			return proposed.map(() => ({}));
		},
		async declare({changes}) {
			const proposed = await declareOnce(changes);
			log.event(EventName.itemsDeclared, {
				items: changes.length,
				first: changes[0]?.name,
				version: changes[0]?.item.version,
				index: proposed.unwrapOr(0),
				outcome: proposed.isOk ? 'taken' : proposed.error.kind,
				detail: proposed.isOk ? undefined : proposed.error.detail,
			});
			return proposed.map(index => ({index}));
		},
		orderZone: zones.order,
		async confirm() {
			const index = await voter().read();
			return index.map(confirmed => ({index: confirmed}));
		},
		reportLoad(report) {
			const overloaded = new Set(shares.map(({life}) => life.id));
			loads.add(report, monotonicNow(), upstream => overloaded.has(upstream));
		},
		shares: () => shares,
		begin() {
			granting = createGrantingState(monotonicNow());
			zones.begin();
			loads = new LoadCounts();
			joinedAt = monotonicNow();
			clearInterval(planTimer);
			planTimer = setInterval(planNow, planIntervalMilliseconds);
		},
		end() {
			clearInterval(planTimer);
			clearTimeout(scheduledPlan);
			planTimer = undefined;
			scheduledPlan = undefined;
			shares = [];
		},
	};
}
