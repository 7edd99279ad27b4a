/**
 * Lease durations and their correction for clock drift. Each process measures
 * time on its own monotonic clock, whose rate deviates from true time by at most
 * `driftRatio`. A holder uses less than the granted duration, and a grantor
 * waits for longer.
 */
import {type ServiceContract} from '@dogwooddeck/model/contract';
import {type Milliseconds} from '@dogwooddeck/model/identifiers';

/** The durations that instances, stewards and control share. */
export type LeaseTerms = {
	/** How long a routing lease lasts. */
	readonly leaseMilliseconds: Milliseconds;
	/** The interval between two requests for the same lease, support or delegation. */
	readonly renewMilliseconds: Milliseconds;
	/** The minimum interval before a request that reports progress which a revocation may be waiting for. */
	readonly urgentMilliseconds: Milliseconds;
	/** How long an instance's support of a steward lasts. */
	readonly stewardTermMilliseconds: Milliseconds;
	/** How long control's delegation to a zone lasts. */
	readonly delegationMilliseconds: Milliseconds;
	/** The largest deviation of a clock's rate from true time. */
	readonly driftRatio: number;
};

/** The default terms. */
export const defaultLeaseTerms: LeaseTerms = {
	leaseMilliseconds: 1000,
	renewMilliseconds: 250,
	urgentMilliseconds: 25,
	stewardTermMilliseconds: 1500,
	delegationMilliseconds: 1500,
	driftRatio: 0.01,
};

/** Returns the part of a granted duration that its holder may use, on the holder's clock. */
export function holderTerm(duration: Milliseconds, terms: LeaseTerms): Milliseconds {
	return duration * (1 - terms.driftRatio);
}

/** Returns how long the grantor waits, on its own clock, until a granted duration has expired on every clock. */
export function grantorWait(duration: Milliseconds, terms: LeaseTerms): Milliseconds {
	return duration * (1 + terms.driftRatio) / (1 - terms.driftRatio);
}

/** The parts of the time from the loss of an upstream until its keys are served again. With the default terms all are whole milliseconds. */
export type TimeToServeAgain = {
	readonly detectionMilliseconds: Milliseconds;
	/** From the verdict until every instance has applied the revocation. */
	readonly revocationMilliseconds: Milliseconds;
	/** Until all in-flight requests have completed or passed their deadlines. */
	readonly drainMilliseconds: Milliseconds;
	/** Until control has the evidence and the grant is committed. */
	readonly grantMilliseconds: Milliseconds;
	/** Until every instance has applied the grant. */
	readonly spreadMilliseconds: Milliseconds;
	readonly totalMilliseconds: Milliseconds;
};

/** Upper bounds for message transit and for the commit of one entry. */
export type TransitTimes = {
	/** One way between a steward and control. */
	readonly controlMilliseconds: Milliseconds;
	/** One way between two instances of a zone. */
	readonly zoneMilliseconds: Milliseconds;
	/** From the proposal of an entry until a majority of the voters has synced it to disk. */
	readonly acceptMilliseconds: Milliseconds;
};

/** Transit times for regions that are 30 ms apart. */
export const defaultTransitTimes: TransitTimes = {controlMilliseconds: 35, zoneMilliseconds: 2, acceptMilliseconds: 70};

/**
 * Returns an upper bound for the time until a lost upstream's keys are served
 * again, provided that every zone is in contact with control. The table travels
 * in two hops (control to steward, steward to instance), each no later than the
 * next renewal, and evidence is sent back in urgent requests.
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
