/**
 * A simple model of waiting: requests of one upstream arrive at random, run
 * for a fixed time, and wait while all its slots are taken.
 */

/** One upstream, as the model sees it. */
export type Server = {
	/** Requests a second. */
	readonly rate: number;
	/** Requests that it runs at one time. */
	readonly slots: number;
	readonly serviceMilliseconds: number;
	/** The part of its requests that come from the other region. */
	readonly remoteShare: number;
	/** The time on the way there and back, within the region and between regions. */
	readonly localMilliseconds: number;
	readonly remoteMilliseconds: number;
};

/** What the model says of one upstream. */
export type Waiting = {
	/** The chance that a request waits at all. */
	readonly chance: number;
	/** The wait of those that wait falls off at this rate a millisecond. */
	readonly drainPerMillisecond: number;
	/** Requests a second that are more than it can carry. */
	readonly refusedPerSecond: number;
};

/** Above this part of its capacity an upstream refuses. */
export const mostBusy = 0.95;

const millisecondsPerSecond = 1000;

function chanceToWait(slots: number, offered: number): number {
	let inverse = 1;
	for (let slot = 1; slot <= slots; slot++) {
		inverse = 1 + (inverse * slot / offered);
	}

	const blocked = 1 / inverse;
	return blocked / (1 - (offered / slots * (1 - blocked)));
}

/** The waiting at one upstream, by Erlang's formula for waiting. */
export function waitingAt(server: Server): Waiting {
	const capacity = server.slots * millisecondsPerSecond / server.serviceMilliseconds;
	const admitted = Math.min(server.rate, capacity * mostBusy);
	const offered = admitted * server.serviceMilliseconds / millisecondsPerSecond;
	return {
		chance: offered === 0 ? 0 : chanceToWait(server.slots, offered),
		drainPerMillisecond: (capacity - admitted) / millisecondsPerSecond,
		refusedPerSecond: server.rate - admitted,
	};
}

/** The mean latency of a mixture of upstreams, in milliseconds, by their rates. */
export function meanLatency(servers: readonly Server[]): number {
	const total = servers.reduce((sum, {rate}) => sum + rate, 0);
	const weighted = servers.reduce((sum, server) => {
		const {chance, drainPerMillisecond} = waitingAt(server);
		const network = (server.remoteShare * server.remoteMilliseconds) + ((1 - server.remoteShare) * server.localMilliseconds);
		return sum + (server.rate * (network + server.serviceMilliseconds + (chance / drainPerMillisecond)));
	}, 0);
	return total === 0 ? 0 : weighted / total;
}

function chanceAbove(wait: number, {chance, drainPerMillisecond}: Waiting): number {
	return wait < 0 ? 1 : chance * Math.exp(-wait * drainPerMillisecond);
}

/** The latency that 99 in 100 requests of a mixture don't exceed, in milliseconds. */
export function highLatency(servers: readonly Server[]): number {
	const total = servers.reduce((sum, {rate}) => sum + rate, 0);
	const waits = servers.map(server => ({server, waiting: waitingAt(server)}));
	const shareAbove = (limit: number) => waits.reduce((sum, {server, waiting}) => {
		const remote = server.remoteShare * chanceAbove(limit - server.remoteMilliseconds - server.serviceMilliseconds, waiting);
		const local = (1 - server.remoteShare) * chanceAbove(limit - server.localMilliseconds - server.serviceMilliseconds, waiting);
		return sum + (server.rate * (remote + local));
	}, 0) / Math.max(total, 1e-9);
	let [low, high] = [0, 10_000];
	while (high - low > 0.05) {
		const middle = (low + high) / 2;
		[low, high] = shareAbove(middle) > 0.01 ? [middle, high] : [low, middle];
	}

	return high;
}
