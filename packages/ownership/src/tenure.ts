/**
 * Tenure of a zone's steward: whether an instance is steward now, and up to
 * which log index its zone is drained.
 */
import {includesInstance, type LogIndex, type MonotonicTime} from '@dogwooddeck/model/identifiers';
import {countedHolders, lowestDrained} from './holders.js';
import {type StewardState} from './steward-state.js';
import {acknowledgedIndex, majoritySupportUntil} from './support.js';
import {grantorWait} from './terms.js';

/** Whether an instance is in its zone's roster, in the table that it has applied. */
export function isSeated(state: StewardState): boolean {
	return includesInstance(state.members, state.self);
}

/** Returns when the support of a majority ends. */
export function supportEndsAt(state: StewardState): MonotonicTime {
	return majoritySupportUntil(state.members, state.supportRecords);
}

/** Whether the instance is its zone's steward now. */
export function isSteward(state: StewardState, now: MonotonicTime): boolean {
	return state.electedAt !== undefined && now < supportEndsAt(state);
}

/** Ends a tenure whose support has expired by `now`. */
export function endExpiredTenure(state: StewardState, now: MonotonicTime): StewardState {
	if (state.electedAt === undefined || now < supportEndsAt(state)) {
		return state;
	}

	const {electedAt: _electedAt, candidateSince: _candidateSince, ...rest} = state;
	return {...rest, supportRecords: {}};
}

/** Starts a tenure if a majority supports the candidate at `now`. */
export function startTenureIfElected(state: StewardState, now: MonotonicTime): StewardState {
	if (state.electedAt !== undefined || now >= supportEndsAt(state)) {
		return state;
	}

	return {
		...state,
		electedAt: now,
		minimumApplied: state.applied,
		holders: {},
		delegatedUntil: -Infinity,
		delegationRequestedAt: -Infinity,
		reportedDrained: 0,
		reportedApplied: 0,
	};
}

/**
 * Returns the log index up to which the zone is drained. Returns 0 while requests
 * that earlier stewards allowed may still be in flight.
 */
export function zoneDrained(state: StewardState, now: MonotonicTime): LogIndex {
	const wait = grantorWait(state.longestDeadlineMilliseconds, state.terms);
	if (state.electedAt === undefined || now < state.electedAt + wait) {
		return 0;
	}

	const counted = countedHolders(state.holders, now, state.longestDeadlineMilliseconds, state.terms);
	return Math.min(state.applied, acknowledgedIndex(state.members, state.supportRecords), lowestDrained(counted));
}

/** Returns when `zoneDrained` may next grow by the passage of time alone. */
export function drainedAdvancesAt(state: StewardState, now: MonotonicTime): MonotonicTime {
	const wait = grantorWait(state.longestDeadlineMilliseconds, state.terms);
	if (state.electedAt === undefined || now < state.electedAt + wait) {
		return (state.electedAt ?? Infinity) + wait;
	}

	const ends = Object.values(state.holders).map(({leaseUntil}) => leaseUntil + wait).filter(end => now < end);
	return zoneDrained(state, now) < state.applied ? Math.min(...ends) : Infinity;
}
