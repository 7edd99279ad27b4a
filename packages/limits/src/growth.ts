/** Decides whether an exhausted share is requested again at once, rather than with the next regular demand. */

/** The factor by which the wanted cost must grow. It keeps demands for an exhausted limit few: their number grows with the logarithm of the wanted cost. */
const growthRatio = 2;

/** A share, what was wanted when it was granted and what is wanted now, all in counted items per interval. */
export type ShareUse = {
	readonly share: number;
	/** The whole contracted amount. */
	readonly amount: number;
	readonly wantedAtGrant: number;
	readonly wanted: number;
};

/**
 * Whether a new request may return a larger share: the share is less than the
 * whole amount, and much more is wanted than when it was granted.
 */
export function mayReceiveLargerShare({share, amount, wantedAtGrant, wanted}: ShareUse): boolean {
	return share < amount && wanted >= growthRatio * wantedAtGrant;
}
