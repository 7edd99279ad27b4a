/**
 * The reasons for which an entry instance refuses a request, and their HTTP statuses.
 */
/** Why a request ends without an upstream's answer. */
export const Refusal = {
	noDirectory: 'no-directory',
	noRoute: 'no-route',
	badKey: 'bad-key',
	bodyTooLarge: 'body-too-large',
	/** The bodies of other requests take all memory that is meant for bodies. */
	noBodyRoom: 'no-body-room',
	/** The body was not whole at the request's deadline. */
	bodyLate: 'body-late',
	queueFull: 'line-full',
	/** The requests that wait already would delay it beyond its time. */
	noTimeToWait: 'no-time-to-wait',
	waitedTooLong: 'waited-too-long',
	/** The holder of the key receives more requests than it can process. */
	holderOverloaded: 'holder-overloaded',
	/** All upstreams that may run the request have asked for a pause that ends too late for it. */
	upstreamsPaused: 'upstreams-paused',
	/** All upstreams that may run the request are leaving. */
	upstreamsLeaving: 'upstreams-leaving',
	/** All upstreams that may run the request are cold, and this instance may not send to them in time. */
	upstreamsCold: 'upstreams-cold',
	/** No upstream of the service is in a region that the route allows. */
	noAllowedRegion: 'no-allowed-region',
	/** All upstreams that may run the request are in evacuated zones. */
	zoneEvacuated: 'zone-evacuated',
	/** The instance is stopping, before the deadline of a request that arrives or the expected answer to one that waits. */
	stopping: 'stopping',
	timeout: 'timeout',
	attemptsSpent: 'attempts-spent',
	budgetSpent: 'budget-spent',
	unknownOutcome: 'unknown-outcome',
} as const;

/** One of the values of `Refusal`. */
export type Refusal = (typeof Refusal)[keyof typeof Refusal];

/** The status of each refusal while it is certain that no upstream ran the request. */
const statusOfRefusal: Readonly<Record<Refusal, number>> = {
	[Refusal.noDirectory]: 503,
	[Refusal.noRoute]: 404,
	[Refusal.badKey]: 400,
	[Refusal.bodyTooLarge]: 413,
	[Refusal.noBodyRoom]: 503,
	[Refusal.bodyLate]: 408,
	[Refusal.queueFull]: 503,
	[Refusal.noTimeToWait]: 503,
	[Refusal.waitedTooLong]: 503,
	[Refusal.holderOverloaded]: 503,
	[Refusal.upstreamsPaused]: 503,
	[Refusal.upstreamsLeaving]: 503,
	[Refusal.upstreamsCold]: 503,
	[Refusal.noAllowedRegion]: 503,
	[Refusal.zoneEvacuated]: 503,
	[Refusal.stopping]: 503,
	[Refusal.timeout]: 503,
	[Refusal.attemptsSpent]: 503,
	[Refusal.budgetSpent]: 503,
	[Refusal.unknownOutcome]: 502,
};

/** Statuses that promise that the request did not run and never will. */
const promises: ReadonlySet<number> = new Set([408, 503]);
const gatewayTimeout = 504;

/** An answer with this status states that the request did not run, and when to retry. */
export const notRunStatus = 503;

/**
 * Returns the status that is sent to the caller. Once an upstream may have run the
 * request, it is never one that promises that the request did not run.
 */
export function refusalStatus(refusal: Refusal, mayHaveRun: boolean): number {
	const status = statusOfRefusal[refusal];
	const uncertainStatus = refusal === Refusal.timeout ? gatewayTimeout : statusOfRefusal[Refusal.unknownOutcome];
	return mayHaveRun && promises.has(status) ? uncertainStatus : status;
}
