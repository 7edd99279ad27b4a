/**
 * The durations of leases and what clock drift adds to them. Every process
 * measures by its own monotonic clock, whose rate is off by at most `driftRatio`.
 * A holder counts less than it was given, and a grantor waits for longer.
 */
import {type ServiceContract} from '@dogwooddeck/model/contract';
import {type Milliseconds} from '@dogwooddeck/model/identifiers';

/** The durations by which instances, stewards and control agree. */
export type LeaseTerms = {
	/** A routing lease. */
	readonly leaseMilliseconds: Milliseconds;
	/** The pause between two requests for the same lease, support or delegation. */
	readonly renewMilliseconds: Milliseconds;
	/** The pause before a request that carries urgent news. */
	readonly urgentMilliseconds: Milliseconds;
	/** How long an instance's support of a steward lasts. */
	readonly stewardTermMilliseconds: Milliseconds;
	/** How long control's delegation to a zone lasts. */
	readonly delegationMilliseconds: Milliseconds;
	/** The largest deviation of a clock's rate from true time. */
	readonly driftRatio: number;
};

/** The terms that hold unless a deployment sets others. */
export const defaultLeaseTerms: LeaseTerms = {
	leaseMilliseconds: 1000,
	renewMilliseconds: 250,
	urgentMilliseconds: 25,
	stewardTermMilliseconds: 1500,
	delegationMilliseconds: 1500,
	driftRatio: 0.01,
};

/** The part of a granted duration that its holder uses, on the holder's clock. */
export function holderTerm(duration: Milliseconds, terms: LeaseTerms): Milliseconds {
	return duration * (1 - terms.driftRatio);
}

/** The time after which a granted duration is over on every clock, on the grantor's clock. */
export function grantorWait(duration: Milliseconds, terms: LeaseTerms): Milliseconds {
	return duration * (1 + terms.driftRatio) / (1 - terms.driftRatio);
}

/** The parts of the time from the loss of an upstream until its keys are served again, in whole milliseconds by the default terms. */
export type TimeToServeAgain = {
	readonly detectionMilliseconds: Milliseconds;
	/** From the verdict until every instance has applied the revocation. */
	readonly revocationMilliseconds: Milliseconds;
	/** Until what is in flight has ended or passed its deadline. */
	readonly drainMilliseconds: Milliseconds;
	/** Until control has the evidence and the grant is accepted. */
	readonly grantMilliseconds: Milliseconds;
	/** Until every instance has applied the grant. */
	readonly spreadMilliseconds: Milliseconds;
	readonly totalMilliseconds: Milliseconds;
};

/** The longest time that messages and the acceptance of one entry take. */
export type TransitTimes = {
	/** One way between a steward and control. */
	readonly controlMilliseconds: Milliseconds;
	/** One way between two instances of a zone. */
	readonly zoneMilliseconds: Milliseconds;
	/** From the proposal of an entry until a majority of the voters has synced it. */
	readonly acceptMilliseconds: Milliseconds;
};

/** Transit where regions are 30 ms apart. */
export const defaultTransitTimes: TransitTimes = {controlMilliseconds: 35, zoneMilliseconds: 2, acceptMilliseconds: 70};

/**
 * Bounds the time until a lost upstream's keys are served again, where every
 * zone is in touch with control. The table travels in two hops (control to
 * steward, steward to instance), each at the latest with the next renewal, and
 * evidence goes back as urgent requests.
 */
export function timeToServeAgain(
	contract: Pick<ServiceContract, 'longestDeadlineMilliseconds'>,
	terms: LeaseTerms,
	detectionMilliseconds: Milliseconds,
	transit: TransitTimes = defaultTransitTimes,
): TimeToServeAgain {
	const transitOnce = transit.controlMilliseconds + transit.zoneMilliseconds;
	const spread = 2 * (terms.renewMilliseconds + transitOnce);
	const parts = {
		detectionMilliseconds,
		revocationMilliseconds: transit.acceptMilliseconds + spread,
		drainMilliseconds: Math.ceil(grantorWait(contract.longestDeadlineMilliseconds, terms)),
		grantMilliseconds: (2 * terms.urgentMilliseconds) + transitOnce + transit.acceptMilliseconds,
		spreadMilliseconds: spread,
	};
	const total = Object.values(parts).reduce((sum, part) => sum + part, 0);
	return {...parts, totalMilliseconds: total};
}
