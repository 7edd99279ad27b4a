/**
 * When a caller who was refused should come back.
 *
 * Load pattern: many callers are refused at the same moment. Told the same
 * pause, they would come back at the same moment too, so the pauses are spread.
 */
import {type Milliseconds} from '@dogwooddeck/model/identifiers';

const shortestReturnMilliseconds: Milliseconds = 80;

/** The share of a request's objective within which refused callers come back. */
const returnShare = 0.6;

/** The pause for a caller; `draw` is between 0 and 1. */
export function returnAfter(objectiveMilliseconds: Milliseconds, draw: number): Milliseconds {
	return shortestReturnMilliseconds + (objectiveMilliseconds * returnShare * draw);
}
