/**
 * The grants in the answer to an announcement. Every upstream announces itself several
 * times a second, so the slots of a service are scanned once for each change of its
 * assignments and not for each announcement.
 */
import {type ControlState} from '@dogwooddeck/control/state';
import {AssignmentPhase, type ServiceAssignments} from '@dogwooddeck/model/assignment';
import {memoize} from '@dogwooddeck/model/memoize';
import {
	type FenceNumber, incarnationKey, type Slot, type UpstreamIdentity,
} from '@dogwooddeck/model/identifiers';

/** The right to serve one slot. An upstream that checks fencing tokens rejects requests with a smaller number. */
export type SlotGrant = {readonly slot: Slot; readonly fence: FenceNumber};

const grantsByOwner = memoize(({assignments}: ServiceAssignments): ReadonlyMap<string, readonly SlotGrant[]> => {
	const grants = new Map<string, SlotGrant[]>();
	for (const assignment of assignments) {
		if (assignment.phase === AssignmentPhase.granted) {
			const key = incarnationKey(assignment.owner);
			const owned = grants.get(key) ?? [];
			grants.set(key, owned);
			owned.push({slot: assignment.slot, fence: assignment.fence});
		}
	}

	return grants;
});

/** The grants of the slots that an upstream owns, in slot order. */
export function grantsOf({ownership}: ControlState, upstream: UpstreamIdentity): readonly SlotGrant[] {
	const assignments = ownership.services[upstream.service];
	return assignments === undefined ? [] : grantsByOwner(assignments).get(incarnationKey(upstream)) ?? [];
}
