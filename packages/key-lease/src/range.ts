/**
 * The key space of one service as a sorted list of ranges, each with its holder
 * and its fence number, and operations on spans of keys.
 */
import {memoize} from '@dogwooddeck/model/memoize';
import {type FenceNumber, type LogIndex} from '@dogwooddeck/model/identifiers';

/** The number of keys of a service. */
export const keyCount = 65_536;

/** One incarnation of an upstream: each process start under the same name is a new one. */
export type UpstreamIncarnation = {
	readonly id: string;
	/** The start time that tells incarnations apart, in milliseconds since 1970 by the upstream's own clock. */
	readonly born: number;
};

/** Keys from `from` to `to`, both inclusive. */
export type KeySpan = {readonly from: number; readonly to: number};

/** Consecutive keys with the same holder. */
export type KeyRange = KeySpan & {
	/** The fence number of the newest grant; 0 before the first one. */
	readonly fence: FenceNumber;
	/** The upstream that the keys are granted to; undefined while they are unassigned. */
	readonly holder?: UpstreamIncarnation;
	/** The log index of the recall; undefined if the keys are not being recalled. */
	readonly releasingSince?: LogIndex;
	/** Whether the holder was notified of its grant and not yet of a recall: requests may be sent to it. */
	readonly told: boolean;
	/** The token by which the previous holder hands over its state of these keys; empty if there is none. */
	readonly handover: string;
};

/** All keys of a service, unassigned. */
export const unassignedRanges: readonly KeyRange[] = [{
	from: 0, to: keyCount - 1, fence: 0, told: false, handover: '',
}];

/** Whether two incarnations are the same, or both are undefined. */
export function sameIncarnation(one: UpstreamIncarnation | undefined, other: UpstreamIncarnation | undefined): boolean {
	return one?.id === other?.id && one?.born === other?.born;
}

/** Whether a range's holder was notified of its grant and the range is not being recalled. */
export function isSettled({releasingSince, told}: KeyRange): boolean {
	return releasingSince === undefined && told;
}

/** Returns an incarnation as a string, for use as a map key. */
export function incarnationText({id, born}: UpstreamIncarnation): string {
	return `${id}#${born}`;
}

const byHolder = memoize((ranges: readonly KeyRange[]) => {
	const rangesByHolder = new Map<string, KeyRange[]>();
	for (const range of ranges) {
		if (range.holder !== undefined) {
			const key = incarnationText(range.holder);
			const heldRanges = rangesByHolder.get(key) ?? [];
			heldRanges.push(range);
			rangesByHolder.set(key, heldRanges);
		}
	}

	return rangesByHolder;
});

/** Returns the ranges that are granted to an incarnation, including recalled ones, in order. */
export function rangesHeldBy(ranges: readonly KeyRange[], holder: UpstreamIncarnation): readonly KeyRange[] {
	return byHolder(ranges).get(incarnationText(holder)) ?? [];
}

/** Returns the intersection of two spans; undefined if they are disjoint. */
export function intersectSpans(one: KeySpan, other: KeySpan): KeySpan | undefined {
	const from = Math.max(one.from, other.from);
	const to = Math.min(one.to, other.to);
	return from <= to ? {from, to} : undefined;
}

/** Returns the parts of a span that lie in none of `others`, which are sorted by first key. */
export function subtractSpans({from, to}: KeySpan, others: readonly KeySpan[]): readonly KeySpan[] {
	const rest: KeySpan[] = [];
	let next = from;
	for (const other of others) {
		if (other.from > to) {
			break;
		}

		if (other.from > next) {
			rest.push({from: next, to: other.from - 1});
		}

		next = Math.max(next, other.to + 1);
	}

	return next <= to ? [...rest, {from: next, to}] : rest;
}

/** Returns the spans sorted by first key. */
export function sortByFirstKey<Span extends KeySpan>(spans: readonly Span[]): readonly Span[] {
	return [...spans].sort((one, other) => one.from - other.from);
}

