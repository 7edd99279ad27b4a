/**
 * The delay after which a refused caller should retry.
 *
 * Load pattern: many callers are refused at the same moment. With equal delays
 * they would also retry at the same moment, so the delays are randomized.
 */
import {type Milliseconds} from '@dogwooddeck/model/identifiers';

const minDelayMilliseconds: Milliseconds = 80;

/** The range of the random part of the delay, as a share of the request's objective. */
const randomDelayShare = 0.6;

/** Returns the retry delay for a caller; `random` is a random number between 0 and 1. */
export function retryDelay(objectiveMilliseconds: Milliseconds, random: number): Milliseconds {
	return minDelayMilliseconds + (objectiveMilliseconds * randomDelayShare * random);
}
