/**
 * What an instance keeps of one limit and caller: what was used and wanted, and
 * the shares that it holds. Updated in place: it is on the path of every request.
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

/** The share of one divider. */
export type Grant = {
	/** What the divider hands out to all holders. */
	partAmount: number;
	amount: number;
	/** The end of the share; -Infinity before the first answer. */
	until: MonotonicTime;
	/**
	 * The newest demand, until it is answered. No other answer is taken: by this
	 * demand the divider learned which share is in force, and forgot any that it gave before.
	 */
	asked: {readonly sequence: number; readonly at: MonotonicTime; readonly wanted: number} | undefined;
	/** What was wanted by the demand that the share answers. */
	answeredFor: number;
};

/** One limit and caller. */
export type LimitEntry = {
	readonly service: ServiceName;
	readonly limit: string;
	readonly caller: string;
	contract: ServiceContract;
	effective: EffectiveLimit;
	readonly grants: Readonly<Record<Divider, Grant>>;
	bucket: BucketState;
	/** The costs that were asked for in this interval and in the one before. */
	wanted: number;
	wantedBefore: number;
	intervalAt: MonotonicTime;
	usedAt: MonotonicTime;
	/** Since when a request waits for control's share. */
	waitsSince: MonotonicTime | undefined;
};

/** An entry is dropped when no request met it for this long and an interval. */
const idleMilliseconds: Milliseconds = 60_000;

function createGrant(partAmount: number): Grant {
	return {
		partAmount, amount: 0, until: -Infinity, asked: undefined, answeredFor: 0,
	};
}

/** A limit that belongs to this instance alone is held as a share that doesn't end. */
function ownGrant({amount}: EffectiveLimit): Grant {
	return {...createGrant(amount), amount, until: Infinity};
}

function createGrants(contract: ServiceContract, limit: ContractedLimit, effective: EffectiveLimit, zone: ZoneName): LimitEntry['grants'] {
	const isOwn = effective.scope === LimitScope.instance;
	return {
		[Divider.control]: isOwn ? ownGrant(effective) : createGrant(controlPart(contract, limit, effective).amount),
		[Divider.zone]: createGrant(zonePart(contract, limit, effective, zone).amount),
	};
}

/** What an entry is made of. */
export type LimitEntrySource = {
	readonly contract: ServiceContract;
	readonly limit: ContractedLimit;
	readonly caller: string;
	readonly effective: EffectiveLimit;
	/** The zone of this instance. */
	readonly zone: ZoneName;
};

/** An entry that holds no share of a limit that others share. */
export function createEntry({contract, limit, caller, effective, zone}: LimitEntrySource, now: MonotonicTime): LimitEntry {
	return {
		service: contract.name,
		limit: limit.name,
		caller,
		contract,
		effective,
		grants: createGrants(contract, limit, effective, zone),
		bucket: createBucket(effective),
		wanted: 0,
		wantedBefore: 0,
		intervalAt: now,
		usedAt: now,
		waitsSince: undefined,
	};
}

function countsAlike(one: EffectiveLimit, other: EffectiveLimit): boolean {
	return one.intervalMilliseconds === other.intervalMilliseconds && one.window === other.window && one.burst === other.burst
		&& one.counts === other.counts && one.scope === other.scope && one.scope === LimitScope.deployment;
}

/**
 * Takes a changed contract in and keeps what was used, which still counts.
 * Tells whether it could: what was counted in another way says nothing.
 */
export function adjustEntry(entry: LimitEntry, {contract, limit, effective, zone}: LimitEntrySource): boolean {
	const isAlike = countsAlike(entry.effective, effective);
	if (isAlike) {
		entry.contract = contract;
		entry.effective = effective;
		entry.grants.control.partAmount = controlPart(contract, limit, effective).amount;
		entry.grants.zone.partAmount = zonePart(contract, limit, effective, zone).amount;
	}

	return isAlike;
}

/** What is held of one divider's part now. */
export function grantNow({amount, until}: Grant, now: MonotonicTime): number {
	return now < until ? amount : 0;
}

/** What this instance may use now, of all dividers' parts together. */
export function shareNow({grants}: LimitEntry, now: MonotonicTime): number {
	return grantNow(grants.control, now) + grantNow(grants.zone, now);
}

/** Counts what a request would use, whether it is admitted or not. */
export function noteWanted(entry: LimitEntry, cost: number, now: MonotonicTime): void {
	const {intervalMilliseconds} = entry.effective;
	const passed = Math.floor((now - entry.intervalAt) / intervalMilliseconds);
	if (passed > 0) {
		entry.wantedBefore = passed === 1 ? entry.wanted : 0;
		entry.wanted = 0;
		entry.intervalAt += passed * intervalMilliseconds;
	}

	entry.wanted += cost;
	entry.usedAt = now;
}

/** What is wanted of a divider's part. The zone's reserve is used first, so control is asked for the rest. */
export function wantedOf({wanted, wantedBefore, grants}: LimitEntry, divider: Divider, now: MonotonicTime): number {
	const reserved = divider === Divider.control ? grantNow(grants.zone, now) : 0;
	return Math.max(1, Math.max(wanted, wantedBefore) - reserved);
}

/** Whether no request met the entry for so long that it is forgotten. */
export function isIdle({usedAt, effective}: LimitEntry, now: MonotonicTime): boolean {
	return now - usedAt > idleMilliseconds + effective.intervalMilliseconds;
}

/** Lets the window see a change of the share. */
export function noteShare(entry: LimitEntry, wall: WallTime, now: MonotonicTime): void {
	entry.bucket = admit(entry.bucket, wall, now, 0, shareNow(entry, now)).state;
}
