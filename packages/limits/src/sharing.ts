/**
 * Divides a divider's part of every limit over the instances that ask, one
 * division for each limit and caller: for control over all instances, for a
 * zone's steward over those of the zone. A new divider doesn't know what its
 * predecessor gave, but for services that came after a new leader of control.
 */
import {type Milliseconds, type MonotonicTime, type ServiceName} from '@dogwooddeck/model/identifiers';
import {type LimitDemand, type LimitShare} from '@dogwooddeck/model/share';
import {
	createDivision, createFirstDivision, type DivisionOptions, type DivisionState, stepDivision,
} from './division.js';
import {
	amountNow, changePart, createPart, type PartState,
} from './part-change.js';
import {type LimitPart} from './reserve.js';
import {type EffectiveLimit, windowMilliseconds} from './unit.js';

/** How long a share holds. In a cut, an instance may go on with control's shares for this long. */
export const shareMilliseconds: Milliseconds = 15_000;
/** Drift of monotonic clocks over a share, and skew of wall clocks for fixed windows. */
const marginMilliseconds: Milliseconds = 1000;
/** The time in which every instance that is not cut off has applied a change of the contract. */
const learningMilliseconds: Milliseconds = 5000;
const floorRatio = 0.25;
const reserveRatio = 0.1;
const headroomRatio = 2;

/** All divisions of one leader or steward. */
export type SharingState = {
	readonly startedAt: MonotonicTime;
	/** The services that an earlier leader may have divided limits of. Absent: others may have divided any limit just before it is asked for first. */
	readonly servicesBefore?: readonly ServiceName[];
	/** By `partKey`. */
	readonly parts: Readonly<Record<string, PartState>>;
	/** By `sharingKey`. */
	readonly divisions: Readonly<Record<string, DivisionState>>;
};

/** The sharing of a leader that begins now. */
export function createSharing(now: MonotonicTime, servicesBefore: readonly ServiceName[]): SharingState {
	return {
		startedAt: now, servicesBefore, parts: {}, divisions: {},
	};
}

/** The sharing of a zone's steward that begins now. What it divides may have been control's before. */
export function createZoneSharing(now: MonotonicTime): SharingState {
	return {startedAt: now, parts: {}, divisions: {}};
}

type LimitName = Pick<LimitDemand, 'service' | 'limit'>;

function partKey({service, limit}: LimitName): string {
	return JSON.stringify([service, limit]);
}

function sharingKey({service, limit, caller}: LimitDemand): string {
	return JSON.stringify([service, limit, caller]);
}

function optionsOf(limit: EffectiveLimit): DivisionOptions {
	return {
		shareMilliseconds, windowMilliseconds: windowMilliseconds(limit), marginMilliseconds, floorRatio, reserveRatio, headroomRatio,
	};
}

/** How long a share may count after it was given. */
function memoryMilliseconds(limit: EffectiveLimit): Milliseconds {
	return shareMilliseconds + windowMilliseconds(limit) + marginMilliseconds;
}

/** When nobody else's shares of a limit that is asked for first are remembered any more. */
function firstFreeAt({startedAt, servicesBefore}: SharingState, {service}: LimitName, limit: EffectiveLimit, now: MonotonicTime): MonotonicTime {
	if (servicesBefore === undefined) {
		return now + memoryMilliseconds(limit) + learningMilliseconds;
	}

	return servicesBefore.includes(service) ? startedAt + memoryMilliseconds(limit) : now;
}

function partOf(state: SharingState, name: LimitName, part: LimitPart, now: MonotonicTime): PartState {
	const known = state.parts[partKey(name)];
	return known === undefined
		? createPart(part, now, firstFreeAt(state, name, part.limit, now))
		: changePart(known, part, now, memoryMilliseconds(part.limit) + learningMilliseconds);
}

function divisionOf(known: DivisionState | undefined, limit: EffectiveLimit, part: PartState, now: MonotonicTime): DivisionState {
	const amount = amountNow(part, now);
	if (known?.options.windowMilliseconds === windowMilliseconds(limit)) {
		return known.amount === amount
			? known
			: stepDivision(known, {
				kind: 'amountChanged', now, amount, validUntil: Infinity,
			}).state;
	}

	const options = optionsOf(limit);
	return known === undefined
		? {...createFirstDivision(options, amount, Infinity, now), freeAt: part.freeAt}
		: createDivision(options, amount, Infinity, now);
}

/** A limit and the divider's part of it. */
export type NamedPart = LimitName & {readonly part: LimitPart};

/**
 * Sees every part under a changed contract, also those of limits that nobody
 * asks for: a part that was smaller in between has to wait before it grows.
 */
export function noteParts(state: SharingState, parts: readonly NamedPart[], now: MonotonicTime): SharingState {
	const noted = parts.map(({part, ...name}) => [partKey(name), partOf(state, name, part, now)] as const);
	return {...state, parts: {...state.parts, ...Object.fromEntries(noted)}};
}

/** Answers one demand. The sum of the shares in force never exceeds the part; some of it is kept for those of the `instances` that didn't ask yet. */
export function shareOut(
	state: SharingState,
	demand: LimitDemand,
	limitPart: LimitPart,
	instances: number,
	now: MonotonicTime,
): {readonly state: SharingState; readonly share: LimitShare | undefined} {
	const {service, limit: name, caller, holder, sequence, wanted, held, usable} = demand;
	const part = partOf(state, demand, limitPart, now);
	const key = sharingKey(demand);
	const stepped = stepDivision(divisionOf(state.divisions[key], limitPart.limit, part, now), {
		kind: 'shareRequested', now, holder, sequence, wanted, held, usable, expected: instances,
	});
	const [granted] = stepped.effects;
	const share = granted === undefined
		? undefined
		: {
			service, limit: name, caller, holder, sequence, amount: granted.amount, validMilliseconds: granted.validMilliseconds,
		};
	return {
		state: {...state, parts: {...state.parts, [partKey(demand)]: part}, divisions: {...state.divisions, [key]: stepped.state}},
		share,
	};
}

/** Drops the divisions that nobody holds a share of any more. */
export function sweepSharing(state: SharingState, now: MonotonicTime): SharingState {
	const kept = Object.entries(state.divisions).filter(([, {holders, options}]) => holders.some(({heardAt}) =>
		now < heardAt + options.shareMilliseconds + options.windowMilliseconds + options.marginMilliseconds));
	return kept.length === Object.keys(state.divisions).length ? state : {...state, divisions: Object.fromEntries(kept)};
}

/** Answers demands in their order, but for those whose limit the contract doesn't have. */
export function shareOutAll(
	state: SharingState,
	demanded: ReadonlyArray<{readonly demand: LimitDemand; readonly part: LimitPart | undefined}>,
	instances: number,
	now: MonotonicTime,
): {readonly state: SharingState; readonly shares: readonly LimitShare[]} {
	let next = sweepSharing(state, now);
	const shares: LimitShare[] = [];
	for (const {demand, part} of demanded) {
		const answered = part === undefined ? undefined : shareOut(next, demand, part, instances, now);
		next = answered?.state ?? next;
		if (answered?.share !== undefined) {
			shares.push(answered.share);
		}
	}

	return {state: next, shares};
}
