/**
 * The state machine by which an instance takes part in its zone's stewardship: it
 * supports a candidate or runs as one itself, and as the zone's elected steward it
 * grants leases to the zone's instances and requests the zone's delegation from
 * control.
 *
 * A lease never outlasts the steward's support, and a control lease (for all slots
 * but the zone's own held ones) never outlasts the delegation. All leases of one
 * steward have therefore expired before another is elected, and the requests that
 * they allowed are past their deadlines one longest deadline later. Only then
 * does a steward report how far its zone is drained.
 */
import {type MonotonicTime} from '@dogwooddeck/model/identifiers';
import {type InstanceRecord} from '@dogwooddeck/model/registry';
import {dispatch, type HandlerTable} from '@dogwooddeck/model/transition';
import {delegationAnswered, leaseRequested} from './leasing.js';
import {leaseAnswered, leaseSent} from './renewal.js';
import {
	resigned, supportAnswered, supportRequested, tableChanged, ticked,
} from './candidacy.js';
import {type StewardEvent, type StewardState, type StewardTransition} from './steward-state.js';
import {createSupporter} from './support.js';
import {type LeaseTerms} from './terms.js';

/** Creates the state of an instance whose process starts now. */
export function createSteward(self: InstanceRecord, now: MonotonicTime, terms: LeaseTerms): StewardState {
	return {
		self,
		terms,
		applied: 0,
		members: [],
		longestDeadlineMilliseconds: 0,
		supporter: createSupporter(now, terms),
		supportRecords: {},
		candidacyNotBefore: -Infinity,
		supportRequestedAt: -Infinity,
		minimumApplied: 0,
		holders: {},
		newcomers: [],
		delegatedUntil: -Infinity,
		delegationRequestedAt: -Infinity,
		reportedDrained: 0,
		reportedApplied: 0,
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

/** Handles an event. Returns the next state and the effects to carry out. */
export function stepSteward(state: StewardState, event: StewardEvent): StewardTransition {
	return dispatch(handlers, event, state);
}

export {isSeated, isSteward} from './tenure.js';
