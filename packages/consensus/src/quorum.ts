/**
 * What a majority of the voters has reached: the entries that are on disk, and the
 * last heartbeat round that was answered.
 */
import {type LogIndex, type MonotonicTime} from '@dogwooddeck/model/identifiers';
import {latestVoterSet, termAt} from './log.js';
import {type VoterIdentity} from './message.js';
import {type Leadership, type VoterState} from './state.js';
import {majorityOf, sameVoter} from './voter-set.js';

/** The highest number that a majority of the voters has reached, given each voter's number. */
function reachedByMajority(state: VoterState, numberOf: (voter: VoterIdentity) => number): number {
	const voterSet = latestVoterSet(state.log);
	const numbers = voterSet.voters.map(voter => numberOf(voter)).sort((one, other) => other - one);
	return numbers[majorityOf(voterSet) - 1] ?? 0;
}

/** The last index that a majority has synced. The leader's own log counts only up to what its disk has synced. */
export function syncedByMajority(state: VoterState, leadership: Leadership): LogIndex {
	return reachedByMajority(state, voter => sameVoter(voter, state.options.self)
		? state.disk.syncedIndex
		: leadership.progress.find(({peer}) => sameVoter(peer, voter))?.matchIndex ?? 0);
}

/** The newest round that a majority has answered; the leader itself counts as having answered. */
export function answeredRound(state: VoterState, leadership: Leadership): number {
	return reachedByMajority(state, voter => sameVoter(voter, state.options.self)
		? leadership.round
		: leadership.progress.find(({peer}) => sameVoter(peer, voter))?.answeredRound ?? 0);
}

/** When the newest round that a majority has answered was sent; the start of leadership if there is none. */
export function roundContactAt(state: VoterState, leadership: Leadership): MonotonicTime {
	const answered = answeredRound(state, leadership);
	return leadership.rounds.find(({round}) => round === answered)?.sentAt ?? leadership.startedAt;
}

/** Whether an entry of the leader's own term is committed. Until then its commit index may be behind. */
export function ownTermCommitted(state: VoterState): boolean {
	return termAt(state.log, state.committed) === state.hardState.term;
}

/**
 * The time, on the leader's clock, up to which a majority is known to have followed it:
 * when the newest round that a majority answered was sent. Undefined on other members,
 * during a leadership transfer, and if it is at least `electionMilliseconds` ago.
 */
export function quorumContactAt(state: VoterState, now: MonotonicTime): MonotonicTime | undefined {
	const {leadership, options} = state;
	if (leadership === undefined || leadership.transfer !== undefined || !ownTermCommitted(state)) {
		return undefined;
	}

	if (latestVoterSet(state.log).voters.length === 1) {
		return now;
	}

	const contactAt = roundContactAt(state, leadership);
	return now - contactAt < options.electionMilliseconds && answeredRound(state, leadership) > 0 ? contactAt : undefined;
}
