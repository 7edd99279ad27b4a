/**
 * Counts how the attempts of one instance ended, by upstream. Counting is cheap
 * enough for every request; the counts are collected for each report.
 */
import {type UpstreamEvidence} from '@dogwooddeck/model/evidence';
import {
	type Milliseconds, sameUpstream, type ServiceName, type UpstreamIdentity, type UpstreamName,
} from '@dogwooddeck/model/identifiers';

/** The outcome of an attempt at an upstream, as health evidence. */
export const AttemptEnd = {
	/** A complete response arrived; application errors of the upstream count too. */
	answered: 'answered',
	/** The connection was refused or lost, or the response was truncated. */
	failed: 'failed',
	/** The deadline passed. */
	timedOut: 'timedOut',
	/** The upstream rejected the request because it was overloaded. */
	shed: 'shed',
	/** The caller disconnected, which is no evidence about the upstream. */
	cancelled: 'cancelled',
} as const;

export type AttemptEnd = (typeof AttemptEnd)[keyof typeof AttemptEnd];

type Counts = {
	readonly upstream: UpstreamIdentity;
	answered: number;
	failed: number;
	timedOut: number;
	shed: number;
	cancelled: number;
	inFlight: number;
	latencySum: Milliseconds;
};

/** Counts for all upstreams. Owned by the request path and updated in place. */
export type EvidenceRecorder = {
	/** Records that an attempt was sent to the upstream. */
	readonly started: (upstream: UpstreamIdentity) => void;
	/** Records that an attempt ended after `latency`. Each `started` is followed by one `ended`. */
	readonly ended: (upstream: UpstreamIdentity, end: AttemptEnd, latency: Milliseconds) => void;
	/** The number of attempts in flight. */
	readonly inFlight: (upstream: UpstreamIdentity) => number;
	/** Returns the counts since the last call and resets them. Upstreams whose counts are all zero are omitted. */
	readonly take: () => readonly UpstreamEvidence[];
};

function newCounts(upstream: UpstreamIdentity): Counts {
	return {
		upstream, answered: 0, failed: 0, timedOut: 0, shed: 0, cancelled: 0, inFlight: 0, latencySum: 0,
	};
}

function toEvidence(counts: Counts): UpstreamEvidence {
	const {upstream, answered, failed, timedOut, shed, inFlight, latencySum} = counts;
	return {
		upstream, answered, failed, timedOut, shed, inFlight, meanLatencyMilliseconds: answered === 0 ? 0 : latencySum / answered,
	};
}

function isEmpty(evidence: UpstreamEvidence): boolean {
	return evidence.answered + evidence.failed + evidence.timedOut + evidence.shed + evidence.inFlight === 0;
}

/** Creates an empty recorder. */
export function createEvidenceRecorder(): EvidenceRecorder {
	const services = new Map<ServiceName, Map<UpstreamName, Counts[]>>();

	function incarnationsOf(upstream: UpstreamIdentity): Counts[] {
		const names = services.get(upstream.service) ?? new Map<UpstreamName, Counts[]>();
		services.set(upstream.service, names);
		const incarnations = names.get(upstream.name) ?? [];
		names.set(upstream.name, incarnations);
		return incarnations;
	}

	function find(upstream: UpstreamIdentity): Counts | undefined {
		return services.get(upstream.service)?.get(upstream.name)?.find(counts => sameUpstream(counts.upstream, upstream));
	}

	function create(upstream: UpstreamIdentity): Counts {
		const counts = newCounts(upstream);
		incarnationsOf(upstream).push(counts);
		return counts;
	}

	function collectFrom(names: Map<UpstreamName, Counts[]>, name: UpstreamName): UpstreamEvidence[] {
		const incarnations = names.get(name) ?? [];
		const evidence = incarnations.map(counts => toEvidence(counts)).filter(entry => !isEmpty(entry));
		const kept = incarnations.filter(counts => counts.inFlight > 0).map(counts => ({...newCounts(counts.upstream), inFlight: counts.inFlight}));
		if (kept.length === 0) {
			names.delete(name);
		} else {
			names.set(name, kept);
		}

		return evidence;
	}

	return {
		started(upstream) {
			(find(upstream) ?? create(upstream)).inFlight++;
		},
		ended(upstream, end, latency) {
			const counts = find(upstream) ?? create(upstream);
			counts.inFlight = Math.max(0, counts.inFlight - 1);
			counts[end]++;
			counts.latencySum += end === AttemptEnd.answered ? latency : 0;
		},
		inFlight: upstream => find(upstream)?.inFlight ?? 0,
		take: () => [...services.values()].flatMap(names => [...names.keys()].flatMap(name => collectFrom(names, name))),
	};
}
