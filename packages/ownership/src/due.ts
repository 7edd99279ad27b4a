/**
 * Computes when a steward's next tick is due, so that its caller can set a timer
 * instead of polling.
 */
import {type MonotonicTime} from '@dogwooddeck/model/identifiers';
import {delegationDueAt} from './leasing.js';
import {candidacyDueAt} from './candidacy.js';
import {type StewardState} from './steward-state.js';
import {drainedAdvancesAt, supportEndsAt} from './tenure.js';

/**
 * Returns the earliest time at which a tick may have an effect, provided that no
 * other event occurs before. Recompute it after each event. Infinity means that
 * only an event can have an effect.
 */
export function stewardDueAt(state: StewardState, now: MonotonicTime): MonotonicTime {
	const candidacyDue = candidacyDueAt(state);
	return state.electedAt === undefined
		? candidacyDue
		: Math.min(candidacyDue, supportEndsAt(state), delegationDueAt(state, now), drainedAdvancesAt(state, now));
}
