/**
 * Finds keys that alone get about as many requests as an upstream can process, and
 * decides where they belong.
 *
 * Load pattern: one key suddenly gets many times the requests that any upstream can
 * process. It can't be divided: moving it from one upstream to the next, or moving
 * the other keys away from it, serves few more requests, and each move makes keys
 * unavailable for a moment. The key therefore stays where it is, or moves once to a
 * far faster upstream; what exceeds its holder's capacity is refused, and requests
 * for the holder's other keys keep theirs.
 */
import {type KeyRate} from './planning.js';
import {
	type KeyRange, type UpstreamIncarnation, incarnationText, rangeOfKey,
} from './range.js';

/** A key that dominates its holder's work. */
export type DominantKey = {
	readonly key: number;
	/** Requests per second. */
	readonly rate: number;
	readonly holder: UpstreamIncarnation;
};

/** The rate from which a key dominates, as a share of what its holder can sustain. */
const dominantShare = 0.7;

/** A dominant key moves if another upstream is at least this many times faster than its holder. */
const relocationGain = 1.5;

/** Returns the keys that dominate their holders. `sustainableRateOf` returns requests per second, infinite if not known. */
export function dominantKeys(ranges: readonly KeyRange[], rates: readonly KeyRate[], sustainableRateOf: (holder: UpstreamIncarnation) => number): readonly DominantKey[] {
	return rates.flatMap(({key, rate}) => {
		const holder = rangeOfKey(ranges, key)?.holder;
		return holder !== undefined && rate >= dominantShare * sustainableRateOf(holder) ? [{key, rate, holder}] : [];
	});
}

/** Whether a dominant key should move: `weight` is its holder's relative capacity, `highestWeight` that of the best upstream that may take it. */
export function shouldRelocate(weight: number, highestWeight: number): boolean {
	return highestWeight >= weight * relocationGain;
}

/** Returns the holders of dominant keys, by incarnation. */
export function dominatedHolders(dominant: readonly DominantKey[]): ReadonlySet<string> {
	return new Set(dominant.map(({holder}) => incarnationText(holder)));
}
