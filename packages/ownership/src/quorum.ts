/**
 * Majority arithmetic for rosters.
 */

/** Returns the number of members that form a majority. */
export function majorityOf(members: number): number {
	return Math.floor(members / 2) + 1;
}
