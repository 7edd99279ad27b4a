/**
 * Seeds for the jitter of retries.
 */

/** A seed that differs between requests; it need not be hard to guess. */
export function nextSeed(): number {
	return Math.floor(Math.random() * (2 ** 31));
}
