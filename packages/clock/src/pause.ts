/**
 * A delay that doesn't block the event loop.
 */
import {type Milliseconds} from '@dogwooddeck/model/identifiers';

/** Resolves after a duration. */
export async function pause(duration: Milliseconds): Promise<void> {
	return new Promise(resolve => {
		setTimeout(resolve, duration);
	});
}
