/**
 * The outcome of an attempt: whether the upstream is known to have run the request.
 */

/** The possible outcomes of an attempt. */
export const Outcome = {
	/** The upstream ran the request. */
	ran: 'ran',
	/** The upstream did not run the request, and never will. */
	notRun: 'not-run',
	/** It can't be determined whether the upstream ran the request or still will. */
	unknown: 'unknown',
} as const;

/** One of the outcomes. */
export type Outcome = (typeof Outcome)[keyof typeof Outcome];
