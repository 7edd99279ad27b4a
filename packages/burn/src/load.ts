/**
 * How requests are divided over upstreams: each instance counts lately sent
 * requests, and the report adds them up over instances.
 */
import {
	type Milliseconds, type MonotonicTime, type ServiceName, type UpstreamName,
} from '@dogwooddeck/model/identifiers';

/** The requests that were sent to one upstream. */
export type UpstreamLoad = {readonly service: ServiceName; readonly upstream: UpstreamName; readonly requests: number};

/** Counts go back by one to two of these. */
export const loadWindowMilliseconds: Milliseconds = 300_000;

type LoadWindow = Map<string, UpstreamLoad>;

function keyOf({service, upstream}: Omit<UpstreamLoad, 'requests'>): string {
	return `${service}\n${upstream}`;
}

function add(window: LoadWindow, load: UpstreamLoad): void {
	const known = window.get(keyOf(load))?.requests ?? 0;
	window.set(keyOf(load), {...load, requests: known + load.requests});
}

/** Adds up loads of the same upstream. */
export function mergeLoads(loads: Iterable<UpstreamLoad>): readonly UpstreamLoad[] {
	const merged: LoadWindow = new Map<string, UpstreamLoad>();
	for (const load of loads) {
		add(merged, load);
	}

	return [...merged.values()];
}

/** The greatest count as a multiple of the mean over so many owners. 0 where nothing is counted. */
export function imbalance(counts: readonly number[], owners: number): number {
	const sum = counts.reduce((one, other) => one + other, 0);
	return sum === 0 ? 0 : Math.max(...counts) * owners / sum;
}

/** The most requests on one upstream of a service, as a multiple of the mean over so many owners, or over those that were sent requests where these are more. 0 without requests. */
export function loadImbalance(loads: readonly UpstreamLoad[], service: ServiceName, owners: number): number {
	const counts = mergeLoads(loads).filter(load => load.service === service).map(({requests}) => requests);
	return imbalance(counts, Math.max(owners, counts.length));
}

/** Counts the requests of the present window and keeps the one before. It changes in place, since it runs for every request. */
export class LoadRecorder {
	#beganAt: MonotonicTime;
	#present: LoadWindow = new Map<string, UpstreamLoad>();
	#before: LoadWindow = new Map<string, UpstreamLoad>();

	constructor(now: MonotonicTime) {
		this.#beganAt = now;
	}

	/** Counts one request. */
	record(service: ServiceName, upstream: UpstreamName, now: MonotonicTime): void {
		this.#turn(now);
		add(this.#present, {service, upstream, requests: 1});
	}

	/** The requests of the present window and the one before. */
	loads(now: MonotonicTime): readonly UpstreamLoad[] {
		this.#turn(now);
		return mergeLoads([...this.#before.values(), ...this.#present.values()]);
	}

	#turn(now: MonotonicTime): void {
		const passed = Math.floor((now - this.#beganAt) / loadWindowMilliseconds);
		if (passed > 0) {
			this.#before = passed === 1 ? this.#present : new Map<string, UpstreamLoad>();
			this.#present = new Map<string, UpstreamLoad>();
			this.#beganAt += passed * loadWindowMilliseconds;
		}
	}
}
