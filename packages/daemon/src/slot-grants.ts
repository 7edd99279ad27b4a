/**
 * The grants that an announcement is answered with. Every upstream announces
 * itself several times a second, so the slots of a service are looked through
 * once for each change of its assignments and not for each announcement.
 */
import {type ControlState} from '@dogwooddeck/control/state';
import {AssignmentPhase, type ServiceAssignments} from '@dogwooddeck/model/assignment';
import {memoize} from '@dogwooddeck/model/memoize';
import {
	type FenceNumber, incarnationKey, type Slot, type UpstreamIdentity,
} from '@dogwooddeck/model/identifiers';

/** The right to serve one slot: an upstream that checks fences refuses requests with a smaller number. */
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

/** The slots that an upstream owns, in their order. */
export function grantsOf({ownership}: ControlState, upstream: UpstreamIdentity): readonly SlotGrant[] {
	const assignments = ownership.services[upstream.service];
	return assignments === undefined ? [] : grantsByOwner(assignments).get(incarnationKey(upstream)) ?? [];
}
