/**
 * The services and upstreams of this instance: the directory's records, with
 * the instance's own measurements and connections.
 */
import {monotonicNow} from '@dogwooddeck/clock/monotonic';
import {type DirectoryState} from '@dogwooddeck/directory/state';
import {UpstreamState, type UpstreamRecord} from '@dogwooddeck/directory/upstream';
import {KeyPacer} from '@dogwooddeck/gateway/key-pace';
import {createRouteTable, type RouteTable} from '@dogwooddeck/gateway/route-table';
import {SecondSends} from '@dogwooddeck/gateway/second-send';
import {type Distance, distanceOf} from '@dogwooddeck/gateway/upstream-selection';
import {WeightedRoundRobin} from '@dogwooddeck/gateway/weighted-round-robin';
import {UpstreamLoad} from '@dogwooddeck/gateway/upstream-load';
import {LeavingUse} from '@dogwooddeck/gateway/upstream-notice';
import {WaitingQueue} from '@dogwooddeck/gateway/waiting';
import {type KeyRange, rangeOfKey, sameIncarnation} from '@dogwooddeck/key-lease/range';
import {ReadThrottle} from '@dogwooddeck/loop-share/read-throttle';
import {type MonotonicTime, type RegionName} from '@dogwooddeck/model/identifiers';
import {
	allowsRetry, recordAttempt, withCapacity, createRetryBudget, type RetryBudget,
} from '@dogwooddeck/routing/budget';
import {ColdUpstreams} from './cold-upstreams.js';
import {EvacuatedZones} from './evacuated-zones.js';
import {type EntrySettings} from './settings.js';
import {leavingUseOf, UpstreamNotices} from './upstream-notices.js';
import {UpstreamPool} from './upstream-pool.js';

/** An upstream with this instance's measurements of its load, and its connections. */
export type CachedUpstream = {
	readonly id: string;
	readonly record: UpstreamRecord;
	readonly distance: Distance;
	/** Undefined if the settings don't name the zone's region. */
	readonly region: RegionName | undefined;
	readonly load: UpstreamLoad;
	/** What this incarnation has asked for in its answers. */
	readonly notices: UpstreamNotices;
	readonly pool: UpstreamPool;
	readonly cold: boolean;
	readonly isConnected: boolean;
};

/** A service with this instance's queue and retry budget. It is updated in place, as it is on the request path. */
export type CachedService = {
	readonly name: string;
	readonly queue: WaitingQueue;
	readonly pace: KeyPacer;
	keyed: boolean;
	maxConnections: number;
	ranges: readonly KeyRange[];
	/** The upstreams that requests may be sent to. */
	upstreams: readonly CachedUpstream[];
	/** Its other upstreams that are ready, in evacuated zones. */
	evacuated: readonly CachedUpstream[];
	budget: RetryBudget;
	/** Undefined unless the settings allow second sends. */
	secondSends: SecondSends | undefined;
};

/** The upstream that requests for a key are sent to, and the range that assigns it. */
export type KeyHolder = {readonly range: KeyRange; readonly upstream: CachedUpstream};

/** The idle timeout of connections, below the 10 s after which upstreams close them. */
const idleMilliseconds = 8000;

/** One round trip between regions, and the same again for a lost packet. */
const connectMilliseconds = 350;

/** All instances together save up this fraction of a window's slack, as new instances start with full budgets. */
const slackShare = 0.5;

/** A new instance starts with this many retries, since it doesn't know the number of instances yet. */
const minimumSavedRetries = 1;

/** The fraction of the ratio that instances use: windows slide, and the counts of instances differ for a moment. */
const ratioShare = 0.75;

function leastUrgentPriorities(routes: RouteTable): ReadonlyMap<string, number> {
	const priorities = new Map<string, number>();
	for (const {priority, targets} of [...routes.values()].flat()) {
		for (const {service} of targets) {
			priorities.set(service, Math.max(priority, priorities.get(service) ?? 0));
		}
	}

	return priorities;
}

