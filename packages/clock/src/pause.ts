/**
 * Waiting for a duration without holding up the loop.
 */
import {type Milliseconds} from '@dogwooddeck/model/identifiers';

/** Ends after a duration. */
export async function pause(duration: Milliseconds): Promise<void> {
	return new Promise(resolve => {
		setTimeout(resolve, duration);
	});
}
