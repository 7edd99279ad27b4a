/**
 * Election of a zone's steward: the support that a member promises and the
 * support that a candidate counts. A member supports one candidate at a time, for
 * one term from each request. A candidate is steward while a majority of the
 * members in its table supports it, counted from when it sent the requests.
 *
 * A member starts to support a candidate only if the candidate has applied at
 * least as many entries as the member. Every later steward has therefore applied
 * what a member acknowledged to a steward that it supported.
 */
import {
	type InstanceIdentity, incarnationKey, type LogIndex, type MonotonicTime, sameInstance,
} from '@dogwooddeck/model/identifiers';
import {majorityOf} from './quorum.js';
import {grantorWait, type LeaseTerms} from './terms.js';

/** The promise of a member. */
export type Supporter = {
	/** The member promises nothing before this time, because a promise of its earlier incarnation may still be in force. */
	readonly supportsFrom: MonotonicTime;
	readonly supported?: InstanceIdentity;
	/** When the promise ends on the member's own clock. */
	readonly supportedUntil: MonotonicTime;
};

/** Creates the state of a member whose process starts now. */
export function createSupporter(now: MonotonicTime, terms: LeaseTerms): Supporter {
	return {supportsFrom: now + grantorWait(terms.stewardTermMilliseconds, terms), supportedUntil: -Infinity};
}

/** Returns the candidate that the member supports now. */
export function supportedCandidate(supporter: Supporter, now: MonotonicTime): InstanceIdentity | undefined {
	return now < supporter.supportedUntil ? supporter.supported : undefined;
}

/** Returns from when the member may support itself, if no candidate requests its support before. */
export function freeToSupportFrom(supporter: Supporter): MonotonicTime {
	return Math.max(supporter.supportsFrom, supporter.supportedUntil);
}

/** A request for a member's support. */
export type SupportQuery = {
	readonly now: MonotonicTime;
	readonly candidate: InstanceIdentity;
	/** The newest entry that the candidate has applied. */
	readonly candidateApplied: LogIndex;
	/** The newest entry that the member itself has applied. */
	readonly ownApplied: LogIndex;
};

/** Whether a member may support a candidate. A renewal doesn't depend on what the candidate has applied. */
function maySupport(supporter: Supporter, query: SupportQuery): boolean {
	const current = supportedCandidate(supporter, query.now);
	if (current !== undefined) {
		return sameInstance(current, query.candidate);
	}

	return query.now >= supporter.supportsFrom && query.candidateApplied >= query.ownApplied;
}

/** Handles a request for support. Returns the member's new state and whether it supports the candidate. */
export function decideSupport(supporter: Supporter, query: SupportQuery, terms: LeaseTerms): {readonly supporter: Supporter; readonly granted: boolean} {
	if (!maySupport(supporter, query)) {
		return {supporter, granted: false};
	}

	const supportedUntil = query.now + grantorWait(terms.stewardTermMilliseconds, terms);
	const {name, incarnation} = query.candidate;
	return {supporter: {...supporter, supported: {name, incarnation}, supportedUntil}, granted: true};
}

/** Withdraws the promise that a candidate made to itself. Allowed only if the candidate was never elected on it. */
export function withdrawSelfSupport(supporter: Supporter): Supporter {
	return {supportsFrom: supporter.supportsFrom, supportedUntil: -Infinity};
}

/** The support of one member for a candidate. */
export type SupportRecord = {
	/** When the support ends, counted from when it was requested. */
	readonly until: MonotonicTime;
	/** The newest entry that the member acknowledged while it supported the candidate. */
	readonly acknowledged: LogIndex;
};

/** The support of the members for a candidate, by `incarnationKey`. */
export type SupportRecords = Readonly<Record<string, SupportRecord>>;

function majorityValue(members: readonly InstanceIdentity[], valueOf: (key: string) => number): number {
	const values = members.map(member => valueOf(incarnationKey(member))).sort((one, other) => other - one);
	return values[majorityOf(members.length) - 1] ?? -Infinity;
}

/** Returns until when a majority of the members supports the candidate. */
export function majoritySupportUntil(members: readonly InstanceIdentity[], records: SupportRecords): MonotonicTime {
	return majorityValue(members, key => records[key]?.until ?? -Infinity);
}

/** Returns the newest entry that a majority of the members acknowledged. */
export function acknowledgedIndex(members: readonly InstanceIdentity[], records: SupportRecords): LogIndex {
	return Math.max(0, majorityValue(members, key => records[key]?.acknowledged ?? 0));
}

/** Records a member's support or acknowledgement. An older record never shortens or lowers a newer one. */
export function withSupport(records: SupportRecords, member: InstanceIdentity, update: SupportRecord): SupportRecords {
	const key = incarnationKey(member);
	const previous = records[key];
	return {
		...records,
		[key]: {
			until: Math.max(update.until, previous?.until ?? -Infinity),
			acknowledged: Math.max(update.acknowledged, previous?.acknowledged ?? 0),
		},
	};
}
