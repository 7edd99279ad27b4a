/**
 * Follows the ownership table for the users' measures: time without an owner,
 * moves, and how evenly keys are divided.
 */
import {type ServiceFigures} from '@dogwooddeck/burn/report';
import {monotonicNow} from '@dogwooddeck/clock/monotonic';
import {type Assignment, AssignmentPhase, type ServiceAssignments} from '@dogwooddeck/model/assignment';
import {type MonotonicTime, type ServiceName, type Slot} from '@dogwooddeck/model/identifiers';
import {type ControlHolder} from './control-holder.js';

/** The figures of all services since this process started. */
export type OwnershipFigures = {
	readonly take: () => readonly ServiceFigures[];
};

type Tracked = {
	assignments: readonly Assignment[];
	readonly lastOwner: Map<Slot, string>;
	readonly withoutOwnerSince: Map<Slot, MonotonicTime>;
	unavailable: number;
	moves: number;
};

function ownerOf(assignment: Assignment | undefined): string | undefined {
	return assignment?.phase === AssignmentPhase.granted ? `${assignment.owner.name}#${assignment.owner.incarnation}` : undefined;
}

function imbalance(assignments: readonly Assignment[]): number {
	const counts = new Map<string, number>();
	for (const assignment of assignments) {
		const owner = ownerOf(assignment);
		if (owner !== undefined) {
			counts.set(owner, (counts.get(owner) ?? 0) + 1);
		}
	}

	const sum = [...counts.values()].reduce((one, other) => one + other, 0);
	return sum === 0 ? 0 : Math.max(...counts.values()) * counts.size / sum;
}

function followSlot(tracked: Tracked, slot: Slot, assignment: Assignment, now: MonotonicTime): void {
	const owner = ownerOf(assignment);
	const since = tracked.withoutOwnerSince.get(slot);
	if (owner === undefined) {
		if (since === undefined && tracked.lastOwner.has(slot)) {
			tracked.withoutOwnerSince.set(slot, now);
		}

		return;
	}

	tracked.unavailable += since === undefined ? 0 : now - since;
	tracked.withoutOwnerSince.delete(slot);
	const last = tracked.lastOwner.get(slot);
	tracked.moves += Number(last !== undefined && last !== owner);
	tracked.lastOwner.set(slot, owner);
}

function follow(tracked: Tracked, assignments: readonly Assignment[], now: MonotonicTime): void {
	for (const [slot, assignment] of assignments.entries()) {
		if (tracked.assignments[slot] !== assignment) {
			followSlot(tracked, slot, assignment, now);
		}
	}

	tracked.assignments = assignments;
}

function figuresOf(service: ServiceName, tracked: Tracked, now: MonotonicTime): ServiceFigures {
	const open = [...tracked.withoutOwnerSince.values()].reduce((sum, since) => sum + now - since, 0);
	const slotImbalance = imbalance(tracked.assignments);
	return {
		service,
		unavailableSlotMilliseconds: tracked.unavailable + open,
		moves: tracked.moves,
		slotImbalance,
		loadImbalance: slotImbalance,
	};
}

/** Begins to follow the table. The imbalance of load is told by that of slots until loads are merged over instances. */
export function createOwnershipFigures(holder: ControlHolder): OwnershipFigures {
	const services = new Map<ServiceName, Tracked>();

	function followService({service, assignments}: ServiceAssignments): void {
		const tracked = services.get(service) ?? {
			assignments: [], lastOwner: new Map(), withoutOwnerSince: new Map(), unavailable: 0, moves: 0,
		};
		services.set(service, tracked);
		if (tracked.assignments !== assignments) {
			follow(tracked, assignments, monotonicNow());
		}
	}

	holder.listen(state => {
		for (const assignments of Object.values(state.ownership.services)) {
			followService(assignments);
		}
	});

	return {
		take: () => [...services].map(([service, tracked]) => figuresOf(service, tracked, monotonicNow())),
	};
}
