/**
 * The part of each instance that takes turns as its zone's steward: it supports
 * a candidate or stands itself, and as steward gives leases to the zone's
 * instances and asks control for the zone's delegation.
 *
 * A lease never lasts longer than the steward's support, and the part that
 * rests on control never longer than the delegation. All leases of one steward
 * are therefore over before another is elected; what they let in flight is past
 * its deadline a longest deadline later. Only then does a steward report how
 * far its zone is drained.
 */
import {type MonotonicTime} from '@dogwooddeck/model/identifiers';
import {type InstanceRecord} from '@dogwooddeck/model/registry';
import {dispatch, type HandlerTable} from '@dogwooddeck/model/transition';
import {delegationAnswered, leaseRequested} from './leasing.js';
import {leaseAnswered, leaseSent} from './renewal.js';
import {
	resigned, supportAnswered, supportRequested, tableChanged, ticked,
} from './standing.js';
import {type StewardEvent, type StewardState, type StewardTransition} from './steward-state.js';
import {createSupporter} from './support.js';
import {type LeaseTerms} from './terms.js';

/** An instance whose process starts now. */
export function createSteward(self: InstanceRecord, now: MonotonicTime, terms: LeaseTerms): StewardState {
	return {
		self,
		terms,
		applied: 0,
		members: [],
		longestDeadlineMilliseconds: 0,
		supporter: createSupporter(now, terms),
		records: {},
		standsFrom: -Infinity,
		supportAskedAt: -Infinity,
		floor: 0,
		holders: {},
		newcomers: [],
		delegatedUntil: -Infinity,
		delegationAskedAt: -Infinity,
		askedDrained: 0,
		askedApplied: 0,
	};
}

const handlers: HandlerTable<StewardEvent, [StewardState], StewardTransition> = {
	ticked,
	tableChanged,
	supportRequested,
	supportAnswered,
	leaseRequested,
	leaseSent,
	leaseAnswered,
	delegationAnswered,
	resigned,
};

/** The next state of a steward, and what to do. */
export function stepSteward(state: StewardState, event: StewardEvent): StewardTransition {
	return dispatch(handlers, event, state);
}

export {isSeated, isSteward} from './tenure.js';
