/**
 * When a voter's next tick has something to do, so that its edge can wait for
 * that moment and need not ask again and again.
 */
import {type MonotonicTime} from '@dogwooddeck/model/identifiers';
import {latestVoterSet} from './log.js';
import {Role} from './machine.js';
import {roundHeardAt} from './quorum.js';
import {votesItself, type VoterState} from './state.js';
import {isMajority} from './voter-set.js';

function isAlone(state: VoterState): boolean {
	return isMajority(latestVoterSet(state.log), [state.options.self]);
}

function electionDueAt(state: VoterState): MonotonicTime {
	if (!votesItself(state)) {
		return Infinity;
	}

	return isAlone(state) && state.campaign === undefined ? -Infinity : state.electionAt;
}

function leaderDueAt(state: VoterState): MonotonicTime {
	const {heartbeatAt, handOver} = state.leadership!;
	const {electionMilliseconds} = state.options;
	const lostAt = isAlone(state) ? Infinity : roundHeardAt(state, state.leadership!) + electionMilliseconds;
	return Math.min(heartbeatAt, lostAt, (handOver?.startedAt ?? Infinity) + electionMilliseconds);
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
