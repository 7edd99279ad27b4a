/**
 * Generates seeds for retry jitter.
 */

/** Returns a seed that differs between requests; it need not be unpredictable. */
export function nextSeed(): number {
	return Math.floor(Math.random() * (2 ** 31));
}