/** The services, upstreams and routes of this instance. */
export class ServiceTable {
	routes: RouteTable = new Map();
	readonly cold: ColdUpstreams;
	readonly #settings: EntrySettings;
	readonly #services = new Map<string, CachedService>();
	readonly #upstreams = new Map<string, CachedUpstream>();
	readonly #splits = new Map<string, {readonly key: string; readonly split: WeightedRoundRobin}>();
	readonly #random: () => number;
	readonly #throttle: ReadThrottle;
	readonly #evacuatedZones: EvacuatedZones;
	#leastUrgentPriorities: ReadonlyMap<string, number> = new Map();
	#items: DirectoryState['items'] | undefined;

	/** `random` returns numbers between 0 and 1; `throttle` is the reading from all peers of the process. */
	constructor(settings: EntrySettings, random: () => number, throttle = new ReadThrottle()) {
		this.#settings = settings;
		this.#random = random;
		this.#throttle = throttle;
		this.#evacuatedZones = new EvacuatedZones(settings.evacuationGraceMilliseconds);
		this.cold = new ColdUpstreams(random);
	}

	/** Updates the table to a newer directory. `currentAt` is the last time at which the earlier one was known to be current. */
	update(state: DirectoryState, entryCount: number, currentAt: MonotonicTime = -Infinity): void {
		this.#evacuatedZones.update(state.evacuatedZones, currentAt);
		if (state.items !== this.#items) {
			this.#items = state.items;
			this.routes = createRouteTable(state.items.route);
			this.#leastUrgentPriorities = leastUrgentPriorities(this.routes);
		}

		this.cold.update(state, monotonicNow());
		this.#updateUpstreams(state.upstreams);
		for (const [name, {value}] of Object.entries(state.items.service)) {
			if (value !== undefined) {
				const service = this.service(name);
				service.keyed = value.keyed;
				service.maxConnections = value.maxConnections;
				service.ranges = state.keys[name] ?? [];
			}
		}

		const savedRetries = Math.max(minimumSavedRetries, this.#settings.retries.slack * slackShare / entryCount);
		for (const service of this.#services.values()) {
			service.budget = withCapacity(service.budget, savedRetries);
			service.secondSends?.divide(entryCount, this.#settings.retries.slack * (1 - slackShare));
			const ready = [...this.#upstreams.values()].filter(({record}) => record.service === service.name && record.state === UpstreamState.ready);
			service.upstreams = ready.filter(({record}) => !this.#evacuatedZones.has(record.zone));
			service.evacuated = ready.filter(({record}) => this.#evacuatedZones.has(record.zone));
		}
	}

	/** Returns a service by its name, and creates it if needed. */
	service(name: string): CachedService {
		const cached = this.#services.get(name);
		if (cached !== undefined) {
			return cached;
		}

		const {retries, secondSends} = this.#settings;
		const created: CachedService = {
			name,
			queue: new WaitingQueue(),
			pace: new KeyPacer(),
			keyed: false,
			maxConnections: 1,
			ranges: [],
			upstreams: [],
			evacuated: [],
			budget: createRetryBudget(retries.ratio * ratioShare, minimumSavedRetries),
			secondSends: secondSends === undefined ? undefined : new SecondSends(secondSends),
		};
		this.#services.set(name, created);
		return created;
	}

	/** Returns the priority of the least urgent route to a service, which is the highest number. */
	leastUrgentPriority(name: string): number {
		return this.#leastUrgentPriorities.get(name) ?? 0;
	}

	/** Returns all services. */
	services(): Iterable<CachedService> {
		return this.#services.values();
	}

	/** Returns the traffic split of a route, which is kept until its targets change. */
	split(name: string, targets: ConstructorParameters<typeof WeightedRoundRobin>[0]): WeightedRoundRobin {
		const key = JSON.stringify(targets);
		const cached = this.#splits.get(name);
		if (cached?.key === key) {
			return cached.split;
		}

		const split = new WeightedRoundRobin(targets, this.#random());
		this.#splits.set(name, {key, split});
		return split;
	}

	/** Returns the upstream that holds a key and was notified of it, if requests may be sent to it. */
	holderOf(service: CachedService, key: number): KeyHolder | undefined {
		const range = rangeOfKey(service.ranges, key);
		if (range?.holder === undefined || !range.told) {
			return undefined;
		}

		const upstream = this.#upstreams.get(range.holder.id);
		return upstream !== undefined && sameIncarnation(upstream.record, range.holder) && upstream.record.state === UpstreamState.ready ? {range, upstream} : undefined;
	}

	/** Whether requests may still be sent to this incarnation of an upstream. */
	isCurrent({id, record}: CachedUpstream): boolean {
		const cached = this.#upstreams.get(id);
		return cached !== undefined && sameIncarnation(cached.record, record) && cached.record.state === UpstreamState.ready;
	}

	/** Whether a request may be sent now as far as the upstream's notices and the orders for its zone say. The holder of a key may be leaving for a moment: no other can serve the key before it is handed over. */
	isOpen(upstream: CachedUpstream, service: CachedService, now: MonotonicTime): boolean {
		const {keyed, upstreams} = service;
		return !this.isZoneClosed(upstream, service, now) && upstream.notices.waitFor(keyed ? LeavingUse.lastResort : leavingUseOf(upstreams), now) === 0;
	}

	/** Whether an upstream's zone is evacuated, and the upstream may not be sent requests of this service either for keys that it holds. */
	isZoneClosed({record: {zone}}: CachedUpstream, {keyed}: CachedService, now: MonotonicTime): boolean {
		return keyed ? this.#evacuatedZones.isClosed(zone, now) : this.#evacuatedZones.has(zone);
	}

	/** Closes connections that receive endless data in place of an answer. */
	closeEndless(): void {
		for (const {pool} of this.#upstreams.values()) {
			pool.closeEndless();
		}
	}

	/** Closes all connections. */
	close(): void {
		for (const {pool} of this.#upstreams.values()) {
			pool.close();
		}
	}

	#updateUpstreams(records: DirectoryState['upstreams']): void {
		for (const [id, cached] of this.#upstreams) {
			if (!sameIncarnation(records[id], cached.record)) {
				cached.pool.close();
				this.#upstreams.delete(id);
			}
		}

		for (const record of Object.values(records)) {
			const cached = this.#upstreams.get(record.id);
			if (cached?.record !== record) {
				this.#upstreams.set(record.id, this.#createUpstream(record, cached));
			}
		}
	}

	#createUpstream(record: UpstreamRecord, earlier: CachedUpstream | undefined): CachedUpstream {
		const pool = earlier?.pool ?? new UpstreamPool(record.address, {connectMilliseconds, idleMilliseconds, throttle: this.#throttle});
		return {
			id: record.id,
			record,
			distance: distanceOf(this.#settings.zone, record.zone, this.#settings.regions),
			region: this.#settings.regions[record.zone],
			load: earlier?.load ?? new UpstreamLoad(record.slots),
			notices: earlier?.notices ?? new UpstreamNotices(this.#settings.leavingGraceMilliseconds),
			pool,
			cold: record.cold,
			get isConnected() {
				return pool.isConnected;
			},
		};
	}
}

/** Records a retry and returns true, or returns false if the budget allows none. */
export function tryRecordRetry(service: CachedService): boolean {
	if (!allowsRetry(service.budget)) {
		return false;
	}

	service.budget = recordAttempt(service.budget, {kind: 'retry'}).state;
	return true;
}

/** Records the first attempt of a request. */
export function recordFirstAttempt(service: CachedService): void {
	const {ratio, balance, capacity} = service.budget;
	service.secondSends?.recordRequest(Math.max(0, balance + ratio - capacity));
	service.budget = recordAttempt(service.budget, {kind: 'first-attempt'}).state;
}
