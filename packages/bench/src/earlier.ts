/**
 * Earlier versions of our policy, kept as sets of numbers.
 */
import {type Weigh} from '@dogwooddeck/model/contract';
import {type PlacementPolicy} from '@dogwooddeck/placement/policy';

/** The numbers of earlier versions, by the version's name. */
export const earlierPolicies: Readonly<Record<string, Readonly<Record<Weigh, PlacementPolicy>>>> = {
	/** Slots and pinned keys alike, moved at a lower score. */
	'version 1': {
		availability: {
			pinTrigger: 1.3,
			balanceTrigger: 1.3,
			balanceTarget: 1.15,
			leastGain: 0.02,
			loadWeight: 0.8,
			remoteWeight: 0.1,
			movesPerMinute: 12,
			movesAtOnce: 4,
			cooldownMilliseconds: 0,
			stormShare: 0.25,
			pinShare: 0.25,
			localityGain: 2,
			unpinShare: 0.05,
			mostPinned: 16,
			smoothingMilliseconds: 15_000,
			coldShare: 0.2,
			coldGrowth: 2,
		},
		churn: {
			pinTrigger: 1.6,
			balanceTrigger: 1.6,
			balanceTarget: 1.35,
			leastGain: 0.05,
			loadWeight: 0.8,
			remoteWeight: 0.3,
			movesPerMinute: 4,
			movesAtOnce: 2,
			cooldownMilliseconds: 0,
			stormShare: 0.15,
			pinShare: 0.4,
			localityGain: 2,
			unpinShare: 0.05,
			mostPinned: 8,
			smoothingMilliseconds: 30_000,
			coldShare: 0.2,
			coldGrowth: 2,
		},
	},
};
