/**
 * The time at which a voter's next tick has an effect, so that the caller can set
 * a timer instead of polling.
 */
import {type MonotonicTime} from '@dogwooddeck/model/identifiers';
import {latestVoterSet} from './log.js';
import {Role} from './voter-interface.js';
import {roundContactAt} from './quorum.js';
import {type Leadership, votesItself, type VoterState} from './state.js';
import {isMajority} from './voter-set.js';

function isOnlyVoter(state: VoterState): boolean {
	return isMajority(latestVoterSet(state.log), [state.options.self]);
}

/** When a voter starts an election unless it receives a message from a leader first. Infinite for a learner. */
export function electionDueAt(state: VoterState): MonotonicTime {
	if (!votesItself(state)) {
		return Infinity;
	}

	return isOnlyVoter(state) && state.campaign === undefined ? -Infinity : state.electionAt;
}

/**
 * When a leader steps down: it has had no contact with a majority for one election
 * timeout, or a leadership transfer was started that long ago, whose invitation may
 * still arrive.
 */
export function leadershipEndsAt(state: VoterState, leadership: Leadership): MonotonicTime {
	const {electionMilliseconds} = state.options;
	const lastContactAt = isOnlyVoter(state) ? Infinity : roundContactAt(state, leadership);
	return Math.min(lastContactAt, leadership.transfer?.startedAt ?? Infinity) + electionMilliseconds;
}

function leaderDueAt(state: VoterState): MonotonicTime {
	const leadership = state.leadership!;
	return Math.min(leadership.heartbeatAt, leadershipEndsAt(state, leadership));
}

const dueByRole: Readonly<Record<Role, (state: VoterState) => MonotonicTime>> = {
	[Role.learner]: () => Infinity,
	[Role.follower]: electionDueAt,
	[Role.candidate]: electionDueAt,
	[Role.leader]: leaderDueAt,
};

/**
 * The earliest time at which a tick may change the state if no other event occurs
 * first. Each event may change it. Infinite: ticks have no effect.
 */
export function voterDueAt(state: VoterState): MonotonicTime {
	return dueByRole[state.role](state);
}
