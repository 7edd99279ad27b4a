/**
 * What instances saw of an upstream by their own requests, and whether enough
 * of them agree that it is gone. The word of one instance is never enough in
 * a zone that has several.
 */
import {type UpstreamEvidence} from '@dogwooddeck/model/evidence';
import {
	type InstanceIdentity, type InstanceName, type Milliseconds, type MonotonicTime, sameUpstream, type UpstreamIdentity, type ZoneName,
} from '@dogwooddeck/model/identifiers';

/** Evidence older than this no longer counts. */
export const evidenceWindowMilliseconds: Milliseconds = 1500;
/** Attempts in a row without any answer after which an instance finds the upstream gone. */
export const failuresForVerdict = 3;
/** Instances that must agree where the zone has at least as many. */
export const leastWitnesses = 2;

/** What one instance saw lately. */
export type Witness = {
	readonly upstream: UpstreamIdentity;
	readonly zone: ZoneName;
	readonly seenAt: MonotonicTime;
	/** Failures and timeouts since the last whole answer. */
	readonly failuresInRow: number;
};

/** What each instance saw lately, by its name. */
export type Witnesses = Readonly<Record<InstanceName, Witness>>;

/** The question whether an upstream is gone. */
export type EvidenceQuestion = {
	readonly witnesses: Witnesses;
	readonly upstream: UpstreamIdentity;
	/** The upstream's zone, whose instances are asked. */
	readonly zone: ZoneName;
	/** The number of instances in the zone's roster. */
	readonly rosterSize: number;
	readonly now: MonotonicTime;
};

function failuresAfter(previous: Witness | undefined, evidence: UpstreamEvidence): number {
	const isAlive = evidence.answered + evidence.shed > 0;
	const before = previous !== undefined && sameUpstream(previous.upstream, evidence.upstream) ? previous.failuresInRow : 0;
	return isAlive ? 0 : before + evidence.failed + evidence.timedOut;
}

type SeenEvidence = UpstreamEvidence & {readonly seenBy: InstanceIdentity};

function tellsOfAnEnd({answered, shed, failed, timedOut}: UpstreamEvidence): boolean {
	return answered + shed + failed + timedOut > 0;
}

/**
 * Takes in what instances of `zone` saw of one upstream, in the order in which
 * they saw it. Evidence without any ended attempt says nothing. The witnesses
 * are copied once for all of the evidence, as a zone may have hundreds.
 */
export function noteEvidence(witnesses: Witnesses, evidence: readonly SeenEvidence[], zone: ZoneName, now: MonotonicTime): Witnesses {
	const telling = evidence.filter(one => tellsOfAnEnd(one));
	if (telling.length === 0) {
		return witnesses;
	}

	const next = new Map(Object.entries(witnesses));
	for (const one of telling) {
		const {upstream, seenBy} = one;
		const previous = next.get(seenBy.name);
		if (previous === undefined || previous.upstream.incarnation <= upstream.incarnation) {
			next.set(seenBy.name, {
				upstream, zone, seenAt: now, failuresInRow: failuresAfter(previous, one),
			});
		}
	}

	return Object.fromEntries(next);
}

/**
 * Whether a majority of the zone's instances that had traffic find the
 * upstream gone: at least two of them, but where the zone has just one.
 */
export function evidenceSaysLost({witnesses, upstream, zone, rosterSize, now}: EvidenceQuestion): boolean {
	const recent = Object.values(witnesses).filter(witness => witness.zone === zone
		&& now - witness.seenAt <= evidenceWindowMilliseconds
		&& sameUpstream(witness.upstream, upstream));
	const against = recent.filter(witness => witness.failuresInRow >= failuresForVerdict);
	const needed = Math.min(leastWitnesses, Math.max(1, rosterSize));
	return against.length >= needed && against.length > recent.length / 2;
}
