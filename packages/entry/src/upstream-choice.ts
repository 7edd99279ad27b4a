/**
 * The choice of an upstream for one request: which upstreams may process it, the
 * cheapest of them that has room now, and what the request waits for if none has.
 */
import {BodySize} from '@dogwooddeck/directory/item';
import {keepLocal} from '@dogwooddeck/gateway/body-locality';
import {type UpstreamLoad} from '@dogwooddeck/gateway/upstream-load';
import {LeavingUse} from '@dogwooddeck/gateway/upstream-notice';
import {Distance, selectUpstream} from '@dogwooddeck/gateway/upstream-selection';
import {waitDeadline} from '@dogwooddeck/gateway/waiting';
import {type NamedRoute} from '@dogwooddeck/gateway/route-table';
import {type Milliseconds, type MonotonicTime, type ZoneName} from '@dogwooddeck/model/identifiers';
import {type Connection} from './connection.js';
import {type KeyDependencies, KeyTarget} from './key-target.js';
import {type CachedService, type CachedUpstream} from './service-table.js';
import {leavingUseOf, waitForOpen} from './upstream-notices.js';

/** What a request waits for, and how long. */
export type WaitEstimate = {
	/** The holder of its key; undefined if the service has no keys or the key has no holder. */
	readonly holder: CachedUpstream | undefined;
	readonly key: number | undefined;
	/** The number of requests for its key that wait already. */
	readonly turn: number;
	/** The expected wait behind other requests, and for its key's pace. */
	readonly lineWait: Milliseconds;
	readonly paceWait: Milliseconds;
	/** When it stops waiting and is refused. */
	readonly until: MonotonicTime;
};

/** Where a request may be sent a second time while its first attempt runs. */
export type Alternative = {
	/** The loads of the upstreams that may process it now. */
	readonly loads: readonly UpstreamLoad[];
	/** The cheapest idle one that was not attempted. */
	readonly upstream: CachedUpstream | undefined;
};
/** Whether an upstream may be chosen. */
export type UpstreamRestriction = (upstream: CachedUpstream) => boolean;

/** Whether the route allows an upstream of this region. */
function allowsRegion({allowedRegions}: NamedRoute, {region}: CachedUpstream): boolean {
	return allowedRegions === undefined || (region !== undefined && allowedRegions.includes(region));
}

/** The upstreams that one request may be sent to, and those that it was sent to. */
export class UpstreamChoice {
	/** Whether a keeper of room has granted the place of the attempt in flight. */
	hasPlace = false;
	/** Undefined if the service has no keys. */
	readonly target: KeyTarget | undefined;
	/** Connections on which an upstream refused the request. */
	readonly refusedOn = new Set<Connection>();
	/** The upstreams of all attempts. */
	readonly attempted: string[] = [];
	readonly #dependencies: KeyDependencies;
	readonly #service: CachedService;
	readonly #route: NamedRoute;
	/** Whether the last attempt was counted as one to a cold upstream. */
	#isCountedAsCold = false;
	#restriction: UpstreamRestriction | undefined;

	/** `key` is undefined if the service has no keys. */
	constructor(dependencies: KeyDependencies, service: CachedService, route: NamedRoute, key: number | undefined) {
		this.#dependencies = dependencies;
		this.#service = service;
		this.#route = route;
		this.target = key === undefined ? undefined : new KeyTarget(dependencies, service, key);
	}

