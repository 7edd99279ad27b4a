/**
 * The key space of one service as ranges, each with its holder and its fence.
 */
import {type FenceNumber, type LogIndex} from '@dogwooddeck/model/identifiers';

/** The number of keys that a service has. */
export const keyCount = 65_536;

/** One life of an upstream: a process that starts anew under its name is another one. */
export type Life = {
	readonly id: string;
	/** When the life began, in milliseconds since 1970 by the upstream's own clock. */
	readonly born: number;
};

/** Keys from `from` to `to`, both included. */
export type KeySpan = {readonly from: number; readonly to: number};

/** A run of keys with one holder. */
export type KeyRange = KeySpan & {
	/** The fence of the newest grant; 0 before the first one. */
	readonly fence: FenceNumber;
	/** The upstream that the keys are granted to; undefined while nobody may hold them. */
	readonly holder?: Life;
	/** The log index at which the holder was asked to give the keys up. */
	readonly releasingSince?: LogIndex;
	/** Whether the holder was told of its grant and not yet told to give the keys up: requests may be sent to it. */
	readonly told: boolean;
	/** The token by which the last holder passes on what it has of these keys; empty where there is none. */
	readonly handover: string;
};

/** All keys of a service, nobody's yet. */
export const unheldRanges: readonly KeyRange[] = [{
	from: 0, to: keyCount - 1, fence: 0, told: false, handover: '',
}];

/** Whether two lives are the same. */
export function sameLife(one: Life | undefined, other: Life | undefined): boolean {
	return one?.id === other?.id && one?.born === other?.born;
}

/** A life as the key of a map. */
export function lifeText({id, born}: Life): string {
	return `${id}#${born}`;
}

/** The keys that two spans share. */
export function sharedSpan(one: KeySpan, other: KeySpan): KeySpan | undefined {
	const from = Math.max(one.from, other.from);
	const to = Math.min(one.to, other.to);
	return from <= to ? {from, to} : undefined;
}

function joinable(one: KeyRange, other: KeyRange): boolean {
	return one.fence === other.fence && one.told === other.told && one.releasingSince === other.releasingSince
		&& one.handover === '' && other.handover === '' && sameLife(one.holder, other.holder);
}

function join(ranges: readonly KeyRange[]): readonly KeyRange[] {
	const joined: KeyRange[] = [];
	for (const range of ranges) {
		const last = joined.at(-1);
		if (last !== undefined && joinable(last, range)) {
			joined[joined.length - 1] = {...last, to: range.to};
		} else {
			joined.push(range);
		}
	}

	return joined;
}

/** Changes the part of each range that lies in a span; ranges are split at its ends. */
export function changeSpan(ranges: readonly KeyRange[], span: KeySpan, change: (range: KeyRange) => KeyRange): readonly KeyRange[] {
	return join(ranges.flatMap(range => {
		const shared = sharedSpan(range, span);
		if (shared === undefined) {
			return [range];
		}

		const before = range.from < shared.from ? [{...range, to: shared.from - 1}] : [];
		const after = shared.to < range.to ? [{...range, from: shared.to + 1}] : [];
		return [...before, change({...range, ...shared}), ...after];
	}));
}

/** The range that a key lies in, by binary search. */
export function rangeOfKey(ranges: readonly KeyRange[], key: number): KeyRange | undefined {
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

	return ranges[low];
}
