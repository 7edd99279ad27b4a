/**
 * Flap damping: an upstream that restarts several times in a short time joins
 * after an exponentially growing delay, so that keys don't move back and forth
 * with it.
 */
import {type Incarnation, type Milliseconds, type MonotonicTime} from '@dogwooddeck/model/identifiers';

/** Incarnations that started longer ago than this are not counted. */
export const flapWindowMilliseconds: Milliseconds = 120_000;
/** The number of incarnations within the window that count as ordinary restarts. */
export const ordinaryIncarnations = 2;
/** The join delay of the first incarnation beyond the ordinary ones; doubles with each further one. */
export const initialJoinDelayMilliseconds: Milliseconds = 5000;
/** The maximum join delay. */
export const maximumJoinDelayMilliseconds: Milliseconds = 60_000;

/** The recent incarnations of an upstream, oldest first. */
export type FlapHistory = {
	readonly incarnations: ReadonlyArray<{readonly incarnation: Incarnation; readonly startedAt: MonotonicTime}>;
};

/** Adds an incarnation that starts now, and drops those outside the window. */
export function recordIncarnation(history: FlapHistory, incarnation: Incarnation, now: MonotonicTime): FlapHistory {
	const recent = history.incarnations.filter(entry => now - entry.startedAt <= flapWindowMilliseconds);
	return {incarnations: [...recent, {incarnation, startedAt: now}]};
}

/** Returns when the latest incarnation may join: in the past when it isn't delayed. */
export function joinAllowedAt(history: FlapHistory): MonotonicTime {
	const latest = history.incarnations.at(-1);
	const excess = history.incarnations.length - ordinaryIncarnations;
	if (latest === undefined || excess <= 0) {
		return Number.NEGATIVE_INFINITY;
	}

	return latest.startedAt + Math.min(maximumJoinDelayMilliseconds, initialJoinDelayMilliseconds * (2 ** (excess - 1)));
}

/** Counts the histories that show more than ordinary restarts. */
export function flappingUpstreams(histories: readonly FlapHistory[], now: MonotonicTime): number {
	return histories.filter(({incarnations}) => incarnations.filter(entry => now - entry.startedAt <= flapWindowMilliseconds).length > ordinaryIncarnations).length;
}
