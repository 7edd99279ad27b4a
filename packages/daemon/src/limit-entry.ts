/**
 * The state that an instance keeps for one limit and caller: usage, wanted amount
 * and the shares that it holds. Updated in place, since every request reads it.
 */
import {admit, type BucketState, createBucket} from '@dogwooddeck/limits/bucket';
import {controlPart, zonePart} from '@dogwooddeck/limits/reserve';
import {type EffectiveLimit} from '@dogwooddeck/limits/unit';
import {
	type ContractedLimit, LimitScope, type ServiceContract,
} from '@dogwooddeck/model/contract';
import {
	type Milliseconds, type MonotonicTime, type ServiceName, type WallTime, type ZoneName,
} from '@dogwooddeck/model/identifiers';
import {Divider} from '@dogwooddeck/model/share';

/** The share that one divider granted. */
export type Grant = {
	/** The amount that the divider distributes over all holders. */
	partAmount: number;
	amount: number;
	/** When the share expires; -Infinity before the first answer. */
	expiresAt: MonotonicTime;
	/**
	 * The newest demand, until it is answered. Answers to other demands are ignored:
	 * this demand told the divider which share is in force, and the divider dropped any
	 * share that it had granted before.
	 */
	pendingDemand: {readonly sequence: number; readonly at: MonotonicTime; readonly wanted: number} | undefined;
	/** The wanted amount in the demand that the share answers. */
	wantedAtGrant: number;
};

/** The state of one limit and caller. */
export type LimitEntry = {
	readonly service: ServiceName;
	readonly limit: string;
	readonly caller: string;
	contract: ServiceContract;
	effective: EffectiveLimit;
	readonly grants: Readonly<Record<Divider, Grant>>;
	bucket: BucketState;
	/** The total cost of the requests in the current interval, admitted or not, and in the previous one. */
	wanted: number;
	previousWanted: number;
	intervalStartedAt: MonotonicTime;
	lastUsedAt: MonotonicTime;
	/** Since when a request has been waiting for control's share. */
	waitingSince: MonotonicTime | undefined;
};

/** An entry is dropped when no request has used it for this time plus one interval. */
const idleMilliseconds: Milliseconds = 60_000;

function createGrant(partAmount: number): Grant {
	return {
		partAmount, amount: 0, expiresAt: -Infinity, pendingDemand: undefined, wantedAtGrant: 0,
	};
}

/** Creates the grant of a limit that applies to this instance alone: a share that never expires. */
function createInstanceGrant({amount}: EffectiveLimit): Grant {
	return {...createGrant(amount), amount, expiresAt: Infinity};
}

function createGrants(contract: ServiceContract, limit: ContractedLimit, effective: EffectiveLimit, zone: ZoneName): LimitEntry['grants'] {
	const isPerInstance = effective.scope === LimitScope.instance;
	return {
		[Divider.control]: isPerInstance ? createInstanceGrant(effective) : createGrant(controlPart(contract, limit, effective).amount),
		[Divider.zone]: createGrant(zonePart(contract, limit, effective, zone).amount),
	};
}

/** The values that an entry is created from. */
export type LimitEntryOptions = {
	readonly contract: ServiceContract;
	readonly limit: ContractedLimit;
	readonly caller: string;
	readonly effective: EffectiveLimit;
	/** The zone of this instance. */
	readonly zone: ZoneName;
};

/** Creates an entry. It holds no share yet of a limit that instances share. */
export function createEntry({contract, limit, caller, effective, zone}: LimitEntryOptions, now: MonotonicTime): LimitEntry {
	return {
		service: contract.name,
		limit: limit.name,
		caller,
		contract,
		effective,
		grants: createGrants(contract, limit, effective, zone),
		bucket: createBucket(effective),
		wanted: 0,
		previousWanted: 0,
		intervalStartedAt: now,
		lastUsedAt: now,
		waitingSince: undefined,
	};
}

function hasSameCounting(one: EffectiveLimit, other: EffectiveLimit): boolean {
	return one.intervalMilliseconds === other.intervalMilliseconds && one.window === other.window && one.burst === other.burst
		&& one.counts === other.counts && one.scope === other.scope && one.scope === LimitScope.deployment;
}

/**
 * Applies a changed contract and keeps the usage, which still counts. Returns false
 * and changes nothing if the limit counts in another way: then the usage is meaningless.
 */
export function updateEntry(entry: LimitEntry, {contract, limit, effective, zone}: LimitEntryOptions): boolean {
	const isCompatible = hasSameCounting(entry.effective, effective);
	if (isCompatible) {
		entry.contract = contract;
		entry.effective = effective;
		entry.grants.control.partAmount = controlPart(contract, limit, effective).amount;
		entry.grants.zone.partAmount = zonePart(contract, limit, effective, zone).amount;
	}

	return isCompatible;
}

/** The amount of one divider's part that is held now. */
export function currentGrantAmount({amount, expiresAt}: Grant, now: MonotonicTime): number {
	return now < expiresAt ? amount : 0;
}

/** The amount that this instance may use now, over the parts of all dividers. */
export function currentShare({grants}: LimitEntry, now: MonotonicTime): number {
	return currentGrantAmount(grants.control, now) + currentGrantAmount(grants.zone, now);
}

/** Records the cost of a request, whether it is admitted or not. */
export function recordWanted(entry: LimitEntry, cost: number, now: MonotonicTime): void {
	const {intervalMilliseconds} = entry.effective;
	const elapsedIntervals = Math.floor((now - entry.intervalStartedAt) / intervalMilliseconds);
	if (elapsedIntervals > 0) {
		entry.previousWanted = elapsedIntervals === 1 ? entry.wanted : 0;
		entry.wanted = 0;
		entry.intervalStartedAt += elapsedIntervals * intervalMilliseconds;
	}

	entry.wanted += cost;
	entry.lastUsedAt = now;
}

/** The amount to request of a divider's part. The zone's reserve is used first, so the rest is requested from control. */
export function wantedAmount({wanted, previousWanted, grants}: LimitEntry, divider: Divider, now: MonotonicTime): number {
	const reserved = divider === Divider.control ? currentGrantAmount(grants.zone, now) : 0;
	return Math.max(1, Math.max(wanted, previousWanted) - reserved);
}

/** Whether no request has used the entry for so long that it can be dropped. */
export function isIdle({lastUsedAt, effective}: LimitEntry, now: MonotonicTime): boolean {
	return now - lastUsedAt > idleMilliseconds + effective.intervalMilliseconds;
}

/** Records a change of the share in the window. */
export function recordShare(entry: LimitEntry, wall: WallTime, now: MonotonicTime): void {
	entry.bucket = admit(entry.bucket, wall, now, 0, currentShare(entry, now)).state;
}
