/**
 * The leases that a steward granted, and the drained index that each holder
 * reported. A holder counts until its lease has expired and its in-flight
 * requests are past their deadlines.
 */
import {
	type InstanceIdentity, incarnationKey, type LogIndex, type Milliseconds, type MonotonicTime,
} from '@dogwooddeck/model/identifiers';
import {grantorWait, type LeaseTerms} from './terms.js';

/** One holder of a lease. */
export type LeaseHolder = {
	/** The largest index up to which the holder reported itself drained. */
	readonly drained: LogIndex;
	/** When its last lease has expired on every clock. */
	readonly leaseUntil: MonotonicTime;
};

/** The holders of a zone's leases, by `incarnationKey`. */
export type LeaseHolders = Readonly<Record<string, LeaseHolder>>;

/** A lease that a steward grants, with the drained index that its holder reported. */
export type GrantedLease = {
	readonly now: MonotonicTime;
	readonly instance: InstanceIdentity;
	readonly drained: LogIndex;
	readonly milliseconds: Milliseconds;
};

/** Records a lease. A later report never lowers the drained index or shortens the lease. */
export function withHolder(holders: LeaseHolders, granted: GrantedLease, terms: LeaseTerms): LeaseHolders {
	const key = incarnationKey(granted.instance);
	const previous = holders[key];
	return {
		...holders,
		[key]: {
			drained: Math.max(granted.drained, previous?.drained ?? 0),
			leaseUntil: Math.max(granted.now + grantorWait(granted.milliseconds, terms), previous?.leaseUntil ?? -Infinity),
		},
	};
}

/** Returns the holders that still count. */
export function countedHolders(holders: LeaseHolders, now: MonotonicTime, longestDeadline: Milliseconds, terms: LeaseTerms): LeaseHolders {
	const wait = grantorWait(longestDeadline, terms);
	const entries = Object.entries(holders);
	const counted = entries.filter(([, holder]) => now < holder.leaseUntil + wait);
	return counted.length === entries.length ? holders : Object.fromEntries(counted);
}

/** Returns the index up to which all holders are drained. */
export function lowestDrained(holders: LeaseHolders): LogIndex {
	let lowest = Infinity;
	for (const holder of Object.values(holders)) {
		lowest = Math.min(lowest, holder.drained);
	}

	return lowest;
}
