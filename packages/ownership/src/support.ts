/**
 * Election of a zone's steward: what a member promises, and what a candidate
 * counts. A member supports one candidate at a time, for one term from each
 * request. A candidate is steward while a majority of the members in its table
 * supports it, counted from when it asked.
 *
 * A member takes on a candidate only if the candidate has applied at least what
 * the member has. What a member acknowledged to a steward that it supported is
 * therefore known to every later steward.
 */
import {
	type InstanceIdentity, incarnationKey, type LogIndex, type MonotonicTime, sameInstance,
} from '@dogwooddeck/model/identifiers';
import {majorityOf} from './quorum.js';
import {grantorWait, type LeaseTerms} from './terms.js';

/** What a member promises. */
export type Supporter = {
	/** Before this, the member promises nothing: an earlier life of it may have. */
	readonly silentUntil: MonotonicTime;
	readonly supported?: InstanceIdentity;
	/** When the promise ends on the member's own clock. */
	readonly supportedUntil: MonotonicTime;
};

/** A member that starts now. */
export function createSupporter(now: MonotonicTime, terms: LeaseTerms): Supporter {
	return {silentUntil: now + grantorWait(terms.stewardTermMilliseconds, terms), supportedUntil: -Infinity};
}

/** The candidate that the member supports now. */
export function supportedNow(supporter: Supporter, now: MonotonicTime): InstanceIdentity | undefined {
	return now < supporter.supportedUntil ? supporter.supported : undefined;
}

/** From when the member is free to stand itself, if it hears from nobody. */
export function freeFrom(supporter: Supporter): MonotonicTime {
	return Math.max(supporter.silentUntil, supporter.supportedUntil);
}

/** What a member is asked for. */
export type SupportQuestion = {
	readonly now: MonotonicTime;
	readonly candidate: InstanceIdentity;
	/** The newest entry that the candidate has applied. */
	readonly candidateApplied: LogIndex;
	/** The newest entry that the member itself has applied. */
	readonly ownApplied: LogIndex;
};

/** Whether a member may support a candidate. A renewal isn't measured by what was applied. */
function maySupport(supporter: Supporter, question: SupportQuestion): boolean {
	const current = supportedNow(supporter, question.now);
	if (current !== undefined) {
		return sameInstance(current, question.candidate);
	}

	return question.now >= supporter.silentUntil && question.candidateApplied >= question.ownApplied;
}

/** The member after a question, and whether it supports the candidate. */
export function support(supporter: Supporter, question: SupportQuestion, terms: LeaseTerms): {readonly supporter: Supporter; readonly granted: boolean} {
	if (!maySupport(supporter, question)) {
		return {supporter, granted: false};
	}

	const supportedUntil = question.now + grantorWait(terms.stewardTermMilliseconds, terms);
	const {name, incarnation} = question.candidate;
	return {supporter: {...supporter, supported: {name, incarnation}, supportedUntil}, granted: true};
}

/** Takes back the promise that a candidate gave itself. Only for one that was never elected on it. */
export function withdrawn(supporter: Supporter): Supporter {
	return {silentUntil: supporter.silentUntil, supportedUntil: -Infinity};
}

/** What a candidate knows of one member. */
export type SupportRecord = {
	/** When the support ends, counted from when it was asked for. */
	readonly until: MonotonicTime;
	/** The newest entry that the member acknowledged while it supported the candidate. */
	readonly acknowledged: LogIndex;
};

/** What a candidate knows of the members, by `lifeKey`. */
export type SupportRecords = Readonly<Record<string, SupportRecord>>;

function majorityValue(members: readonly InstanceIdentity[], valueOf: (key: string) => number): number {
	const values = members.map(member => valueOf(incarnationKey(member))).sort((one, other) => other - one);
	return values[majorityOf(members.length) - 1] ?? -Infinity;
}

/** Until when a majority of the members supports the candidate. */
export function supportedUntil(members: readonly InstanceIdentity[], records: SupportRecords): MonotonicTime {
	return majorityValue(members, key => records[key]?.until ?? -Infinity);
}

/** The newest entry that a majority of the members acknowledged. */
export function acknowledgedIndex(members: readonly InstanceIdentity[], records: SupportRecords): LogIndex {
	return Math.max(0, majorityValue(members, key => records[key]?.acknowledged ?? 0));
}

/** Notes a support that was asked for at `sentAt`, or what a supporter acknowledged. */
export function withSupport(records: SupportRecords, member: InstanceIdentity, news: SupportRecord): SupportRecords {
	const key = incarnationKey(member);
	const before = records[key];
	return {
		...records,
		[key]: {
			until: Math.max(news.until, before?.until ?? -Infinity),
			acknowledged: Math.max(news.acknowledged, before?.acknowledged ?? 0),
		},
	};
}
