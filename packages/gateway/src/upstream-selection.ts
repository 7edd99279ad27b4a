/**
 * Selects the upstream for a request that belongs to no key.
 *
 * Load patterns: each zone has upstreams of its own. A request stays in its zone
 * while an upstream there has room, is sent to another zone of its region before
 * it waits, and crosses regions only if no upstream of the region has room. An
 * instance that is one of hundreds sees few requests: it measures few of the
 * upstreams, and expects of the others what it measures on average, so that it
 * keeps to a few near ones and their connections.
 */
import {
	type Milliseconds, type MonotonicTime, type RegionName, type ZoneName,
} from '@dogwooddeck/model/identifiers';
import {type UpstreamLoad} from './upstream-load.js';

/** The distance between this instance and an upstream. */
export const Distance = {
	sameZone: 'same-zone',
	sameRegion: 'same-region',
	otherRegion: 'other-region',
} as const;

export type Distance = (typeof Distance)[keyof typeof Distance];

/** Returns the distance between the own zone and another one. */
export function distanceOf(own: ZoneName, zone: ZoneName, regions: Readonly<Record<ZoneName, RegionName>>): Distance {
	if (zone === own) {
		return Distance.sameZone;
	}

	return regions[zone] === regions[own] ? Distance.sameRegion : Distance.otherRegion;
}

/** An upstream that may be selected. */
export type UpstreamCandidate = {
	readonly id: string;
	readonly distance: Distance;
	readonly load: UpstreamLoad;
	/** Whether it is still slow after its start (warming up). */
	readonly cold: boolean;
	/** Whether a connection to it is open and idle. */
	readonly isConnected: boolean;
};

/** The cost of a distance, as additional latency: the network's delay, and the price of the traffic. */
const distanceMilliseconds: Readonly<Record<Distance, Milliseconds>> = {
	[Distance.sameZone]: 0,
	[Distance.sameRegion]: 15,
	[Distance.otherRegion]: 250,
};

/** The cost of opening a connection: a round trip, and the upstream's work. */
const newConnectionMilliseconds: Milliseconds = 20;

/** A failure share of 1 adds this many times the expected latency to the cost of an upstream. */
const failurePenalty = 8;

/** The factor by which the latency of a cold upstream is multiplied. */
const coldFactor = 2;

/** The mean latency of the upstreams that were measured; undefined if none was. */
function meanMeasuredLatency(candidates: readonly UpstreamCandidate[]): Milliseconds | undefined {
	let sum = 0;
	let count = 0;
	for (const {load} of candidates) {
		if (load.isMeasured) {
			sum += load.latency;
			count += 1;
		}
	}

	return count === 0 ? undefined : sum / count;
}

function costOf({distance, load, cold, isConnected}: UpstreamCandidate, meanLatency: Milliseconds | undefined, now: MonotonicTime): number {
	const latency = (load.isMeasured ? load.latency : meanLatency ?? load.latency) * (cold ? coldFactor : 1);
	const expectedMilliseconds = load.told.expect((load.inFlight + 1) * latency, latency, load.inFlight, now);
	return distanceMilliseconds[distance] + (isConnected ? 0 : newConnectionMilliseconds) + (expectedMilliseconds * (1 + (failurePenalty * load.failureShare)));
}

/** Returns the cheapest upstream with room, or undefined if none has any. `excluded` lists the upstreams that were tried already. */
export function selectUpstream<Chosen extends UpstreamCandidate>(candidates: readonly Chosen[], excluded: readonly string[], now: MonotonicTime): Chosen | undefined {
	const meanLatency = meanMeasuredLatency(candidates);
	let best: Chosen | undefined;
	let bestCost = Infinity;
	for (const candidate of candidates) {
		if (!candidate.load.hasRoom(now) || excluded.includes(candidate.id)) {
			continue;
		}

		const cost = costOf(candidate, meanLatency, now);
		if (cost < bestCost) {
			best = candidate;
			bestCost = cost;
		}
	}

	return best;
}
