/** The demands for shares of limits that an instance sends to control and to its zone's steward, and the processing of the answers. */
import {usedShare} from '@dogwooddeck/limits/bucket';
import {mayReceiveLargerShare} from '@dogwooddeck/limits/growth';
import {LimitScope} from '@dogwooddeck/model/contract';
import {
	type Milliseconds, type MonotonicTime, type WallTime,
} from '@dogwooddeck/model/identifiers';
import {Divider, type LimitDemand, type LimitShare} from '@dogwooddeck/model/share';
import {
	type Grant, currentGrantAmount, type LimitEntry, recordShare, currentShare, wantedAmount,
} from './limit-entry.js';

/** A demand that isn't answered within this time is repeated. */
const answerTimeoutMilliseconds: Milliseconds = 3000;
/** The maximum difference between the wall clocks of instances. */
const maximumClockSkewMilliseconds: Milliseconds = 1000;

/** The values that a demand is created from, besides the entry. */
export type DemandOptions = {
	readonly holder: string;
	readonly sequence: number;
	readonly now: MonotonicTime;
	readonly wall: WallTime;
};

function isDemandPending({pendingDemand}: Grant, now: MonotonicTime): boolean {
	return pendingDemand !== undefined && now < pendingDemand.at + answerTimeoutMilliseconds;
}

/** Whether a new demand may yield a larger share than the exhausted one. */
export function mayReceiveMore(entry: LimitEntry, divider: Divider, now: MonotonicTime): boolean {
	const grant = entry.grants[divider];
	return entry.effective.scope === LimitScope.deployment && mayReceiveLargerShare({
		share: currentGrantAmount(grant, now), amount: grant.partAmount, wantedAtGrant: grant.wantedAtGrant, wanted: wantedAmount(entry, divider, now),
	});
}

type UrgencyRule = (entry: LimitEntry, now: MonotonicTime) => boolean;

/** Whether a demand is sent to a divider between the regular demands. */
const isUrgent: Readonly<Record<Divider, UrgencyRule>> = {
	[Divider.control]: ({waitingSince}) => waitingSince !== undefined,
	[Divider.zone]: (entry, now) => entry.waitingSince !== undefined && mayReceiveMore(entry, Divider.zone, now),
};

/** The dividers to which a demand is due now. No demand is sent for a reserve of zero. */
export function dividersDue(entry: LimitEntry, isDue: boolean, now: MonotonicTime): readonly Divider[] {
	if (entry.effective.scope !== LimitScope.deployment) {
		return [];
	}

	return Object.values(Divider).filter(divider => {
		const grant = entry.grants[divider];
		const holdsAny = grant.partAmount > 0 || divider === Divider.control;
		return holdsAny && !isDemandPending(grant, now) && (isDue || isUrgent[divider](entry, now));
	});
}

/** Creates a new demand to a divider. The usage counts fully towards each divider, since it may have been charged to either share. */
export function createDemand(entry: LimitEntry, divider: Divider, {holder, sequence, now, wall}: DemandOptions): LimitDemand {
	const grant = entry.grants[divider];
	const wanted = wantedAmount(entry, divider, now);
	const held = currentGrantAmount(grant, now);
	grant.pendingDemand = {sequence, at: now, wanted};
	return {
		service: entry.service,
		limit: entry.limit,
		caller: entry.caller,
		divider,
		holder,
		sequence,
		wanted,
		held,
		usable: Math.max(held, usedShare(entry.bucket, wall, now, maximumClockSkewMilliseconds)),
	};
}

/** Applies the answer to the newest demand. Returns the divider that sent it; undefined if it answers an older demand. */
export function applyShare(entry: LimitEntry, share: LimitShare, wall: WallTime, now: MonotonicTime): Divider | undefined {
	const divider = Object.values(Divider).find(candidate => entry.grants[candidate].pendingDemand?.sequence === share.sequence);
	if (divider === undefined) {
		return undefined;
	}

	const grant = entry.grants[divider];
	const {at, wanted} = grant.pendingDemand!;
	recordShare(entry, wall, now);
	grant.pendingDemand = undefined;
	grant.amount = share.amount;
	grant.expiresAt = at + share.validMilliseconds;
	grant.wantedAtGrant = wanted;
	recordShare(entry, wall, now);
	return divider;
}

/** Whether a request must wait for the first share: no share is held, and control has not answered yet. */
export function awaitsFirstShare(entry: LimitEntry, now: MonotonicTime): boolean {
	return entry.grants.control.expiresAt === -Infinity && currentShare(entry, now) === 0;
}
