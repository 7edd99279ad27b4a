/**
 * Selects the upstream for a request that belongs to no key.
 *
 * Load pattern: each zone has upstreams of its own. A request stays in its zone
 * while an upstream there has room, is sent to another zone of its region before
 * it waits, and crosses regions only if no upstream of the region has room.
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
};

/** The cost of a distance, as additional latency: the network's delay, and the price of the traffic. */
const distanceMilliseconds: Readonly<Record<Distance, Milliseconds>> = {
	[Distance.sameZone]: 0,
	[Distance.sameRegion]: 15,
	[Distance.otherRegion]: 250,
};

/** A failure share of 1 adds this many times the expected latency to the cost of an upstream. */
const failurePenalty = 8;

/** The factor by which the latency of a cold upstream is multiplied. */
const coldFactor = 2;

function costOf({distance, load, cold}: UpstreamCandidate): number {
	const expectedMilliseconds = (load.inFlight + 1) * load.latency * (cold ? coldFactor : 1);
	return distanceMilliseconds[distance] + (expectedMilliseconds * (1 + (failurePenalty * load.failureShare)));
}

/** Returns the cheapest upstream with room, or undefined if none has any. `excluded` lists the upstreams that were tried already. */
export function selectUpstream<Chosen extends UpstreamCandidate>(candidates: readonly Chosen[], excluded: readonly string[], now: MonotonicTime): Chosen | undefined {
	let best: Chosen | undefined;
	let bestCost = Infinity;
	for (const candidate of candidates) {
		if (!candidate.load.hasRoom(now) || excluded.includes(candidate.id)) {
			continue;
		}

		const cost = costOf(candidate);
		if (cost < bestCost) {
			best = candidate;
			bestCost = cost;
		}
	}

	return best;
}
