/**
 * Caches which instance leads the control group, as a hint for requests.
 */
import {failure, type Failure, FailureKind} from '@dogwooddeck/model/failure';
import {type InstanceName} from '@dogwooddeck/model/identifiers';
import {type ControlVoter} from './control-voter.js';

/** The cached leader. */
export type CachedLeader = {
	readonly leader: () => InstanceName | undefined;
	/** Records that an instance answered as the leader. */
	readonly recordAnswer: (name: InstanceName) => void;
	/** Returns the failure for a request that needs the leader, with a hint to the leader if it is cached. */
	readonly notLeader: () => Failure;
};

/**
 * Creates a cache that returns the leader that the local voter follows, or else
 * the last other instance that answered. An earlier answer of this instance is
 * ignored, because a voter that leads reports itself.
 */
export function createCachedLeader(self: InstanceName, voter: () => Pick<ControlVoter, 'leader'> | undefined): CachedLeader {
	let lastAnswered: InstanceName | undefined;

	function leader(): InstanceName | undefined {
		return voter()?.leader() ?? (lastAnswered === self ? undefined : lastAnswered);
	}

	return {
		leader,
		recordAnswer(name) {
			lastAnswered = name;
		},
		notLeader() {
			const cached = leader();
			return failure(FailureKind.notLeader, `${self} does not lead`, cached === undefined ? {} : {leader: cached});
		},
	};
}
