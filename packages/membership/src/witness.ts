/**
 * Health evidence from the requests of several instances: records the
 * consecutive failures that each instance observed at an upstream, and decides
 * whether enough instances agree that the upstream is lost. In a zone with
 * several instances, the evidence of one is never enough.
 */
import {type UpstreamEvidence} from '@dogwooddeck/model/evidence';
import {
	type InstanceIdentity, type InstanceName, type Milliseconds, type MonotonicTime, sameUpstream, type UpstreamIdentity, type ZoneName,
} from '@dogwooddeck/model/identifiers';

/** Evidence older than this is ignored. */
export const evidenceWindowMilliseconds: Milliseconds = 1500;
/** The number of consecutive attempts without a response after which an instance counts as a witness of the loss. */
export const failuresForVerdict = 3;
/** The number of instances that must agree, in a zone that has at least as many. */
export const minimumWitnesses = 2;

/** The recent evidence of one instance. */
export type Witness = {
	readonly upstream: UpstreamIdentity;
	readonly zone: ZoneName;
	readonly observedAt: MonotonicTime;
	/** Failures and timeouts since the last complete response. */
	readonly consecutiveFailures: number;
};

/** The recent evidence by instance name. */
export type Witnesses = Readonly<Record<InstanceName, Witness>>;

/** The inputs for the decision whether an upstream is lost. */
export type EvidenceInputs = {
	readonly witnesses: Witnesses;
	readonly upstream: UpstreamIdentity;
	/** The upstream's zone; only evidence of its instances counts. */
	readonly zone: ZoneName;
	/** The number of instances in the zone's roster. */
	readonly rosterSize: number;
	readonly now: MonotonicTime;
};

function failuresAfter(previous: Witness | undefined, evidence: UpstreamEvidence): number {
	const isAlive = evidence.answered + evidence.shed > 0;
	const previousFailures = previous !== undefined && sameUpstream(previous.upstream, evidence.upstream) ? previous.consecutiveFailures : 0;
	return isAlive ? 0 : previousFailures + evidence.failed + evidence.timedOut;
}

type ReportedEvidence = UpstreamEvidence & {readonly seenBy: InstanceIdentity};

function hasEndedAttempt({answered, shed, failed, timedOut}: UpstreamEvidence): boolean {
	return answered + shed + failed + timedOut > 0;
}

/**
 * Records the evidence of instances of `zone` about one upstream, in the order
 * of observation. Evidence without any ended attempt is ignored. The witnesses
 * are copied once for all of the evidence, as a zone may have hundreds.
 */
export function recordEvidence(witnesses: Witnesses, evidence: readonly ReportedEvidence[], zone: ZoneName, now: MonotonicTime): Witnesses {
	const conclusive = evidence.filter(one => hasEndedAttempt(one));
	if (conclusive.length === 0) {
		return witnesses;
	}

	const next = new Map(Object.entries(witnesses));
	for (const one of conclusive) {
		const {upstream, seenBy} = one;
		const previous = next.get(seenBy.name);
		if (previous === undefined || previous.upstream.incarnation <= upstream.incarnation) {
			next.set(seenBy.name, {
				upstream, zone, observedAt: now, consecutiveFailures: failuresAfter(previous, one),
			});
		}
	}

	return Object.fromEntries(next);
}

/**
 * Whether a majority of the zone's instances with recent traffic observe the
 * upstream as lost: at least two of them, or one in a zone with a single instance.
 */
export function isLostByEvidence({witnesses, upstream, zone, rosterSize, now}: EvidenceInputs): boolean {
	const recent = Object.values(witnesses).filter(witness => witness.zone === zone
		&& now - witness.observedAt <= evidenceWindowMilliseconds
		&& sameUpstream(witness.upstream, upstream));
	const against = recent.filter(witness => witness.consecutiveFailures >= failuresForVerdict);
	const needed = Math.min(minimumWitnesses, Math.max(1, rosterSize));
	return against.length >= needed && against.length > recent.length / 2;
}
