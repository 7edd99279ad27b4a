/**
 * Counts an instance's requests in flight by the assignment that they were
 * started under, and tells up to which log entry the instance is drained.
 *
 * This is a small mutable structure, because it stands on the path of every
 * request: a start or an end costs one look-up and allocates nothing.
 */
import {AssignmentPhase} from '@dogwooddeck/model/assignment';
import {
	type FenceNumber, type LogIndex, type MonotonicTime, type ServiceName, type Slot,
} from '@dogwooddeck/model/identifiers';
import {assignmentOf, type OwnershipState} from './state.js';
import {grantorWait, type LeaseTerms} from './terms.js';

/** The requests of one instance under one assignment. Give it back to `ended` or `abandoned`. */
export type InFlightRequests = {
	readonly service: ServiceName;
	readonly slot: Slot;
	readonly fence: FenceNumber;
	inFlight: number;
	/** When the last deadline has passed on every clock. */
	pastDeadlineAt: MonotonicTime;
	/** Until then an upstream may still run something that this instance gave up. */
	abandonedUntil: MonotonicTime;
};

/** The requests that an instance has in flight. */
export type InFlightTracker = {
	/** Notes that a request is about to be handed to the socket. Its deadline is on this instance's clock. */
	readonly started: (service: ServiceName, slot: Slot, fence: FenceNumber, now: MonotonicTime, deadline: MonotonicTime) => InFlightRequests;
	/** Notes that a request is over at its upstream: a whole answer, or certainly not run. */
	readonly ended: (flight: InFlightRequests) => void;
	/** Notes that a request was given up while its upstream may still run it until its deadline. */
	readonly abandoned: (flight: InFlightRequests) => void;
	/** The largest index such that nothing which an earlier entry allowed and the table doesn't is in flight. */
	readonly drained: (state: OwnershipState, applied: LogIndex, now: MonotonicTime) => LogIndex;
	/** The number of requests in flight. */
	readonly inFlight: () => number;
};

/** Whether something of a flight may still be running. */
function running(flight: InFlightRequests, now: MonotonicTime): boolean {
	return (flight.inFlight > 0 && now < flight.pastDeadlineAt) || now < flight.abandonedUntil;
}

/** The index up to which a flight doesn't stand in the way. */
function drainedBefore(flight: InFlightRequests, state: OwnershipState): LogIndex {
	const assignment = assignmentOf(state, flight.service, flight.slot);
	if (assignment === undefined || assignment.phase === AssignmentPhase.vacant || assignment.fence !== flight.fence) {
		return flight.fence;
	}

	return assignment.phase === AssignmentPhase.revoking ? assignment.revokedAt - 1 : Infinity;
}

type SlotFlights = Map<Slot, InFlightRequests[]>;

function flightFor(slots: SlotFlights, service: ServiceName, slot: Slot, fence: FenceNumber): InFlightRequests {
	let flights = slots.get(slot);
	if (flights === undefined) {
		flights = [];
		slots.set(slot, flights);
	}

	for (const flight of flights) {
		if (flight.fence === fence) {
			return flight;
		}
	}

	const flight = {
		service, slot, fence, inFlight: 0, pastDeadlineAt: -Infinity, abandonedUntil: -Infinity,
	};
	flights.push(flight);
	return flight;
}

/** Makes an empty count. */
export function createInFlightTracker(terms: LeaseTerms): InFlightTracker {
	const services = new Map<ServiceName, SlotFlights>();
	let inFlight = 0;

	function started(service: ServiceName, slot: Slot, fence: FenceNumber, now: MonotonicTime, deadline: MonotonicTime): InFlightRequests {
		let slots = services.get(service);
		if (slots === undefined) {
			slots = new Map();
			services.set(service, slots);
		}

		const flight = flightFor(slots, service, slot, fence);
		flight.inFlight += 1;
		flight.pastDeadlineAt = Math.max(flight.pastDeadlineAt, now + grantorWait(deadline - now, terms));
		inFlight += 1;
		return flight;
	}

	function ended(flight: InFlightRequests): void {
		flight.inFlight -= 1;
		inFlight -= 1;
	}

	function abandoned(flight: InFlightRequests): void {
		flight.abandonedUntil = flight.pastDeadlineAt;
		ended(flight);
	}

	function drained(state: OwnershipState, applied: LogIndex, now: MonotonicTime): LogIndex {
		let lowest = applied;
		for (const slots of services.values()) {
			for (const [slot, flights] of slots) {
				const kept = flights.filter(flight => flight.inFlight > 0 || running(flight, now));
				for (const flight of kept) {
					lowest = running(flight, now) ? Math.min(lowest, drainedBefore(flight, state)) : lowest;
				}

				if (kept.length === 0) {
					slots.delete(slot);
				} else {
					slots.set(slot, kept);
				}
			}
		}

		return lowest;
	}

	return {
		started, ended, abandoned, drained, inFlight: () => inFlight,
	};
}
