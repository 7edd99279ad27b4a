/**
 * Plans the moves and grants that no budget bounds: slots without an owner are
 * granted to one, and owners that are lost, leaving or no longer allowed lose theirs.
 */
import {type Assignment, AssignmentPhase} from '@dogwooddeck/model/assignment';
import {type UpstreamIdentity} from '@dogwooddeck/model/identifiers';
import {identityOf, UpstreamPhase, type UpstreamRecord} from '@dogwooddeck/model/registry';
import {
	type WorkingPlan, liveAssignments, mayOwn, assignSlot, rateOf, ownerFor,
} from './working-plan.js';
import {type PlacementInput} from './input.js';
import {MoveReason, type PlannedGrant, type PlannedMove} from './proposal.js';

const reasonByPhase: Readonly<Record<UpstreamPhase, MoveReason>> = {
	[UpstreamPhase.lost]: MoveReason.lost,
	[UpstreamPhase.leaving]: MoveReason.leaving,
	// A serving owner loses its slots only if its zone may no longer own keys.
	[UpstreamPhase.serving]: MoveReason.zone,
};

function ownerKey(identity: UpstreamIdentity): string {
	return `${identity.name}\n${identity.incarnation}`;
}

function byLoad(input: PlacementInput): (one: Assignment, other: Assignment) => number {
	return (one, other) => (rateOf(input, other.slot) - rateOf(input, one.slot)) || (one.slot - other.slot);
}

function forcedMoveReason(input: PlacementInput, record: UpstreamRecord | undefined): MoveReason | undefined {
	if (record === undefined) {
		return MoveReason.lost;
	}

	return mayOwn(input, record) ? undefined : reasonByPhase[record.phase];
}

/** Plans moves of all slots whose owner is lost, leaving, or in a zone that may not own keys. They are not limited by the budget. */
export function planForcedMoves(input: PlacementInput, plan: WorkingPlan): readonly PlannedMove[] {
	const records = new Map(input.upstreams.map(({record}) => [ownerKey(identityOf(record)), record]));
	const moves: PlannedMove[] = [];
	for (const assignment of liveAssignments(input).toSorted(byLoad(input))) {
		if (assignment.phase !== AssignmentPhase.granted) {
			continue;
		}

		const reason = forcedMoveReason(input, records.get(ownerKey(assignment.owner)));
		if (reason !== undefined) {
			const target = ownerFor(plan, assignment.slot);
			moves.push({
				slot: assignment.slot, from: assignment.owner, reason, ...(target && {to: target.identity}),
			});
			assignToOwner(plan, assignment);
		}
	}

	return moves;
}

function assignToOwner(plan: WorkingPlan, assignment: Assignment): UpstreamIdentity | undefined {
	const target = ownerFor(plan, assignment.slot);
	if (target !== undefined) {
		assignSlot(plan, target, assignment.slot);
	}

	plan.unownedSlots++;
	return target?.identity;
}

/**
 * Plans grants of all vacant slots. Slots that are being revoked are also assigned
 * in the working plan, so that later steps count them at their next owner.
 */
export function grantVacant(input: PlacementInput, plan: WorkingPlan): readonly PlannedGrant[] {
	const grants: PlannedGrant[] = [];
	const unowned = liveAssignments(input).filter(({phase}) => phase !== AssignmentPhase.granted);
	for (const assignment of unowned.toSorted(byLoad(input))) {
		const owner = assignToOwner(plan, assignment);
		if (assignment.phase === AssignmentPhase.vacant && owner !== undefined) {
			grants.push({slot: assignment.slot, owner});
		}
	}

	return grants;
}
