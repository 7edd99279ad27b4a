/**
 * Adds joining voters to the voter set: first as learners, then in place of an
 * earlier data folder of the same name, one single-member change at a time.
 */
import {type VoterIdentity, type VoterSet} from '@dogwooddeck/consensus/message';
import {includesVoter, sameVoter} from '@dogwooddeck/consensus/voter-set';
import {failure, type Failure, FailureKind} from '@dogwooddeck/model/failure';
import {type InstanceName} from '@dogwooddeck/model/identifiers';
import {EventName} from '@dogwooddeck/telemetry/event';
import {type Log} from '@dogwooddeck/telemetry/log';
import {err, ok, type Result} from 'true-myth/result';
import {type ControlVoter} from './control-voter.js';
import {type CachedLeader} from './cached-leader.js';

/**
 * Makes the next membership change towards the vote of a joining data folder.
 * Fails with `notLeader`, with `forbidden` for a name that the settings don't
 * list, and as the log does.
 */
export type JoinVotersHandler = (joining: VoterIdentity) => Promise<Result<undefined, Failure>>;

/** Collaborators of the leader's handler for joining voters. */
export type JoinVoterDependencies = {
	/** Whether the settings list a name as a voter. */
	readonly isListedVoter: (name: InstanceName) => boolean;
	readonly voter: () => ControlVoter | undefined;
	readonly cachedLeader: CachedLeader;
	readonly log: Log;
};

function replaceLearner({voters, learners}: VoterSet, joining: VoterIdentity): VoterSet {
	const others = learners.filter(({name}) => name !== joining.name);
	return others.length < learners.length ? {voters, learners: others} : {voters, learners: [...learners, joining]};
}

function replaceVoter({voters, learners}: VoterSet, joining: VoterIdentity): VoterSet {
	const others = voters.filter(({name}) => name !== joining.name);
	return others.length < voters.length
		? {voters: others, learners}
		: {voters: [...voters, joining], learners: learners.filter(learner => !sameVoter(learner, joining))};
}

/** Returns the voter set after the next single-member change that adds a joining data folder, or undefined if it votes already. */
function nextVoterSet(voterSet: VoterSet, joining: VoterIdentity): VoterSet | undefined {
	if (includesVoter(voterSet.voters, joining)) {
		return undefined;
	}

	return includesVoter(voterSet.learners, joining) ? replaceVoter(voterSet, joining) : replaceLearner(voterSet, joining);
}

/** Creates the leader's handler for joining voters. It makes one change at a time; a request during a change is a no-op. */
export function createJoinVotersHandler({
	isListedVoter, voter, cachedLeader, log,
}: JoinVoterDependencies): JoinVotersHandler {
	let changing = false;

	async function change(leadingVoter: ControlVoter, joining: VoterIdentity, voterSet: VoterSet): Promise<Result<undefined, Failure>> {
		changing = true;
		log.event(EventName.voterJoining, {voter: joining.name, folder: joining.folder});
		const changed = await leadingVoter.changeVoters(voterSet);
		changing = false;
		return changed.map(() => undefined);
	}

	return async joining => {
		const leadingVoter = voter();
		if (!leadingVoter?.isLeader()) {
			return err(cachedLeader.notLeader());
		}

		if (!isListedVoter(joining.name)) {
			return err(failure(FailureKind.forbidden, `${joining.name} is not listed as a voter`));
		}

		const voterSet = nextVoterSet(leadingVoter.voterSet(), joining);
		return voterSet === undefined || changing ? ok(undefined) : change(leadingVoter, joining, voterSet);
	};
}
