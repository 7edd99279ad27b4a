/**
 * What the leader does: records announcements, answers them with the keys that
 * their senders are to hold, takes declarations, and plans who holds what.
 */
import {monotonicNow} from '@dogwooddeck/clock/monotonic';
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
import {longMemoryMilliseconds} from './key-counts.js';
import {LoadCounts} from './load-counts.js';
import {createProposals} from './proposals.js';

/** The calls that the leader alone answers. */
export type LeaderDesk = {
	readonly announce: (report: AnnouncementReport) => Promise<Result<AnnouncementOutcome, Failure>>;
	readonly depart: (request: MeshCalls['depart']['request']) => Promise<Result<Record<string, never>, Failure>>;
	readonly declare: (request: MeshCalls['declare']['request']) => Promise<Result<{readonly index: LogIndex}, Failure>>;
	readonly confirm: () => Promise<Result<{readonly index: LogIndex}, Failure>>;
	readonly reportLoad: (report: LoadReport) => void;
	/** The upstreams that have too much work, as they were when it was planned last. */
	readonly shares: () => readonly HolderShare[];
	/** This instance begins to lead, or ends. */
	readonly begin: () => void;
	readonly end: () => void;
};

/** What the desk works with. */
export type DeskParts = {
	readonly holder: DirectoryHolder;
	readonly voter: () => DirectoryVoter;
	readonly terms: GrantingOptions;
	/** The ranges of keys that one upstream may hold at most. */
	readonly mostRanges: number;
	readonly log: Log;
	readonly measures: Measures;
};

const planMilliseconds: Milliseconds = 250;

/** A change that calls for a plan is planned for after this long, with those that come meanwhile. */
const gatherChangesMilliseconds: Milliseconds = 30;

/** Announcements that come within this time are confirmed by one round of the log, urgent ones sooner. */
const gatherConfirmsMilliseconds: Milliseconds = 120;
const gatherUrgentMilliseconds: Milliseconds = 10;

const lapseLinesPerSecond = 10;

function spansOf(ranges: readonly KeyRange[], holder: UpstreamIncarnation): readonly HeldSpan[] {
	return ranges.map(({from, to}) => ({from, to, holder}));
}

