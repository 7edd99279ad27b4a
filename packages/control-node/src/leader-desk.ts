/**
 * What the leader does: records announcements, answers them with the keys that
 * their senders are to hold, takes declarations, and plans who holds what.
 */
import {monotonicNow} from '@dogwooddeck/clock/monotonic';
import {pause} from '@dogwooddeck/clock/pause';
import {type Announcement, recordAnnouncement} from '@dogwooddeck/directory/announcement';
import {planDirectory} from '@dogwooddeck/directory/key-plan';
import {type DirectoryCommand} from '@dogwooddeck/directory/state';
import {UpstreamState} from '@dogwooddeck/directory/upstream';
import {
	beginGranting, type GrantingState, type GrantingTerms, noteAnswered, noteHeard, rowsOf, vacatedByAnnouncement,
} from '@dogwooddeck/key-lease/granting';
import {type HeldSpan} from '@dogwooddeck/key-lease/command';
import {
	type KeyRange, type Life, sameLife, unheldRanges,
} from '@dogwooddeck/key-lease/range';
import {type AnnouncementAnswer, type LoadReport, type MeshCalls} from '@dogwooddeck/mesh/calls';
import {type Failure} from '@dogwooddeck/model/failure';
import {type LogIndex, type Milliseconds, type MonotonicTime} from '@dogwooddeck/model/identifiers';
import {EventName} from '@dogwooddeck/telemetry/event';
import {type Log} from '@dogwooddeck/telemetry/log';
import {err, ok, type Result} from 'true-myth/result';
import {type DirectoryHolder, type DirectoryVoter} from './directory-voter.js';
import {LoadCounts, longMemoryMilliseconds} from './load-counts.js';

/** The calls that the leader alone answers. */
export type LeaderDesk = {
	readonly announce: (announcement: Announcement) => Promise<Result<AnnouncementAnswer, Failure>>;
	readonly depart: (request: MeshCalls['depart']['request']) => Promise<Result<Record<string, never>, Failure>>;
	readonly declare: (request: MeshCalls['declare']['request']) => Promise<Result<{readonly index: LogIndex}, Failure>>;
	readonly confirm: () => Promise<Result<{readonly index: LogIndex}, Failure>>;
	readonly reportLoad: (report: LoadReport) => void;
	/** This instance begins to lead, or ends. */
	readonly begin: () => void;
	readonly end: () => void;
};

/** What the desk works with. */
export type DeskParts = {
	readonly holder: DirectoryHolder;
	readonly voter: () => DirectoryVoter;
	readonly terms: GrantingTerms;
	readonly log: Log;
};

const planMilliseconds: Milliseconds = 250;

/** Announcements that come within this time are confirmed by one round of the log. */
const gatherConfirmsMilliseconds: Milliseconds = 120;

/** An answer waits this long for keys at most: it has to arrive within a second, also by way of another instance. */
const keysWaitMilliseconds: Milliseconds = 450;

function spansOf(ranges: readonly KeyRange[], holder: Life): readonly HeldSpan[] {
	return ranges.map(({from, to}) => ({from, to, holder}));
}

