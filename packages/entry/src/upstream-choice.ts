/**
 * The choice of an upstream for one request: which upstreams may process it, the
 * cheapest of them that has room now, and what the request waits for if none has.
 */
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

/** Whether an upstream may be chosen. */
export type UpstreamRestriction = (upstream: CachedUpstream) => boolean;

/** Whether the route allows an upstream of this region. */
function allowsRegion({allowedRegions}: NamedRoute, {region}: CachedUpstream): boolean {
	return allowedRegions === undefined || (region !== undefined && allowedRegions.includes(region));
}

/** The upstreams that one request may be sent to, and those that it was sent to. */
export class UpstreamChoice {
	/** Undefined if the service has no keys. */
	readonly target: KeyTarget | undefined;
	/** Connections on which an upstream refused the request. */
	readonly refusedOn = new Set<Connection>();
	/** The upstreams of all attempts. */
	readonly attempted: string[] = [];
	readonly #dependencies: KeyDependencies;
	readonly #service: CachedService;
	readonly #route: NamedRoute;
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

		return this.#service.upstreams.length > 0 && this.#allowed.length === 0;
	}

	/** Returns the upstream to send the request to now; undefined if none has room. */
	choose(now: MonotonicTime): CachedUpstream | undefined {
		return this.target === undefined ? this.#chooseAny(now) : this.#chooseHolder(this.target, now);
	}

	/** Restricts the choice further than the route does; undefined: no further. */
	restrictTo(restriction: UpstreamRestriction | undefined): void {
		this.#restriction = restriction;
	}

	/** Returns the upstream with this identifier if the request may be sent to it now. */
	findAvailable(id: string, now: MonotonicTime): CachedUpstream | undefined {
		return this.#available(now).find(upstream => upstream.id === id);
	}

	/** The other zones with upstreams that the request may be sent to, the nearest first. */
	get otherZones(): readonly ZoneName[] {
		const others = this.#allowed.filter(({distance}) => distance !== Distance.sameZone);
		const inRegion = others.filter(({distance}) => distance === Distance.sameRegion);
		return [...new Set([...inRegion, ...others].map(({record}) => record.zone))];
	}

	/** Returns how long the notices of the upstreams keep the request from being sent: 0 if they don't, `Infinity` for good. */
	waitForOpen(now: MonotonicTime): Milliseconds {
		return this.target === undefined ? waitForOpen(this.#allowed, now) : this.target.pauseOfHolder(now);
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

	/** The most connections to one upstream. */
	get #connections(): number {
		return Math.max(1, Math.floor(this.#service.maxConnections / (this.#dependencies.entryCount() + 1)));
	}

	#chooseHolder(target: KeyTarget, now: MonotonicTime): CachedUpstream | undefined {
		const holder = target.availableHolder(now);
		return holder !== undefined && allowsRegion(this.#route, holder) && holder.load.hasRoom(now) && holder.pool.hasRoom(this.#connections, this.refusedOn) && target.waitFor(holder, 0, now) === 0
			? holder
			: undefined;
	}

	#available(now: MonotonicTime): readonly CachedUpstream[] {
		const allowed = this.#allowed;
		const use = leavingUseOf(allowed);
		const connections = this.#connections;
		return allowed.filter(upstream => upstream.notices.waitFor(use, now) === 0 && upstream.pool.hasRoom(connections, this.refusedOn) && this.#restriction?.(upstream) !== false);
	}

	#chooseAny(now: MonotonicTime): CachedUpstream | undefined {
		const available = this.#available(now);
		return selectUpstream(available, this.attempted, now) ?? (this.attempted.length > 0 ? selectUpstream(available, [], now) : undefined);
	}
}