function canMerge(one: KeyRange, other: KeyRange): boolean {
	return one.told === other.told && one.releasingSince === other.releasingSince
		&& (one.fence === other.fence || one.holder === undefined)
		&& one.handover === '' && other.handover === '' && sameIncarnation(one.holder, other.holder);
}

/** Merges adjacent ranges. Unassigned keys keep the highest fence among them: the fence of the next grant is higher than all. */
function mergeRanges(ranges: readonly KeyRange[]): readonly KeyRange[] {
	const merged: KeyRange[] = [];
	for (const range of ranges) {
		const last = merged.at(-1);
		if (last !== undefined && canMerge(last, range)) {
			merged[merged.length - 1] = {...last, to: range.to, fence: Math.max(last.fence, range.fence)};
		} else {
			merged.push(range);
		}
	}

	return merged;
}

type RangeChange<Span extends KeySpan> = (range: KeyRange, span: Span) => KeyRange;

/** Changes the parts of ranges that lie in `sorted` spans, in one pass over both lists. */
function changeSortedSpans<Span extends KeySpan>(ranges: readonly KeyRange[], sorted: readonly Span[], change: RangeChange<Span>): readonly KeyRange[] {
	const changed: KeyRange[] = [];
	let position = 0;
	for (const range of ranges) {
		let {from} = range;
		while (from <= range.to) {
			while (position < sorted.length && sorted[position]!.to < from) {
				position += 1;
			}

			const span = sorted[position];
			if (span === undefined || span.from > range.to) {
				changed.push(from === range.from ? range : {...range, from});
				break;
			}

			if (span.from > from) {
				changed.push({...range, from, to: span.from - 1});
				from = span.from;
			}

			const to = Math.min(range.to, span.to);
			changed.push(change({...range, from, to}, span));
			from = to + 1;
		}
	}

	return mergeRanges(changed);
}

/** More spans than this are cheaper to change in one pass over the whole table. */
const maxSingleChanges = 16;

/** Changes the parts of ranges that lie in one span; passes only over the ranges that the span touches and their neighbours. */
function changeSpan<Span extends KeySpan>(ranges: readonly KeyRange[], span: Span, change: RangeChange<Span>): readonly KeyRange[] {
	const first = Math.max(0, positionOfKey(ranges, span.from) - 1);
	const end = Math.min(ranges.length, positionOfKey(ranges, span.to) + 2);
	return ranges.toSpliced(first, end - first, ...changeSortedSpans(ranges.slice(first, end), [span], change));
}

function hasOverlap(spans: readonly KeySpan[]): boolean {
	return spans.some(({from}, position) => position > 0 && from <= spans[position - 1]!.to);
}

/**
 * Changes the parts of ranges that lie in spans; ranges are split at the ends of
 * spans. Where spans overlap, the first one applies. A table has thousands of
 * ranges; most commands change a few of them, a first grant about as many as
 * the table has.
 */
export function changeSpans<Span extends KeySpan>(ranges: readonly KeyRange[], spans: readonly Span[], change: RangeChange<Span>): readonly KeyRange[] {
	const sorted = sortByFirstKey(spans);
	return sorted.length > maxSingleChanges || hasOverlap(sorted)
		? changeSortedSpans(ranges, sorted, change)
		: sorted.reduce((changed, span) => changeSpan(changed, span, change), ranges);
}

/** Returns the index of the range that contains a key, by binary search. */
function positionOfKey(ranges: readonly KeyRange[], key: number): number {
	let low = 0;
	let high = ranges.length - 1;
	while (low < high) {
		const middle = Math.ceil((low + high) / 2);
		if (ranges[middle]!.from <= key) {
			low = middle;
		} else {
			high = middle - 1;
		}
	}

	return low;
}

/** Returns the range that contains a key. */
export function rangeOfKey(ranges: readonly KeyRange[], key: number): KeyRange | undefined {
	return ranges[positionOfKey(ranges, key)];
}
