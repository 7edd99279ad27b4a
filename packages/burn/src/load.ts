/**
 * Distribution of requests over upstreams: each instance counts the requests
 * that it sent recently, and the report sums them over instances.
 */
import {
	type Milliseconds, type MonotonicTime, type ServiceName, type UpstreamName,
} from '@dogwooddeck/model/identifiers';

/** The number of requests sent to one upstream. */
export type UpstreamLoad = {readonly service: ServiceName; readonly upstream: UpstreamName; readonly requests: number};

/** The length of a counting window. Counts cover the last one to two windows. */
export const loadWindowMilliseconds: Milliseconds = 300_000;

/** Counts by service and upstream. */
type LoadCounts = Map<ServiceName, Map<UpstreamName, number>>;

function addRequests(loads: LoadCounts, service: ServiceName, upstream: UpstreamName, requests: number): void {
	let counts = loads.get(service);
	if (counts === undefined) {
		counts = new Map();
		loads.set(service, counts);
	}

	counts.set(upstream, (counts.get(upstream) ?? 0) + requests);
}

function loadsOf(loads: LoadCounts): readonly UpstreamLoad[] {
	return [...loads].flatMap(([service, counts]) => [...counts].map(([upstream, requests]) => ({service, upstream, requests})));
}

/** Sums the loads of each upstream. */
export function mergeLoads(loads: Iterable<UpstreamLoad>): readonly UpstreamLoad[] {
	const merged: LoadCounts = new Map();
	for (const {service, upstream, requests} of loads) {
		addRequests(merged, service, upstream, requests);
	}

	return loadsOf(merged);
}

/** The maximum count as a multiple of the mean over `owners`. 0 if all counts are 0. */
export function imbalance(counts: readonly number[], owners: number): number {
	const sum = counts.reduce((one, other) => one + other, 0);
	return sum === 0 ? 0 : Math.max(...counts) * owners / sum;
}

/** The maximum number of requests on one upstream of a service, as a multiple of the mean over `owners`, or over the upstreams that were sent requests if these are more. 0 without requests. */
export function loadImbalance(loads: readonly UpstreamLoad[], service: ServiceName, owners: number): number {
	const counts = mergeLoads(loads).filter(load => load.service === service).map(({requests}) => requests);
	return imbalance(counts, Math.max(owners, counts.length));
}

/** Counts the requests of the current window and keeps the previous one. Mutable, since it runs for every request. */
export class LoadRecorder {
	#windowStartedAt: MonotonicTime;
	#current: LoadCounts = new Map();
	#previous: LoadCounts = new Map();

	constructor(now: MonotonicTime) {
		this.#windowStartedAt = now;
	}

	record(service: ServiceName, upstream: UpstreamName, now: MonotonicTime): void {
		this.#rotate(now);
		addRequests(this.#current, service, upstream, 1);
	}

	/** The requests of the current and the previous window. */
	loads(now: MonotonicTime): readonly UpstreamLoad[] {
		this.#rotate(now);
		return mergeLoads([...loadsOf(this.#previous), ...loadsOf(this.#current)]);
	}

	#rotate(now: MonotonicTime): void {
		const elapsedWindows = Math.floor((now - this.#windowStartedAt) / loadWindowMilliseconds);
		if (elapsedWindows > 0) {
			this.#previous = elapsedWindows === 1 ? this.#current : new Map<ServiceName, Map<UpstreamName, number>>();
			this.#current = new Map();
			this.#windowStartedAt += elapsedWindows * loadWindowMilliseconds;
		}
	}
}
