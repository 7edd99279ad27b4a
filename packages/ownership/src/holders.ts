/**
 * The leases that a steward gave, and what their holders reported. A holder
 * counts until its lease has run out and what it had in flight is past its deadline.
 */
import {
	type InstanceIdentity, incarnationKey, type LogIndex, type Milliseconds, type MonotonicTime,
} from '@dogwooddeck/model/identifiers';
import {grantorWait, type LeaseTerms} from './terms.js';

/** One holder of a lease. */
export type LeaseHolder = {
	readonly drained: LogIndex;
	/** When its last lease is over on every clock. */
	readonly leaseUntil: MonotonicTime;
};

/** The holders of a zone's leases, by `lifeKey`. */
export type LeaseHolders = Readonly<Record<string, LeaseHolder>>;

/** What a steward gives to a holder, and what the holder said. */
export type GivenLease = {
	readonly now: MonotonicTime;
	readonly instance: InstanceIdentity;
	readonly drained: LogIndex;
	readonly milliseconds: Milliseconds;
};

/** Notes a lease. A later report never takes an earlier one back. */
export function withHolder(holders: LeaseHolders, given: GivenLease, terms: LeaseTerms): LeaseHolders {
	const key = incarnationKey(given.instance);
	const before = holders[key];
	return {
		...holders,
		[key]: {
			drained: Math.max(given.drained, before?.drained ?? 0),
			leaseUntil: Math.max(given.now + grantorWait(given.milliseconds, terms), before?.leaseUntil ?? -Infinity),
		},
	};
}

/** The holders that still count. */
export function countedHolders(holders: LeaseHolders, now: MonotonicTime, longestDeadline: Milliseconds, terms: LeaseTerms): LeaseHolders {
	const wait = grantorWait(longestDeadline, terms);
	const entries = Object.entries(holders);
	const counted = entries.filter(([, holder]) => now < holder.leaseUntil + wait);
	return counted.length === entries.length ? holders : Object.fromEntries(counted);
}

/** The index that all holders are drained up to. */
export function lowestDrained(holders: LeaseHolders): LogIndex {
	let lowest = Infinity;
	for (const holder of Object.values(holders)) {
		lowest = Math.min(lowest, holder.drained);
	}

	return lowest;
}
