/**
 * How many members decide.
 */

/** The number of members that make a majority. */
export function majorityOf(members: number): number {
	return Math.floor(members / 2) + 1;
}