	/** Whether the service has upstreams, but none in a region that the route allows; with a key, whether its holder is in another region. */
	get isOutsideAllowedRegions(): boolean {
		if (this.#route.allowedRegions === undefined) {
			return false;
		}

		if (this.target !== undefined) {
			const {holder} = this.target;
			return holder !== undefined && !allowsRegion(this.#route, holder);
		}

		const {upstreams, evacuated} = this.#service;
		return upstreams.length > 0 && this.#allowed.length === 0 && !this.#allows(evacuated);
	}

	/** Whether all upstreams that may process the request are in evacuated zones; with a key, whether its holder may be sent no more requests. */
	isEvacuated(now: MonotonicTime): boolean {
		const holder = this.target?.holder;
		return holder === undefined
			? this.#allowed.length === 0 && this.#allows(this.#service.evacuated)
			: this.#dependencies.table.isZoneClosed(holder, this.#service, now);
	}

	/** The name that requests with the same candidates share; undefined with a key, and after an attempt, which excludes its upstream. */
	get candidates(): string | undefined {
		return this.target === undefined && this.attempted.length === 0 ? this.#route.name : undefined;
	}

	/** Returns the upstream to send the request to now; undefined if none has room. */
	choose(now: MonotonicTime): CachedUpstream | undefined {
		return this.target === undefined ? this.#chooseAny(now) : this.#chooseHolder(this.target, now);
	}

	/**
	 * Returns where the request may be sent beside its first attempt: never to an upstream that is leaving, paused or
	 * cold, to other regions only if `otherRegions` is set, and nowhere while a keeper grants the places.
	 */
	chooseAlternative(otherRegions: boolean, now: MonotonicTime): Alternative {
		const coldUpstreams = this.#dependencies.table.cold;
		const candidates = this.target === undefined && !this.hasPlace
			? this.#available(LeavingUse.none, now).filter(({cold, record, distance}) => !cold && coldUpstreams.coldFor(record, now) === 0 && (otherRegions || distance !== Distance.otherRegion))
			: [];
		const idle = candidates.filter(({load}) => load.isIdle);
		return {loads: candidates.map(({load}) => load), upstream: selectUpstream(idle, this.attempted, now)};
	}

	/** Restricts the choice further than the route does; undefined: no further. */
	restrictTo(restriction: UpstreamRestriction | undefined): void {
		this.#restriction = restriction;
	}

	/** Returns the upstream with this identifier if the request may be sent to it now. */
	findAvailable(id: string, now: MonotonicTime): CachedUpstream | undefined {
		return this.#available(leavingUseOf(this.#allowed), now).find(upstream => upstream.id === id);
	}

	/** The zones with upstreams that the request may be sent to: those of the smallest distance, and the others, the nearest first. */
	get zones(): {readonly nearest: readonly ZoneName[]; readonly others: readonly ZoneName[]} {
		const upstreams = keepLocal(this.#allowed, this.#route.bodySize ?? BodySize.ordinary);
		const [nearest = [], ...others] = [Distance.sameZone, Distance.sameRegion, Distance.otherRegion]
			.map(wanted => [...new Set(upstreams.filter(({distance}) => distance === wanted).map(({record}) => record.zone))])
			.filter(zones => zones.length > 0);
		return {nearest, others: others.flat()};
	}

	/** Returns how long the notices of the upstreams keep the request from being sent: 0 if they don't, `Infinity` for good. */
	waitForOpen(now: MonotonicTime): Milliseconds {
		return this.target === undefined ? waitForOpen(this.#allowed, now) : this.target.pauseOfHolder(now);
	}

	/** Returns how long until the request may be sent although all upstreams that may process it are cold; 0 if one isn't. */
	waitForCold(now: MonotonicTime): Milliseconds {
		const {cold} = this.#dependencies.table;
		if (this.target !== undefined) {
			const {holder} = this.target;
			return holder === undefined ? 0 : cold.waitFor(holder.record, now);
		}

		const allowed = this.#allowed;
		let shortest = allowed.length === 0 ? 0 : Infinity;
		for (const {record} of allowed) {
			shortest = Math.min(shortest, cold.waitFor(record, now));
			if (shortest === 0) {
				break;
			}
		}

		return shortest;
	}

	/** Records that the request is being sent. */
	recordSend(upstream: CachedUpstream, now: MonotonicTime): void {
		this.target?.recordSend(upstream, now);
		this.#isCountedAsCold = this.#dependencies.table.cold.recordSend(upstream.record, now);
	}

	/** Whether the first byte may still be sent to the upstream, which may have become cold while a connection was opened. */
	mayStart({record}: CachedUpstream, now: MonotonicTime): boolean {
		const {cold} = this.#dependencies.table;
		if (this.#isCountedAsCold) {
			return cold.mayStart(record, now);
		}

		if (cold.waitFor(record, now) > 0) {
			return false;
		}

		this.#isCountedAsCold = cold.recordSend(record, now);
		return true;
	}

	/** Returns until when the request may be sent, for the quickest upstream that may process it to answer by `end` as far as is known. */
	latestStart(end: MonotonicTime): MonotonicTime {
		if (end === Infinity) {
			return Infinity;
		}

		const holder = this.target?.holder;
		const known = this.target === undefined ? this.#allowed : [holder].filter(upstream => upstream !== undefined);
		return known.length === 0 ? end : end - Math.min(...known.map(({load}) => load.cautiousLatency));
	}

	/** Returns what a request that arrived at `arrivedAt` would wait for, the expected wait and its limit. */
	estimateWait(arrivedAt: MonotonicTime, deadline: MonotonicTime, now: MonotonicTime): WaitEstimate {
		const {queue} = this.#service;
		const {priority, objectiveMilliseconds} = this.#route;
		const key = this.target?.key;
		const holder = this.target?.holder;
		const turn = queue.nextTurn(key);
		const until = waitDeadline({
			arrivedAt, objectiveMilliseconds, deadline, expectedMilliseconds: (holder ?? this.#allowed[0])?.load.latency ?? 0,
		});
		const lineWait = holder === undefined ? 0 : holder.load.expectedWait(queue.countAhead(holder.id, priority, turn), now);
		const paceWait = holder === undefined ? 0 : this.target!.waitFor(holder, turn, now);
		return {
			holder, key, turn, lineWait, paceWait, until,
		};
	}

	get #allowed(): readonly CachedUpstream[] {
		const {upstreams} = this.#service;
		return this.#route.allowedRegions === undefined ? upstreams : upstreams.filter(upstream => allowsRegion(this.#route, upstream));
	}

	/** Whether the route allows one of these upstreams. */
	#allows(upstreams: readonly CachedUpstream[]): boolean {
		return upstreams.some(upstream => allowsRegion(this.#route, upstream));
	}

	/** The most connections that this instance opens to one upstream. */
	get #connections(): number {
		return Math.max(1, Math.floor(this.#service.maxConnections / (this.#dependencies.entryCount() + 1)));
	}

	/** Returns the upstreams that may be sent the request and have a connection for it. */
	#available(use: LeavingUse, now: MonotonicTime): readonly CachedUpstream[] {
		const connections = this.#connections;
		const {cold} = this.#dependencies.table;
		const open = keepLocal(this.#allowed.filter(({notices}) => notices.waitFor(use, now) === 0), this.#route.bodySize ?? BodySize.ordinary);
		return open.filter(upstream => cold.waitFor(upstream.record, now) === 0 && upstream.pool.hasRoom(connections, this.refusedOn) && this.#restriction?.(upstream) !== false);
	}

	#chooseHolder(target: KeyTarget, now: MonotonicTime): CachedUpstream | undefined {
		const holder = target.availableHolder(now);
		const isAllowed = holder !== undefined && allowsRegion(this.#route, holder) && this.#dependencies.table.cold.waitFor(holder.record, now) === 0;
		return isAllowed && holder.load.hasRoom(now) && holder.pool.hasRoom(this.#connections, this.refusedOn) && target.waitFor(holder, 0, now) === 0
			? holder
			: undefined;
	}

	#chooseAny(now: MonotonicTime): CachedUpstream | undefined {
		const available = this.#available(leavingUseOf(this.#allowed), now);
		return selectUpstream(available, this.attempted, now) ?? (this.attempted.length > 0 ? selectUpstream(available, [], now) : undefined);
	}
}
