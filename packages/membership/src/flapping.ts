/**
 * Upstreams that come and go several times in a short while are held back
 * with a growing delay, so that keys don't move to and fro with them.
 */
import {type Incarnation, type Milliseconds, type MonotonicTime} from '@dogwooddeck/model/identifiers';

/** Lives that began longer ago than this no longer count. */
export const flapWindowMilliseconds: Milliseconds = 120_000;
/** Lives within the window that are taken for ordinary restarts. */
export const ordinaryLives = 2;
/** The delay of the first life beyond the ordinary ones; it doubles with each more. */
export const firstHoldMilliseconds: Milliseconds = 5000;
/** The longest delay. */
export const longestHoldMilliseconds: Milliseconds = 60_000;

/** The recent lives of an upstream, oldest first. */
export type FlapHistory = {
	readonly lives: ReadonlyArray<{readonly incarnation: Incarnation; readonly beganAt: MonotonicTime}>;
};

/** Adds a life that began now. */
export function noteLife(history: FlapHistory, incarnation: Incarnation, now: MonotonicTime): FlapHistory {
	const recent = history.lives.filter(life => now - life.beganAt <= flapWindowMilliseconds);
	return {lives: [...recent, {incarnation, beganAt: now}]};
}

/** When the latest life may join. In the past for one that isn't held back. */
export function heldUntil(history: FlapHistory): MonotonicTime {
	const latest = history.lives.at(-1);
	const excess = history.lives.length - ordinaryLives;
	if (latest === undefined || excess <= 0) {
		return Number.NEGATIVE_INFINITY;
	}

	return latest.beganAt + Math.min(longestHoldMilliseconds, firstHoldMilliseconds * (2 ** (excess - 1)));
}

/** How many of the histories show more than ordinary restarts. */
export function flappingUpstreams(histories: readonly FlapHistory[], now: MonotonicTime): number {
	return histories.filter(({lives}) => lives.filter(life => now - life.beganAt <= flapWindowMilliseconds).length > ordinaryLives).length;
}
