/**
 * Counts an instance's in-flight requests by the assignment that they were
 * started under, and computes up to which log entry the instance is drained.
 *
 * The structure is mutable because it is on the path of every request: recording
 * a start or an end costs one look-up and allocates nothing.
 */
import {AssignmentPhase} from '@dogwooddeck/model/assignment';
import {
	type FenceNumber, type LogIndex, type MonotonicTime, type ServiceName, type Slot,
} from '@dogwooddeck/model/identifiers';
import {assignmentOf, type OwnershipState} from './state.js';
import {grantorWait, type LeaseTerms} from './terms.js';

/** One instance's in-flight requests under one assignment. Pass it to `end` or `abandon` once for each request. */
export type InFlightRequests = {
	readonly service: ServiceName;
	readonly slot: Slot;
	readonly fence: FenceNumber;
	inFlight: number;
	/** The time after which all deadlines have passed on every clock. */
	pastDeadlineAt: MonotonicTime;
	/** The time until which an upstream may still run a request that this instance abandoned. */
	abandonedUntil: MonotonicTime;
};

/** Tracks the in-flight requests of an instance. */
export type InFlightTracker = {
	/** Records that a request is about to be written to the socket. Its deadline is on this instance's clock. */
	readonly start: (service: ServiceName, slot: Slot, fence: FenceNumber, now: MonotonicTime, deadline: MonotonicTime) => InFlightRequests;
	/** Records that the upstream is done with a request: it sent a complete answer, or it certainly didn't run the request. */
	readonly end: (requests: InFlightRequests) => void;
	/** Records that a request was abandoned while its upstream may still run it until its deadline. */
	readonly abandon: (requests: InFlightRequests) => void;
	/** Returns the largest index such that no in-flight request was allowed by an earlier entry but isn't allowed by the table. */
	readonly drainedIndex: (state: OwnershipState, applied: LogIndex, now: MonotonicTime) => LogIndex;
	/** Returns the number of in-flight requests. */
	readonly inFlight: () => number;
};

/** Whether any of the requests may still be running. */
function mayBeRunning(requests: InFlightRequests, now: MonotonicTime): boolean {
	return (requests.inFlight > 0 && now < requests.pastDeadlineAt) || now < requests.abandonedUntil;
}

/** Returns the index up to which the instance counts as drained in spite of these requests. */
function drainedUpTo(requests: InFlightRequests, state: OwnershipState): LogIndex {
	const assignment = assignmentOf(state, requests.service, requests.slot);
	if (assignment === undefined || assignment.phase === AssignmentPhase.vacant || assignment.fence !== requests.fence) {
		return requests.fence;
	}

	return assignment.phase === AssignmentPhase.revoking ? assignment.revokedAt - 1 : Infinity;
}

type RequestsBySlot = Map<Slot, InFlightRequests[]>;

function requestsFor(slots: RequestsBySlot, service: ServiceName, slot: Slot, fence: FenceNumber): InFlightRequests {
	let entries = slots.get(slot);
	if (entries === undefined) {
		entries = [];
		slots.set(slot, entries);
	}

	for (const entry of entries) {
		if (entry.fence === fence) {
			return entry;
		}
	}

	const entry = {
		service, slot, fence, inFlight: 0, pastDeadlineAt: -Infinity, abandonedUntil: -Infinity,
	};
	entries.push(entry);
	return entry;
}

/** Creates a tracker without in-flight requests. */
export function createInFlightTracker(terms: LeaseTerms): InFlightTracker {
	const services = new Map<ServiceName, RequestsBySlot>();
	let inFlight = 0;

	function start(service: ServiceName, slot: Slot, fence: FenceNumber, now: MonotonicTime, deadline: MonotonicTime): InFlightRequests {
		let slots = services.get(service);
		if (slots === undefined) {
			slots = new Map();
			services.set(service, slots);
		}

		const requests = requestsFor(slots, service, slot, fence);
		requests.inFlight += 1;
		requests.pastDeadlineAt = Math.max(requests.pastDeadlineAt, now + grantorWait(deadline - now, terms));
		inFlight += 1;
		return requests;
	}

	function end(requests: InFlightRequests): void {
		requests.inFlight -= 1;
		inFlight -= 1;
	}

	function abandon(requests: InFlightRequests): void {
		requests.abandonedUntil = requests.pastDeadlineAt;
		end(requests);
	}

	function drainedIndex(state: OwnershipState, applied: LogIndex, now: MonotonicTime): LogIndex {
		let lowest = applied;
		for (const slots of services.values()) {
			for (const [slot, entries] of slots) {
				const remaining = entries.filter(entry => entry.inFlight > 0 || mayBeRunning(entry, now));
				for (const entry of remaining) {
					lowest = mayBeRunning(entry, now) ? Math.min(lowest, drainedUpTo(entry, state)) : lowest;
				}

				if (remaining.length === 0) {
					slots.delete(slot);
				} else {
					slots.set(slot, remaining);
				}
			}
		}

		return lowest;
	}

	return {
		start, end, abandon, drainedIndex, inFlight: () => inFlight,
	};
}
