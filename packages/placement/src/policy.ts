/**
 * The parameters of placement, one set for each weight that a contract may choose.
 */
import {MovePreference} from '@dogwooddeck/model/contract';
import {type Milliseconds} from '@dogwooddeck/model/identifiers';

/** The parameters of one policy. Scores are multiples of an upstream's fair share. */
export type PlacementPolicy = {
	/** Pinned keys move when an upstream's score is above this. */
	readonly pinTrigger: number;
	/** Optional moves of slots begin when an upstream's score is above this. */
	readonly balanceTrigger: number;
	/** Optional moves of slots continue until no score is above this. */
	readonly balanceTarget: number;
	/** The least amount by which a move must reduce the greater of the two scores. */
	readonly minimumGain: number;
	/** The weight of load in the score, from 0 to 1; the rest is the weight of the number of slots. */
	readonly loadWeight: number;
	/** The cost, in score, of a slot of average load when all its requests come from another region. */
	readonly remoteWeight: number;
	/** The number of optional moves that a service may make per minute. */
	readonly movesPerMinute: number;
	/** The number of optional moves that may be in progress at once. */
	readonly maxConcurrentMoves: number;
	/** The least time for which a slot or pinned key stays after an optional move. */
	readonly cooldownMilliseconds: Milliseconds;
	/** Optional moves stop while more than this share of the upstreams flaps, or of the slots has no owner. */
	readonly failureBurstShare: number;
	/** A key with more than this fraction of an upstream's fair share of load may be pinned. */
	readonly pinShare: number;
	/** A pinned key moves closer to its requests when this reduces the fraction from other regions by at least this much. */
	readonly localityGain: number;
	/** A pinned key with less than this fraction of an upstream's fair share of load returns to its slot. */
	readonly unpinShare: number;
	/** The maximum number of pinned keys of one service. */
	readonly maxPinnedKeys: number;
	/** The time over which loads are smoothed. */
	readonly smoothingMilliseconds: Milliseconds;
	/** The fraction of a full share that a new upstream may carry at once. */
	readonly coldShare: number;
	/** A new upstream may carry, on top of `coldShare`, this multiple of the load that it has carried so far. */
	readonly coldGrowth: number;
};

/** The policy for each weight of a contract. */
export const placementPolicies: Readonly<Record<MovePreference, PlacementPolicy>> = {
	[MovePreference.availability]: {
		pinTrigger: 1.1,
		balanceTrigger: 1.4,
		balanceTarget: 1.25,
		minimumGain: 0.03,
		loadWeight: 0.65,
		remoteWeight: 0.1,
		movesPerMinute: 12,
		maxConcurrentMoves: 4,
		cooldownMilliseconds: 60_000,
		failureBurstShare: 0.25,
		pinShare: 0.1,
		localityGain: 0.4,
		unpinShare: 0.03,
		maxPinnedKeys: 32,
		smoothingMilliseconds: 15_000,
		coldShare: 0.5,
		coldGrowth: 2,
	},
	[MovePreference.churn]: {
		pinTrigger: 1.15,
		balanceTrigger: 2,
		balanceTarget: 1.7,
		minimumGain: 0.05,
		loadWeight: 0.65,
		remoteWeight: 0.3,
		movesPerMinute: 4,
		maxConcurrentMoves: 2,
		cooldownMilliseconds: 180_000,
		failureBurstShare: 0.15,
		pinShare: 0.1,
		localityGain: 0.4,
		unpinShare: 0.03,
		maxPinnedKeys: 32,
		smoothingMilliseconds: 30_000,
		coldShare: 0.5,
		coldGrowth: 2,
	},
};
