/**
 * Command handlers that split a key out of its slot (pin) and merge it back
 * (unpin).
 *
 * An in-flight request for the key is counted under the slot that it was started
 * for. Pinning and unpinning therefore assign a new fencing token to both
 * assignments: requests in flight under the old token then delay the evidence
 * for a later revocation of either. The token of one key only increases.
 */
import {
	type Assignment, AssignmentPhase, type PinnedKey, type ServiceAssignments,
} from '@dogwooddeck/model/assignment';
import {type Failure, failure, FailureKind} from '@dogwooddeck/model/failure';
import {type LogIndex, sameUpstream, type Slot} from '@dogwooddeck/model/identifiers';
import {err, ok, type Result} from 'true-myth/result';
import {type KeyPinned, type KeyUnpinned} from './command.js';
import {unknownService, withService} from './services.js';
import {type OwnershipState} from './state.js';

function conflict(detail: string): Result<OwnershipState, Failure> {
	return err(failure(FailureKind.conflict, detail));
}

function withNewFence(assignment: Assignment, slot: Slot, index: LogIndex): Assignment {
	return assignment.phase === AssignmentPhase.granted
		? {...assignment, slot, fence: index}
		: {phase: AssignmentPhase.vacant, slot};
}

function firstFreeSlot(service: ServiceAssignments, slots: number): Slot {
	const used = new Set(service.pinned.map(pinned => pinned.slot));
	let slot = slots;
	while (used.has(slot)) {
		slot += 1;
	}

	return slot;
}

function withAssignments(service: ServiceAssignments, changed: readonly Assignment[], pinned: readonly PinnedKey[]): ServiceAssignments {
	const assignments = [...service.assignments];
	for (const assignment of changed) {
		assignments[assignment.slot] = assignment;
	}

	return {...service, assignments, pinned};
}

/** Creates an assignment for a single key, with the same owner as its slot. */
export function pinKey(command: KeyPinned, state: OwnershipState, index: LogIndex): Result<OwnershipState, Failure> {
	const service = state.services[command.service];
	const policy = state.policies[command.service];
	if (service === undefined || policy === undefined) {
		return err(unknownService(command.service));
	}

	const home = command.home < policy.slots ? service.assignments[command.home] : undefined;
	if (home === undefined || home.phase === AssignmentPhase.revoking) {
		return conflict(`slot ${command.home} can't be split: it is unknown, holds a pinned key or is being revoked`);
	}

	if (service.pinned.some(pinned => pinned.key === command.key)) {
		return conflict('the key is already pinned');
	}

	const slot = firstFreeSlot(service, policy.slots);
	const pinned = [...service.pinned, {key: command.key, home: command.home, slot}];
	const changed = [withNewFence(home, command.home, index), withNewFence(home, slot, index)];
	return ok(withService(state, withAssignments(service, changed, pinned)));
}

function canMerge(one: Assignment, other: Assignment): boolean {
	if (one.phase === AssignmentPhase.granted && other.phase === AssignmentPhase.granted) {
		return sameUpstream(one.owner, other.owner);
	}

	return one.phase === AssignmentPhase.vacant && other.phase === AssignmentPhase.vacant;
}

/** Merges a key back into its slot. Both must have the same owner, or none. */
export function unpinKey(command: KeyUnpinned, state: OwnershipState, index: LogIndex): Result<OwnershipState, Failure> {
	const service = state.services[command.service];
	const pinnedKey = service?.pinned.find(pinned => pinned.key === command.key);
	if (service === undefined || pinnedKey === undefined) {
		return err(failure(FailureKind.notFound, 'the key is not pinned'));
	}

	const home = service.assignments[pinnedKey.home];
	const own = service.assignments[pinnedKey.slot];
	if (home === undefined || own === undefined || !canMerge(home, own)) {
		return conflict('the key and its slot have different owners');
	}

	const changed: readonly Assignment[] = [withNewFence(home, pinnedKey.home, index), {phase: AssignmentPhase.vacant, slot: pinnedKey.slot}];
	const pinned = service.pinned.filter(other => other !== pinnedKey);
	return ok(withService(state, withAssignments(service, changed, pinned)));
}
