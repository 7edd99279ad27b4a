/**
 * Command handlers for grants, revocations and releases of slots. A move takes
 * two entries: the revocation, then, once there is evidence that the old owner
 * gets no more requests, the grant that names the revocation.
 */
import {type Assignment, AssignmentPhase} from '@dogwooddeck/model/assignment';
import {type Failure, failure, FailureKind} from '@dogwooddeck/model/failure';
import {type LogIndex, type ServiceName, type Slot} from '@dogwooddeck/model/identifiers';
import {err, ok, type Result} from 'true-myth/result';
import {
	type AssignmentsGranted, type AssignmentsReleased, type AssignmentsRevoked, type Grant,
} from './command.js';
import {unknownService, withService} from './services.js';
import {type OwnershipState, revokedAtOf} from './state.js';

type AssignmentChange = (assignment: Assignment) => Assignment | undefined;

function conflict(service: ServiceName, slot: Slot, expected: string): Failure {
	return failure(FailureKind.conflict, `slot ${slot} of ${service} is not ${expected}`);
}

function changeSlots(
	state: OwnershipState,
	service: ServiceName,
	changes: ReadonlyArray<readonly [Slot, AssignmentChange]>,
	expected: string,
): Result<OwnershipState, Failure> {
	const current = state.services[service];
	if (current === undefined) {
		return err(unknownService(service));
	}

	const assignments = [...current.assignments];
	for (const [slot, change] of changes) {
		const assignment = assignments[slot];
		const changed = assignment === undefined ? undefined : change(assignment);
		if (changed === undefined) {
			return err(conflict(service, slot, expected));
		}

		assignments[slot] = changed;
	}

	return ok(withService(state, {...current, assignments}));
}

function grantChange(grant: Grant, index: LogIndex): AssignmentChange {
	return assignment => {
		const grantable = assignment.phase !== AssignmentPhase.granted && revokedAtOf(assignment) === grant.revokedAt;
		return grantable
			? {
				phase: AssignmentPhase.granted, slot: grant.slot, owner: grant.owner, fence: index,
			}
			: undefined;
	};
}

/** Grants slots that are vacant or whose current revocation the grant names. */
export function grantAssignments(command: AssignmentsGranted, state: OwnershipState, index: LogIndex): Result<OwnershipState, Failure> {
	const changes = command.grants.map(grant => [grant.slot, grantChange(grant, index)] as const);
	return changeSlots(state, command.service, changes, 'vacant or under the revocation that the grant names');
}

function revokeChange(index: LogIndex): AssignmentChange {
	return assignment => assignment.phase === AssignmentPhase.granted
		? {...assignment, phase: AssignmentPhase.revoking, revokedAt: index}
		: undefined;
}

/** Starts the revocation of slots that are granted. */
export function revokeAssignments(command: AssignmentsRevoked, state: OwnershipState, index: LogIndex): Result<OwnershipState, Failure> {
	const changes = command.slots.map(slot => [slot, revokeChange(index)] as const);
	return changeSlots(state, command.service, changes, 'granted');
}

function releaseChange(revokedAt: LogIndex): AssignmentChange {
	return assignment => revokedAtOf(assignment) === revokedAt
		? {phase: AssignmentPhase.vacant, slot: assignment.slot}
		: undefined;
}

/** Vacates the slots whose current revocation the command names. */
export function releaseAssignments(command: AssignmentsReleased, state: OwnershipState, _index: LogIndex): Result<OwnershipState, Failure> {
	const changes = command.releases.map(({slot, revokedAt}) => [slot, releaseChange(revokedAt)] as const);
	return changeSlots(state, command.service, changes, 'under the revocation that the release names');
}