/** Makes the desk. */
export function createLeaderDesk({holder, voter, terms, log}: DeskParts): LeaderDesk {
	let granting: GrantingState = beginGranting(monotonicNow());
	let loads = new LoadCounts();
	let planning: NodeJS.Timeout | undefined;
	let isProposing = false;
	/** Keys are being taken from holders whose time is over: none of them may be renewed until it is known whether they were. */
	let expiring: Promise<unknown> | undefined;
	let joinedAt: MonotonicTime = -Infinity;
	let confirming: Promise<Result<LogIndex, Failure>> | undefined;
	const waitingForKeys = new Set<() => void>();
	holder.listen(() => {
		for (const check of waitingForKeys) {
			check();
		}
	});

	async function propose(commands: readonly DirectoryCommand[]): Promise<Result<LogIndex, Failure>> {
		const committed = await voter().propose(JSON.stringify(commands));
		return committed.andThen(({index, answers}) => answers.find(answer => answer.isErr)?.map(() => index) ?? ok(index));
	}

	function rangesOf(service: string): readonly KeyRange[] {
		return holder.state().keys[service] ?? unheldRanges;
	}

	function isKeyed(service: string): boolean {
		return holder.state().items.service[service]?.value?.keyed ?? false;
	}

	function evidenceOf({upstream, keys}: Announcement): readonly DirectoryCommand[] {
		const rows = vacatedByAnnouncement(granting, rangesOf(upstream.service), keys);
		return rows.length === 0 ? [] : [{kind: 'keysVacated', service: upstream.service, rows}];
	}

	function answerKeys({upstream, keys}: Announcement, receivedAt: MonotonicTime): AnnouncementAnswer {
		const {holdMilliseconds} = terms;
		if (!isKeyed(upstream.service)) {
			return {holdMilliseconds};
		}

		const holds = rowsOf(rangesOf(upstream.service), upstream);
		granting = noteAnswered(granting, {
			life: {id: upstream.id, born: upstream.born}, sequence: keys.sequence, receivedAt, index: holder.state().applied,
		}, terms);
		const untold = holds.filter(({told}) => !told);
		const stopped = rangesOf(upstream.service).filter(range => range.told && range.releasingSince !== undefined && sameLife(range.holder, keys.life));
		const commands: readonly DirectoryCommand[] = [
			...(untold.length === 0 ? [] : [{kind: 'keysTold', service: upstream.service, rows: spansOf(untold, keys.life)} as const]),
			...(stopped.length === 0 ? [] : [{kind: 'keysStopped', service: upstream.service, rows: spansOf(stopped, keys.life)} as const]),
		];
		if (commands.length > 0) {
			void propose(commands);
		}

		return {holds, holdMilliseconds};
	}

	async function confirmAfterPause(): Promise<Result<LogIndex, Failure>> {
		await pause(gatherConfirmsMilliseconds);
		confirming = undefined;
		return voter().read();
	}

	/** Confirms that this instance still leads, once for all announcements that came within a moment: each round crosses regions. */
	async function confirmTogether(): Promise<Result<LogIndex, Failure>> {
		confirming ??= confirmAfterPause();
		return confirming;
	}

	/** Whether the table has keys for an upstream that it was not told of yet, or asks for keys that it has. */
	function hasNews(service: string, life: Life): boolean {
		const own = rangesOf(service).filter(range => sameLife(range.holder, life));
		return own.some(({told, releasingSince}) => releasingSince !== undefined || !told);
	}

	/**
	 * Answers to upstreams with keys wait for a moment, so that one that should get
	 * keys or give them up hears of it at once and not with its next announcement.
	 * One that is giving keys up announces itself often until it has, and is not kept.
	 */
	async function waitForKeys({upstream, keys}: Announcement): Promise<void> {
		if (!isKeyed(upstream.service) || upstream.state !== UpstreamState.ready || hasNews(upstream.service, keys.life)) {
			return;
		}

		await new Promise<void>(resolve => {
			const check = () => {
				if (hasNews(upstream.service, keys.life)) {
					waitingForKeys.delete(check);
					clearTimeout(timer);
					resolve();
				}
			};

			const timer = setTimeout(() => {
				waitingForKeys.delete(check);
				resolve();
			}, keysWaitMilliseconds);
			waitingForKeys.add(check);
		});
	}

	async function waitForExpiry(): Promise<Result<unknown, Failure>> {
		if (expiring === undefined) {
			return ok(undefined);
		}

		await expiring;
		const confirmed = await voter().read();
		return confirmed.isErr ? confirmed : waitForExpiry();
	}

	async function announce(announcement: Announcement): Promise<Result<AnnouncementAnswer, Failure>> {
		const receivedAt = monotonicNow();
		const {upstream} = announcement;
		const recorded = recordAnnouncement(holder.state(), announcement);
		if (recorded.isErr) {
			return err(recorded.error);
		}

		if (recorded.value.length > 0 && holder.state().upstreams[upstream.id]?.born !== upstream.born) {
			joinedAt = receivedAt;
		}

		granting = noteHeard(granting, announcement.keys.life, receivedAt, terms);
		const commands = [...recorded.value, ...evidenceOf(announcement)];
		const confirmed = commands.length === 0 ? await confirmTogether() : await propose(commands);
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
				sequence: announcement.keys.sequence,
				commands: commands.map(({kind}) => kind).join(','),
				index: confirmed.value,
			});
			plan();
		}

		await waitForKeys(announcement);
		const settled = await waitForExpiry();
		return settled.map(() => answerKeys(announcement, receivedAt));
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

	function plan(): void {
		if (isProposing || planning === undefined || voter().quorumHeardAt(monotonicNow()) === undefined) {
			return;
		}

		const now = monotonicNow();
		const commands = planDirectory({
			state: holder.state(),
			granting,
			terms,
			now,
			joinedAt,
			workOf: service => ({
				rates: loads.rates(service, now),
				countedMilliseconds: longMemoryMilliseconds,
				speedOf: upstream => loads.speed(upstream, service, now),
			}),
		});
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
			const proposed = await propose([{kind: 'itemsChanged', changes}]);
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
		begin() {
			granting = beginGranting(monotonicNow());
			loads = new LoadCounts();
			joinedAt = monotonicNow();
			clearInterval(planning);
			planning = setInterval(plan, planMilliseconds);
		},
		end() {
			clearInterval(planning);
			planning = undefined;
		},
	};
}
