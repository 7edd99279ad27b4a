/**
 * Who leads control, as far as this process knows.
 */
import {failure, type Failure, FailureKind} from '@dogwooddeck/model/failure';
import {type InstanceName} from '@dogwooddeck/model/identifiers';
import {type ControlVoter} from './control-voter.js';

/** The leader that is known here. */
export type KnownLeader = {
	readonly leader: () => InstanceName | undefined;
	/** An instance answered as the leader. */
	readonly answered: (name: InstanceName) => void;
	/** What a caller hears that takes this instance for the leader. */
	readonly notLeader: () => Failure;
};

/** Knows the leader that the own voter follows, or else the last other one that answered: a voter that leads knows it. */
export function createKnownLeader(self: InstanceName, voter: () => Pick<ControlVoter, 'leader'> | undefined): KnownLeader {
	let last: InstanceName | undefined;

	function leader(): InstanceName | undefined {
		return voter()?.leader() ?? (last === self ? undefined : last);
	}

	return {
		leader,
		answered(name) {
			last = name;
		},
		notLeader() {
			const known = leader();
			return failure(FailureKind.notLeader, `${self} does not lead`, known === undefined ? {} : {leader: known});
		},
	};
}
