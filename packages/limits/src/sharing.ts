/**
 * Divides every limit of a deployment over the instances that ask, one division
 * for each limit and caller. A new leader doesn't know what its predecessor gave,
 * but for services that came after it.
 */
import {type Milliseconds, type MonotonicTime, type ServiceName} from '@dogwooddeck/model/identifiers';
import {type LimitDemand, type LimitShare} from '@dogwooddeck/model/share';
import {
	createDivision, createFirstDivision, type DivisionOptions, type DivisionState, stepDivision,
} from './division.js';
import {type EffectiveLimit, windowMilliseconds} from './unit.js';

/** How long a share holds. In a cut, an instance may go on with its shares for this long. */
export const shareMilliseconds: Milliseconds = 15_000;
/** Drift of monotonic clocks over a share, and skew of wall clocks for fixed windows. */
const marginMilliseconds: Milliseconds = 1000;
const floorRatio = 0.25;
const reserveRatio = 0.1;
const headroomRatio = 2;

/** All divisions of one leader. */
export type SharingState = {
	readonly startedAt: MonotonicTime;
	/** The services that an earlier leader may have divided limits of. */
	readonly servicesBefore: readonly ServiceName[];
	/** By `sharingKey`. */
	readonly divisions: Readonly<Record<string, DivisionState>>;
};

/** The sharing of a leader that begins now. */
export function createSharing(now: MonotonicTime, servicesBefore: readonly ServiceName[]): SharingState {
	return {startedAt: now, servicesBefore, divisions: {}};
}

function sharingKey({service, limit, caller}: LimitDemand): string {
	return JSON.stringify([service, limit, caller]);
}

function optionsOf(limit: EffectiveLimit): DivisionOptions {
	return {
		shareMilliseconds, windowMilliseconds: windowMilliseconds(limit), marginMilliseconds, floorRatio, reserveRatio, headroomRatio,
	};
}

function isForgotten(state: SharingState, {service}: LimitDemand, options: DivisionOptions, now: MonotonicTime): boolean {
	const memory = options.shareMilliseconds + options.windowMilliseconds + options.marginMilliseconds;
	return !state.servicesBefore.includes(service) || now >= state.startedAt + memory;
}

function divisionOf(state: SharingState, demand: LimitDemand, limit: EffectiveLimit, now: MonotonicTime): DivisionState {
	const known = state.divisions[sharingKey(demand)];
	if (known?.options.windowMilliseconds === windowMilliseconds(limit)) {
		return known.amount === limit.amount
			? known
			: stepDivision(known, {
				kind: 'amountChanged', now, amount: limit.amount, validUntil: Infinity,
			}).state;
	}

	const options = optionsOf(limit);
	const isFirst = known === undefined && isForgotten(state, demand, options, now);
	return isFirst
		? createFirstDivision(options, limit.amount, Infinity, now)
		: createDivision(options, limit.amount, Infinity, known === undefined ? state.startedAt : now);
}

/** Answers one demand. The sum of the shares in force never exceeds the limit; some of it is kept for those of the `instances` that didn't ask yet. */
export function shareOut(
	state: SharingState,
	demand: LimitDemand,
	limit: EffectiveLimit,
	instances: number,
	now: MonotonicTime,
): {readonly state: SharingState; readonly share: LimitShare | undefined} {
	const {service, limit: name, caller, holder, sequence, wanted, held, usable} = demand;
	const stepped = stepDivision(divisionOf(state, demand, limit, now), {
		kind: 'shareRequested', now, holder, sequence, wanted, held, usable, expected: instances,
	});
	const [granted] = stepped.effects;
	const share = granted === undefined
		? undefined
		: {
			service, limit: name, caller, holder, sequence, amount: granted.amount, validMilliseconds: granted.validMilliseconds,
		};
	return {state: {...state, divisions: {...state.divisions, [sharingKey(demand)]: stepped.state}}, share};
}

/** Drops the divisions that nobody holds a share of any more. */
export function sweepSharing(state: SharingState, now: MonotonicTime): SharingState {
	const kept = Object.entries(state.divisions).filter(([, {holders, options}]) => holders.some(({heardAt}) =>
		now < heardAt + options.shareMilliseconds + options.windowMilliseconds + options.marginMilliseconds));
	return kept.length === Object.keys(state.divisions).length ? state : {...state, divisions: Object.fromEntries(kept)};
}