/** Makes the desk. */
export function createLeaderDesk({holder, voter, terms, mostRanges, log, measures}: DeskParts): LeaderDesk {
	let granting: GrantingState = createGrantingState(monotonicNow());
	let loads = new LoadCounts();
	let planning: NodeJS.Timeout | undefined;
	let planningSoon: NodeJS.Timeout | undefined;
	let isProposing = false;
	/** Keys are being taken from holders whose time is over: none of them may be renewed until it is known whether they were. */
	let expiring: Promise<unknown> | undefined;
	let shares: readonly HolderShare[] = [];
	let joinedAt: MonotonicTime = -Infinity;
	/** The rounds that have not begun yet, by the time that announcements are gathered for. */
	const confirming = new Map<Milliseconds, Promise<Result<LogIndex, Failure>>>();
	/** The changes of items that are under way, by their text. */
	const declaring = new Map<string, Promise<Result<LogIndex, Failure>>>();
	const lapseLines = new LineBudget(lapseLinesPerSecond);
	const propose = createProposals(async payload => voter().propose(payload));

	function isKeyed(service: string): boolean {
		return holder.state().items.service[service]?.value?.keyed ?? false;
	}

	function evidenceOf({service}: UpstreamRecord, keys: KeyReport): readonly DirectoryCommand[] {
		const rows = vacatedByAnnouncement(granting, rangesOf(holder.state().keys, service), keys);
		return rows.length === 0 ? [] : [{kind: 'keysVacated', service, rows}];
	}

	function answerKeys({service}: UpstreamRecord, keys: KeyReport, receivedAt: MonotonicTime): AnnouncementOutcome {
		const {holdMilliseconds} = terms;
		if (!isKeyed(service)) {
			return {holdMilliseconds, keyed: false};
		}

		const {life, sequence} = keys;
		const ranges = rangesOf(holder.state().keys, service);
		const rows = grantedRows(ranges, life);
		granting = recordAnswer(granting, {
			holder: life, sequence, receivedAt, index: holder.state().applied,
		}, terms);
		const untold = rows.filter(({told}) => !told);
		const stopped = rangesHeldBy(ranges, life).filter(({told, releasingSince}) => told && releasingSince !== undefined);
		const commands: readonly DirectoryCommand[] = [
			...(untold.length === 0 ? [] : [{kind: 'keysTold', service, rows: spansOf(untold, life)} as const]),
			...(stopped.length === 0 ? [] : [{kind: 'keysStopped', service, rows: spansOf(stopped, life)} as const]),
		];
		if (commands.length > 0) {
			void propose(commands);
		}

		return rowsDigest(rows) === keys.digest ? {holdMilliseconds, keyed: true} : {holdMilliseconds, keyed: true, rows: rowsToSend(ranges, keys)};
	}

	/** Tells of keys that an upstream was told to hold and doesn't list any more. */
	function noteLapse({service}: UpstreamRecord, keys: KeyReport, receivedAt: MonotonicTime): void {
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
		confirming.delete(milliseconds);
		return voter().read();
	}

	/** Confirms that this instance still leads, once for all announcements that came within a moment: each round crosses regions. */
	async function confirmTogether(isUrgent: boolean): Promise<Result<LogIndex, Failure>> {
		const milliseconds = isUrgent ? gatherUrgentMilliseconds : gatherConfirmsMilliseconds;
		const known = confirming.get(milliseconds) ?? confirmAfter(milliseconds);
		confirming.set(milliseconds, known);
		return known;
	}

	async function waitForExpiry(): Promise<Result<unknown, Failure>> {
		if (expiring === undefined) {
			return ok(undefined);
		}

		await expiring;
		const confirmed = await voter().read();
		return confirmed.isErr ? confirmed : waitForExpiry();
	}

	/**
	 * Takes a change in, unless it is taken or under way already: operators send a
	 * change again when they hear nothing, and each entry of the log goes to all instances.
	 */
	async function declareOnce(changes: readonly ItemChange[]): Promise<Result<LogIndex, Failure>> {
		if (isNoOp(holder.state().items, changes)) {
			return voter().read();
		}

		const text = JSON.stringify(changes);
		const known = declaring.get(text) ?? propose([{kind: 'itemsChanged', changes}]);
		declaring.set(text, known);
		const proposed = await known;
		declaring.delete(text);
		return proposed;
	}

	/** The record that an announcement is about; undefined where the sender's table was older and this one has another life. */
	function recordOf({upstream, keys: {life}}: AnnouncementReport): UpstreamRecord | undefined {
		const known = holder.state().upstreams[life.id];
		return upstream ?? (sameIncarnation(known, life) ? known : undefined);
	}

	async function announce(report: AnnouncementReport): Promise<Result<AnnouncementOutcome, Failure>> {
		const receivedAt = monotonicNow();
		const {keys, isUrgent} = report;
		const upstream = recordOf(report);
		if (upstream === undefined) {
			return err(failure(FailureKind.notReady, `there is no record of ${incarnationText(keys.life)} any more`));
		}

		const recorded = recordAnnouncement(holder.state(), upstream);
		if (recorded.isErr) {
			return err(recorded.error);
		}

		if (recorded.value.length > 0 && holder.state().upstreams[upstream.id]?.born !== upstream.born) {
			joinedAt = receivedAt;
		}

		noteLapse(upstream, keys, receivedAt);
		granting = recordContact(granting, keys.life, receivedAt, terms);
		const commands = [...recorded.value, ...evidenceOf(upstream, keys)];
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
			plan();
		}

		const settled = await waitForExpiry();
		return settled.map(() => answerKeys(upstream, keys, receivedAt));
	}

	function describe(command: DirectoryCommand): string {
		return 'rows' in command ? command.rows.map(({from, to, holder: life}) => `${from}-${to}:${life.id}`).join(',').slice(0, 400) : command.kind;
	}

	async function proposePlan(commands: readonly DirectoryCommand[]): Promise<void> {
		isProposing = true;
		const proposing = propose(commands);
		expiring = commands.some(({kind}) => kind === 'keysVacated') ? proposing : undefined;
		const proposed = await proposing;
		expiring = undefined;
		isProposing = false;
		for (const command of commands) {
			log.event(EventName.keysPlanned, {command: command.kind, rows: describe(command), index: proposed.unwrapOr(0)});
		}

		if (proposed.isOk) {
			plan();
		}
	}

	/** Plans soon: what changes within a moment is planned for once. */
	function plan(): void {
		if (planning !== undefined) {
			planningSoon ??= setTimeout(() => {
				planningSoon = undefined;
				planNow();
			}, gatherChangesMilliseconds);
		}
	}

	/** The upstreams of a service that have too much work. */
	function overloadsOf(service: string, rates: readonly KeyRate[], now: MonotonicTime): readonly HolderShare[] {
		const {keys, upstreams} = holder.state();
		const meanLatency = loads.meanLatency(service, now);
		return holderShares(rangesOf(keys, service), rates, ({id}) => sustainableRate({
			slots: upstreams[id]?.slots ?? 0, meanLatency, relativeSpeed: loads.speed(id, service, now),
		}));
	}

	function planNow(): void {
		if (isProposing || planning === undefined || voter().quorumContactAt(monotonicNow()) === undefined) {
			return;
		}

		const now = monotonicNow();
		const keyed = definedItems(holder.state().items.service).filter(([, {keyed: isDivided}]) => isDivided);
		const rates = new Map(keyed.map(([service]) => [service, loads.rates(service, now)]));
		const commands = planDirectory({
			state: holder.state(),
			granting,
			options: terms,
			now,
			joinedAt,
			mostRanges,
			workOf: service => ({
				rates: rates.get(service) ?? [],
				countedMilliseconds: longMemoryMilliseconds,
				relativeSpeedOf: upstream => loads.speed(upstream, service, now),
			}),
		});
		shares = [...rates].flatMap(([service, counted]) => overloadsOf(service, counted, now));
		if (commands.length > 0) {
			void proposePlan(commands);
		}
	}

	return {
		announce,
		async depart({life}) {
			const known = holder.state().upstreams[life.id];
			if (known === undefined || (life.born !== undefined && life.born !== known.born)) {
				const confirmed = await voter().read();
				return confirmed.map(() => ({}));
			}

			const proposed = await propose([{kind: 'upstreamDeparted', life: {id: known.id, born: known.born}}]);
			log.event(EventName.upstreamLeft, {
				upstream: known.id, born: known.born, service: known.service, index: proposed.unwrapOr(0),
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
		async confirm() {
			const index = await voter().read();
			return index.map(confirmed => ({index: confirmed}));
		},
		reportLoad(report) {
			loads.add(report, monotonicNow());
		},
		shares: () => shares,
		begin() {
			granting = createGrantingState(monotonicNow());
			loads = new LoadCounts();
			joinedAt = monotonicNow();
			clearInterval(planning);
			planning = setInterval(planNow, planMilliseconds);
		},
		end() {
			clearInterval(planning);
			clearTimeout(planningSoon);
			planning = undefined;
			planningSoon = undefined;
			shares = [];
		},
	};
}
