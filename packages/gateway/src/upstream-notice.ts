/**
 * What an upstream asks for in its answers: that it is leaving, or that it wants no
 * requests for a while. The evidence is about one incarnation of the upstream and
 * belongs to the instance that received it.
 *
 * Load patterns: an upstream leaves, and instances learn that from its answers
 * before the directory says so, or while they have no contact with control; an
 * upstream is full, and asks all of its instances to pause within moments, so that
 * they would also return within moments.
 */
import {type Milliseconds, type MonotonicTime} from '@dogwooddeck/model/identifiers';
import {dispatch, type HandlerTable} from '@dogwooddeck/model/transition';

/** A notice in an answer. */
export type Notice =
	/** The upstream is leaving. */
	| {readonly kind: 'leaving'}
	/** The upstream turned the request away and wants no others for `milliseconds`. */
	| {readonly kind: 'pause'; readonly milliseconds: Milliseconds}
	/** A field that should hold a notice has a value that can't be one. */
	| {readonly kind: 'unreadable'; readonly field: string; readonly value: string};

/** What an instance knows about one incarnation of an upstream from its notices. */
export type NoticeRecord = {
	/** When it first said that it is leaving; absent if it didn't. */
	readonly leavingSince?: MonotonicTime;
	/** No request is sent before this time. */
	readonly pausedUntil: MonotonicTime;
	/** Whether it has sent an unreadable notice. */
	readonly hasUnreadable: boolean;
};

/** The record of an upstream that has sent no notice. */
export const noNotices: NoticeRecord = {pausedUntil: -Infinity, hasUnreadable: false};

/** The longest pause; a longer one, which may be a mistake, ends with it. */
export const maxPauseMilliseconds: Milliseconds = 300_000;

/** The most that is added to a pause, as a share of it. */
const maxSpreadShare = 0.5;

/** The gap after a request is at first this many times the spread, so that all instances together use half of the upstream's capacity. */
export const returnGapFactor = 2;

/** When a notice was received, and over which time instances spread their return from a pause. */
export type NoticeCircumstances = {
	readonly now: MonotonicTime;
	/** See `returnSpread`. */
	readonly spreadMilliseconds: Milliseconds;
	/** A random number between 0 and 1. */
	readonly random: number;
};

const handlers: HandlerTable<Notice, [NoticeRecord, NoticeCircumstances], NoticeRecord> = {
	leaving: (_notice, record, {now}) => record.leavingSince === undefined ? {...record, leavingSince: now} : record,
	pause({milliseconds}, record, {now, spreadMilliseconds, random}) {
		if (milliseconds <= 0) {
			return record;
		}

		const pause = Math.min(milliseconds, maxPauseMilliseconds);
		const end = now + pause;
		// One spread for a pause: a further notice with the same end must not move it.
		const until = end + (Math.min(spreadMilliseconds, pause * maxSpreadShare) * random);
		return end <= record.pausedUntil ? record : {...record, pausedUntil: until};
	},
	unreadable: (_notice, record) => record.hasUnreadable ? record : {...record, hasUnreadable: true},
};

/** Records a notice. Returns the same record if the notice changes nothing. */
export function recordNotice(record: NoticeRecord, notice: Notice, circumstances: NoticeCircumstances): NoticeRecord {
	return dispatch(handlers, notice, record, circumstances);
}

/** How an instance uses an upstream that is leaving. */
export const LeavingUse = {
	/** It sends no new requests. */
	none: 'none',
	/** No other upstream can serve the request: it still sends some for a moment. */
	lastResort: 'last-resort',
} as const;

export type LeavingUse = (typeof LeavingUse)[keyof typeof LeavingUse];

/** Whether the upstream takes no more requests for good. `graceMilliseconds` is how long a last resort may be used. */
export function hasLeft({leavingSince}: NoticeRecord, use: LeavingUse, graceMilliseconds: Milliseconds, now: MonotonicTime): boolean {
	return leavingSince !== undefined && (use === LeavingUse.none || now > leavingSince + graceMilliseconds);
}

/** Returns how long until a request may be sent: 0 now, `Infinity` never. */
export function noticeWait(record: NoticeRecord, use: LeavingUse, graceMilliseconds: Milliseconds, now: MonotonicTime): Milliseconds {
	const wait = Math.max(0, record.pausedUntil - now);
	return hasLeft(record, use, graceMilliseconds, now + wait) ? Infinity : wait;
}

/**
 * Returns the time over which instances spread their return from a pause, so that the first request of
 * each arrives no faster than the upstream processes them.
 */
export function returnSpread({instances, slots, latency}: {readonly instances: number; readonly slots: number; readonly latency: Milliseconds}): Milliseconds {
	return latency * instances / Math.max(1, slots);
}
