/**
 * Divides a divider's part of every limit among the instances that request
 * shares, with one division for each limit and caller. Control divides among all
 * instances, a zone's steward (its elected lease distributor) among those of the
 * zone. A new divider doesn't know what its predecessor granted, except that a
 * leader of control knows that services added after its start had no shares.
 */
import {type Milliseconds, type MonotonicTime, type ServiceName} from '@dogwooddeck/model/identifiers';
import {type LimitDemand, type LimitShare} from '@dogwooddeck/model/share';
import {
	createDivision, createFirstDivision, type DivisionOptions, type DivisionState, stepDivision,
} from './division.js';
import {
	availableAmount, updatePart, createPart, type PartState,
} from './part-change.js';
import {type LimitPart} from './reserve.js';
import {type EffectiveLimit, windowMilliseconds} from './unit.js';

/** How long a share is valid. During a partition, an instance may continue to use control's shares for this long. */
export const shareMilliseconds: Milliseconds = 15_000;
/** Covers the drift of monotonic clocks while a share is valid and, for fixed windows, the skew of wall clocks. */
const marginMilliseconds: Milliseconds = 1000;
/** The time within which every instance that is not partitioned has applied a change of the contract. */
const contractPropagationMilliseconds: Milliseconds = 5000;
const floorRatio = 0.25;
const reserveRatio = 0.1;
const headroomRatio = 2;

/** All divisions of one leader or steward. */
export type SharingState = {
	readonly startedAt: MonotonicTime;
	/** The services whose limits an earlier leader may have divided. Absent: other dividers may have divided any limit until just before its first demand. */
	readonly inheritedServices?: readonly ServiceName[];
	/** By `partKey`. */
	readonly parts: Readonly<Record<string, PartState>>;
	/** By `sharingKey`. */
	readonly divisions: Readonly<Record<string, DivisionState>>;
};

/** Creates the state of a leader that starts now. */
export function createSharing(now: MonotonicTime, inheritedServices: readonly ServiceName[]): SharingState {
	return {
		startedAt: now, inheritedServices, parts: {}, divisions: {},
	};
}

/** Creates the state of a zone's steward that starts now. What it divides may have been part of control's before. */
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

/** How long a share may count after it was granted. */
function commitmentMilliseconds(limit: EffectiveLimit): Milliseconds {
	return shareMilliseconds + windowMilliseconds(limit) + marginMilliseconds;
}

/** The time from which shares that other dividers granted of a limit no longer count, computed at the limit's first demand. */
function endOfEarlierShares({startedAt, inheritedServices}: SharingState, {service}: LimitName, limit: EffectiveLimit, now: MonotonicTime): MonotonicTime {
	if (inheritedServices === undefined) {
		return now + commitmentMilliseconds(limit) + contractPropagationMilliseconds;
	}

	return inheritedServices.includes(service) ? startedAt + commitmentMilliseconds(limit) : now;
}

function partOf(state: SharingState, name: LimitName, part: LimitPart, now: MonotonicTime): PartState {
	const recorded = state.parts[partKey(name)];
	return recorded === undefined
		? createPart(part, now, endOfEarlierShares(state, name, part.limit, now))
		: updatePart(recorded, part, now, commitmentMilliseconds(part.limit) + contractPropagationMilliseconds);
}

function divisionOf(recorded: DivisionState | undefined, limit: EffectiveLimit, part: PartState, now: MonotonicTime): DivisionState {
	const amount = availableAmount(part, now);
	if (recorded?.options.windowMilliseconds === windowMilliseconds(limit)) {
		return recorded.amount === amount
			? recorded
			: stepDivision(recorded, {
				kind: 'amountChanged', now, amount, validUntil: Infinity,
			}).state;
	}

	const options = optionsOf(limit);
	return recorded === undefined
		? {...createFirstDivision(options, amount, Infinity, now), earlierSharesEndAt: part.earlierSharesEndAt}
		: createDivision(options, amount, Infinity, now);
}

/** A limit and the divider's part of it. */
export type NamedPart = LimitName & {readonly part: LimitPart};

/**
 * Updates all parts to a changed contract, including those of limits without
 * demands: a part that was smaller in between has to wait before it grows.
 */
export function updateParts(state: SharingState, parts: readonly NamedPart[], now: MonotonicTime): SharingState {
	const updated = parts.map(({part, ...name}) => [partKey(name), partOf(state, name, part, now)] as const);
	return {...state, parts: {...state.parts, ...Object.fromEntries(updated)}};
}

/** Answers one demand. The shares in force never sum to more than the part; some of it is reserved for those of the `instances` that have not sent a demand yet. */
export function grantLimitShare(
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

/** Drops the divisions in which no holder has a share any more. */
export function dropExpiredDivisions(state: SharingState, now: MonotonicTime): SharingState {
	const kept = Object.entries(state.divisions).filter(([, {holders, options}]) => holders.some(({lastContactAt}) =>
		now < lastContactAt + options.shareMilliseconds + options.windowMilliseconds + options.marginMilliseconds));
	return kept.length === Object.keys(state.divisions).length ? state : {...state, divisions: Object.fromEntries(kept)};
}

/** Answers demands in order, except those whose limit is not in the contract. */
export function grantLimitShares(
	state: SharingState,
	demands: ReadonlyArray<{readonly demand: LimitDemand; readonly part: LimitPart | undefined}>,
	instances: number,
	now: MonotonicTime,
): {readonly state: SharingState; readonly shares: readonly LimitShare[]} {
	let next = dropExpiredDivisions(state, now);
	const shares: LimitShare[] = [];
	for (const {demand, part} of demands) {
		const answered = part === undefined ? undefined : grantLimitShare(next, demand, part, instances, now);
		next = answered?.state ?? next;
		if (answered?.share !== undefined) {
			shares.push(answered.share);
		}
	}

	return {state: next, shares};
}
