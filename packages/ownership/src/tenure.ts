/**
 * Whether an instance is steward, and how far its zone is drained.
 */
import {includesInstance, type LogIndex, type MonotonicTime} from '@dogwooddeck/model/identifiers';
import {countedHolders, lowestDrained} from './holders.js';
import {type StewardState} from './steward-state.js';
import {acknowledgedIndex, supportedUntil} from './support.js';
import {grantorWait} from './terms.js';

/** Whether an instance belongs to the roster in the table that it has applied. */
export function isSeated(state: StewardState): boolean {
	return includesInstance(state.members, state.self);
}

/** When the steward's support ends. */
export function supportEnd(state: StewardState): MonotonicTime {
	return supportedUntil(state.members, state.records);
}

/** Whether the instance is its zone's steward now. */
export function isSteward(state: StewardState, now: MonotonicTime): boolean {
	return state.electedAt !== undefined && now < supportEnd(state);
}

/** The state after a look at the clock: a tenure whose support ran out is over. */
export function settled(state: StewardState, now: MonotonicTime): StewardState {
	if (state.electedAt === undefined || now < supportEnd(state)) {
		return state;
	}

	const {electedAt: _electedAt, stoodAt: _stoodAt, ...rest} = state;
	return {...rest, records: {}};
}

/** The state after a look at the supports: a majority begins a tenure. */
export function elected(state: StewardState, now: MonotonicTime): StewardState {
	if (state.electedAt !== undefined || now >= supportEnd(state)) {
		return state;
	}

	return {
		...state,
		electedAt: now,
		floor: state.applied,
		holders: {},
		delegatedUntil: -Infinity,
		delegationAskedAt: -Infinity,
		askedDrained: 0,
		askedApplied: 0,
	};
}

/**
 * How far the zone is drained. 0: the steward can't say, because what earlier
 * stewards allowed may be in flight.
 */
export function zoneDrained(state: StewardState, now: MonotonicTime): LogIndex {
	const wait = grantorWait(state.longestDeadlineMilliseconds, state.terms);
	if (state.electedAt === undefined || now < state.electedAt + wait) {
		return 0;
	}

	const counted = countedHolders(state.holders, now, state.longestDeadlineMilliseconds, state.terms);
	return Math.min(state.applied, acknowledgedIndex(state.members, state.records), lowestDrained(counted));
}

/** When the passing of time alone lets `zoneDrained` grow next. */
export function drainedGrowsAt(state: StewardState, now: MonotonicTime): MonotonicTime {
	const wait = grantorWait(state.longestDeadlineMilliseconds, state.terms);
	if (state.electedAt === undefined || now < state.electedAt + wait) {
		return (state.electedAt ?? Infinity) + wait;
	}

	const ends = Object.values(state.holders).map(({leaseUntil}) => leaseUntil + wait).filter(end => now < end);
	return zoneDrained(state, now) < state.applied ? Math.min(...ends) : Infinity;
}
