/**
 * What is known about whether an upstream ran a request.
 */

/** The three things that can be known after an attempt. */
export const Outcome = {
	/** The upstream ran the request. */
	ran: 'ran',
	/** The upstream did not run the request, and never will. */
	notRun: 'not-run',
	/** Whether the upstream ran the request, or still will, can't be told. */
	unknown: 'unknown',
} as const;

/** One of the outcomes. */
export type Outcome = (typeof Outcome)[keyof typeof Outcome];
