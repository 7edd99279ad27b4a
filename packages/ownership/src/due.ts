/**
 * When a steward's next tick has something to do, so that its edge can wait for
 * that moment and need not ask again and again.
 */
import {type MonotonicTime} from '@dogwooddeck/model/identifiers';
import {delegationDueAt} from './leasing.js';
import {standingDueAt} from './standing.js';
import {type StewardState} from './steward-state.js';
import {drainedGrowsAt, supportEnd} from './tenure.js';

/**
 * The first moment at which a tick may change anything, if no other event comes
 * before. Ask again after each event. Infinite: only an event changes anything.
 */
export function stewardDueAt(state: StewardState, now: MonotonicTime): MonotonicTime {
	const standing = standingDueAt(state);
	return state.electedAt === undefined
		? standing
		: Math.min(standing, supportEnd(state), delegationDueAt(state, now), drainedGrowsAt(state, now));
}
