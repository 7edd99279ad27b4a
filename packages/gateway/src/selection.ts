/**
 * Which upstream of a service gets a request that belongs to no key.
 *
 * Load pattern: each zone has upstreams of its own. A request stays in its zone
 * while that has room, goes to another zone of its region before it waits, and
 * crosses regions only when the region has none.
 */
import {
	type Milliseconds, type MonotonicTime, type RegionName, type ZoneName,
} from '@dogwooddeck/model/identifiers';
import {type UpstreamLoad} from './upstream-load.js';

/** How far an upstream is from this instance. */
export const Distance = {
	sameZone: 'same-zone',
	sameRegion: 'same-region',
	otherRegion: 'other-region',
} as const;

/** One of the distances. */
export type Distance = (typeof Distance)[keyof typeof Distance];

/** How far a zone is from the own one. */
export function distanceOf(own: ZoneName, zone: ZoneName, regions: Readonly<Record<ZoneName, RegionName>>): Distance {
	if (zone === own) {
		return Distance.sameZone;
	}

	return regions[zone] === regions[own] ? Distance.sameRegion : Distance.otherRegion;
}

/** An upstream that may be chosen. */
export type Choice = {
	readonly id: string;
	readonly distance: Distance;
	readonly load: UpstreamLoad;
	/** It is still slow after its start. */
	readonly cold: boolean;
};

/** What a request costs for its distance, as if it took so much longer: its way, and the price of its bytes. */
const distanceMilliseconds: Readonly<Record<Distance, Milliseconds>> = {
	[Distance.sameZone]: 0,
	[Distance.sameRegion]: 15,
	[Distance.otherRegion]: 250,
};

/** A failing upstream counts as this many times slower at a failure share of 1. */
const failureWeight = 8;

/** A cold upstream counts as this many times slower. */
const coldWeight = 2;

function costOf({distance, load, cold}: Choice): number {
	const busy = (load.underWay + 1) * load.latency * (cold ? coldWeight : 1);
	return distanceMilliseconds[distance] + (busy * (1 + (failureWeight * load.failureShare)));
}

/** The best upstream with room, or undefined where none has any. `excluded` were tried already. */
export function selectUpstream<Chosen extends Choice>(choices: readonly Chosen[], excluded: readonly string[], now: MonotonicTime): Chosen | undefined {
	let best: Chosen | undefined;
	let bestCost = Infinity;
	for (const choice of choices) {
		if (!choice.load.hasRoom(now) || excluded.includes(choice.id)) {
			continue;
		}

		const cost = costOf(choice);
		if (cost < bestCost) {
			best = choice;
			bestCost = cost;
		}
	}

	return best;
}
