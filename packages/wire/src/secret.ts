/**
 * Compares shared keys without telling by its time how much of them agrees.
 */
import {createHash, timingSafeEqual} from 'node:crypto';

/** Whether a given key is the expected one. */
export function sameSecret(given: string, expected: string): boolean {
	const digest = (text: string) => createHash('sha256').update(text).digest();
	return timingSafeEqual(digest(given), digest(expected));
}
