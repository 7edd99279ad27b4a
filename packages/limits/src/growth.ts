/** When a share that is spent is asked for anew at once, rather than at the next regular demand. */

/** By how much the wanted costs have to grow, so that a limit which is truly spent makes few demands: their number grows by the logarithm. */
const growthRatio = 2;

/** What a share was given for, and what is wanted now, both in counted things an interval. */
export type ShareUse = {
	readonly share: number;
	/** The whole contracted amount. */
	readonly amount: number;
	readonly answeredFor: number;
	readonly wanted: number;
};

/**
 * Whether a share that is spent may be larger for the asking: it is less than the
 * whole, and much more is wanted than when it was given.
 */
export function mayGrow({share, amount, answeredFor, wanted}: ShareUse): boolean {
	return share < amount && wanted >= growthRatio * answeredFor;
}
