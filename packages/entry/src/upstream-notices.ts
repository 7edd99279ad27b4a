/**
 * The notices of upstreams at this instance: records what their answers say, and
 * tells which upstreams may be sent requests.
 */
import {monotonicNow} from '@dogwooddeck/clock/monotonic';
import {
	hasLeft, LeavingUse, noNotices, type Notice, type NoticeCircumstances, type NoticeRecord, noticeWait, recordNotice, returnGapFactor, returnSpread,
} from '@dogwooddeck/gateway/upstream-notice';
import {type UpstreamLoad} from '@dogwooddeck/gateway/upstream-load';
import {type Milliseconds, type MonotonicTime} from '@dogwooddeck/model/identifiers';

/** The notices of one incarnation of an upstream. They are on the request path, so they are updated in place. */
export class UpstreamNotices {
	#record: NoticeRecord = noNotices;
	readonly #graceMilliseconds: Milliseconds;

	/** `graceMilliseconds`: how long an upstream that is leaving may be used as a last resort. */
	constructor(graceMilliseconds: Milliseconds) {
		this.#graceMilliseconds = graceMilliseconds;
	}

	/** Whether the upstream has said that it is leaving. */
	get isLeaving(): boolean {
		return this.#record.leavingSince !== undefined;
	}

	/** When the pause ends that the upstream asked for; in the past if there is none. */
	get pausedUntil(): MonotonicTime {
		return this.#record.pausedUntil;
	}

	/** Returns how long until a request may be sent: 0 now, `Infinity` never. */
	waitFor(use: LeavingUse, now: MonotonicTime): Milliseconds {
		return this.#record === noNotices ? 0 : noticeWait(this.#record, use, this.#graceMilliseconds, now);
	}

	/** Whether no more requests may be sent, also as a last resort. */
	hasLeft(now: MonotonicTime): boolean {
		return hasLeft(this.#record, LeavingUse.lastResort, this.#graceMilliseconds, now);
	}

	/** Records a notice. Returns whether it changes what may be sent, or is the first unreadable one. */
	record(notice: Notice, circumstances: NoticeCircumstances): boolean {
		const earlier = this.#record;
		this.#record = recordNotice(earlier, notice, circumstances);
		return this.#record !== earlier;
	}
}

/** An upstream whose notices are recorded. */
export type NoticedUpstream = {readonly record: {readonly slots: number}; readonly load: UpstreamLoad; readonly notices: UpstreamNotices};

/** Records a notice of an upstream, and slows down the return from a pause. Returns whether the notice changes anything. */
export function recordUpstreamNotice({record, load, notices}: NoticedUpstream, notice: Notice, instances: number, random: number): boolean {
	const now = monotonicNow();
	const spreadMilliseconds = returnSpread({instances, slots: record.slots, latency: load.latency});
	const changes = notices.record(notice, {now, spreadMilliseconds, random});
	if (changes && notice.kind === 'pause') {
		load.returnSlowly(notices.pausedUntil, spreadMilliseconds * returnGapFactor);
	}

	return changes;
}

/** Returns how those of all upstreams of a service that are leaving may be used: as a last resort if all of them are. */
export function leavingUseOf(upstreams: readonly NoticedUpstream[]): LeavingUse {
	return upstreams.every(({notices}) => notices.isLeaving) ? LeavingUse.lastResort : LeavingUse.none;
}

/** Returns how long until one of all upstreams of a service may be sent a request: `Infinity` if all are leaving, 0 if there is none. */
export function waitForOpen(upstreams: readonly NoticedUpstream[], now: MonotonicTime): Milliseconds {
	const use = leavingUseOf(upstreams);
	let shortest = upstreams.length === 0 ? 0 : Infinity;
	for (const {notices} of upstreams) {
		shortest = Math.min(shortest, notices.waitFor(use, now));
		if (shortest === 0) {
			break;
		}
	}

	return shortest;
}
