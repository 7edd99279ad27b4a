/**
 * When a voter's next tick has something to do, so that its edge can wait for
 * that moment and need not ask again and again.
 */
import {type MonotonicTime} from '@dogwooddeck/model/identifiers';
import {latestVoterSet} from './log.js';
import {Role} from './machine.js';
import {roundContactAt} from './quorum.js';
import {type Leadership, votesItself, type VoterState} from './state.js';
import {isMajority} from './voter-set.js';

function isAlone(state: VoterState): boolean {
	return isMajority(latestVoterSet(state.log), [state.options.self]);
}

/** When a voter stands for election if it hears from nobody. Infinite for one that doesn't vote. */
export function electionDueAt(state: VoterState): MonotonicTime {
	if (!votesItself(state)) {
		return Infinity;
	}

	return isAlone(state) && state.campaign === undefined ? -Infinity : state.electionAt;
}

/**
 * When a leader gives up: it heard no majority for an election's time, or it
 * passed leadership on that long ago and the invitation may arrive yet.
 */
export function leadershipEndsAt(state: VoterState, leadership: Leadership): MonotonicTime {
	const {electionMilliseconds} = state.options;
	const heardAt = isAlone(state) ? Infinity : roundContactAt(state, leadership);
	return Math.min(heardAt, leadership.handOver?.startedAt ?? Infinity) + electionMilliseconds;
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
 * The first moment at which a tick may change anything, if no other event comes
 * before. Ask again after each event. Infinite: only an event changes anything.
 */
export function voterDueAt(state: VoterState): MonotonicTime {
	return dueByRole[state.role](state);
}
