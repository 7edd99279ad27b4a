/**
 * Takes voters in that join: first as learners, then in place of an earlier
 * folder of the same name, one step of the voter set at a time.
 */
import {type VoterIdentity, type VoterSet} from '@dogwooddeck/consensus/message';
import {includesVoter, sameVoter} from '@dogwooddeck/consensus/voter-set';
import {failure, type Failure, FailureKind} from '@dogwooddeck/model/failure';
import {type InstanceName} from '@dogwooddeck/model/identifiers';
import {EventName} from '@dogwooddeck/telemetry/event';
import {type Log} from '@dogwooddeck/telemetry/log';
import {err, ok, type Result} from 'true-myth/result';
import {type ControlVoter} from './control-voter.js';
import {type KnownLeader} from './known-leader.js';

/** Takes the next step towards a joining folder's vote. Fails with `notLeader` and `forbidden`, and as the log does. */
export type TakeVoter = (joining: VoterIdentity) => Promise<Result<undefined, Failure>>;

/** What taking voters in needs. */
export type JoiningSurroundings = {
	/** The names that the settings list as voters. */
	readonly listed: (name: InstanceName) => boolean;
	readonly voter: () => ControlVoter | undefined;
	readonly known: KnownLeader;
	readonly log: Log;
};

function asLearner({voters, learners}: VoterSet, joining: VoterIdentity): VoterSet {
	const others = learners.filter(({name}) => name !== joining.name);
	return others.length < learners.length ? {voters, learners: others} : {voters, learners: [...learners, joining]};
}

function asVoter({voters, learners}: VoterSet, joining: VoterIdentity): VoterSet {
	const others = voters.filter(({name}) => name !== joining.name);
	return others.length < voters.length
		? {voters: others, learners}
		: {voters: [...voters, joining], learners: learners.filter(learner => !sameVoter(learner, joining))};
}

/** The voter set after the next single step that takes a joining folder in, or undefined if nothing is left to do. */
function nextVoterSet(voterSet: VoterSet, joining: VoterIdentity): VoterSet | undefined {
	if (includesVoter(voterSet.voters, joining)) {
		return undefined;
	}

	return includesVoter(voterSet.learners, joining) ? asVoter(voterSet, joining) : asLearner(voterSet, joining);
}

/** Makes what the leader does with voters that join. */
export function createTakeVoter({
	listed, voter, known, log,
}: JoiningSurroundings): TakeVoter {
	let changing = false;

	async function change(leading: ControlVoter, joining: VoterIdentity, voterSet: VoterSet): Promise<Result<undefined, Failure>> {
		changing = true;
		log.event(EventName.voterJoining, {voter: joining.name, folder: joining.folder});
		const changed = await leading.changeVoters(voterSet);
		changing = false;
		return changed.map(() => undefined);
	}

	return async joining => {
		const leading = voter();
		if (!leading?.isLeader()) {
			return err(known.notLeader());
		}

		if (!listed(joining.name)) {
			return err(failure(FailureKind.forbidden, `${joining.name} is not listed as a voter`));
		}

		const voterSet = nextVoterSet(leading.voterSet(), joining);
		return voterSet === undefined || changing ? ok(undefined) : change(leading, joining, voterSet);
	};
}
