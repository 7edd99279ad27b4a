/**
 * The numbers that placement decides by, one set for each of a contract's weights.
 */
import {MovePreference} from '@dogwooddeck/model/contract';
import {type Milliseconds} from '@dogwooddeck/model/identifiers';

/** The numbers of one policy. Scores are multiples of an upstream's fair share. */
export type PlacementPolicy = {
	/** Pinned keys move when an upstream's score is above this. */
	readonly pinTrigger: number;
	/** Optional moves of slots begin when an upstream's score is above this. */
	readonly balanceTrigger: number;
	/** Optional moves of slots go on until no score is above this. */
	readonly balanceTarget: number;
	/** A move must bring the greater of the two scores down by at least this much. */
	readonly leastGain: number;
	/** The part of the score that comes from load; the rest comes from the number of slots. */
	readonly loadWeight: number;
	/** What a slot of average load costs in score when all its requests come from another region. */
	readonly remoteWeight: number;
	/** Optional moves that a service may make in a minute. */
	readonly movesPerMinute: number;
	/** Optional moves that may be under way at one time. */
	readonly movesAtOnce: number;
	/** A slot or pinned key that was moved without need stays at least this long. */
	readonly cooldownMilliseconds: Milliseconds;
	/** Optional moves stop when more than this share of the upstreams flaps or warms up after a loss. */
	readonly stormShare: number;
	/** A key with more than this part of an upstream's fair share of load may be pinned. */
	readonly pinShare: number;
	/** A pinned key goes nearer to its requests when the part that comes from another region goes down by this much. */
	readonly localityGain: number;
	/** A pinned key with less than this part goes back to its slot. */
	readonly unpinShare: number;
	/** The number of pinned keys of one service. */
	readonly mostPinned: number;
	/** The time over which loads are smoothed. */
	readonly smoothingMilliseconds: Milliseconds;
	/** The share that a new upstream may take at once. */
	readonly coldShare: number;
	/** A new upstream may take this multiple of the load that it has shown to carry. */
	readonly coldGrowth: number;
};

/** The policies by the contract's weight. */
export const placementPolicies: Readonly<Record<MovePreference, PlacementPolicy>> = {
	[MovePreference.availability]: {
		pinTrigger: 1.1,
		balanceTrigger: 1.4,
		balanceTarget: 1.25,
		leastGain: 0.03,
		loadWeight: 0.65,
		remoteWeight: 0.1,
		movesPerMinute: 12,
		movesAtOnce: 4,
		cooldownMilliseconds: 60_000,
		stormShare: 0.25,
		pinShare: 0.1,
		localityGain: 0.4,
		unpinShare: 0.03,
		mostPinned: 32,
		smoothingMilliseconds: 15_000,
		coldShare: 0.5,
		coldGrowth: 2,
	},
	[MovePreference.churn]: {
		pinTrigger: 1.15,
		balanceTrigger: 2,
		balanceTarget: 1.7,
		leastGain: 0.05,
		loadWeight: 0.65,
		remoteWeight: 0.3,
		movesPerMinute: 4,
		movesAtOnce: 2,
		cooldownMilliseconds: 180_000,
		stormShare: 0.15,
		pinShare: 0.1,
		localityGain: 0.4,
		unpinShare: 0.03,
		mostPinned: 32,
		smoothingMilliseconds: 30_000,
		coldShare: 0.5,
		coldGrowth: 2,
	},
};
