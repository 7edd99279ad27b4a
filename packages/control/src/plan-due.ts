/**
 * Decides when the placement of a service is planned again. Planning visits every
 * slot, so it isn't repeated at each of the leader's ticks. It is due at once when
 * the contract, the assignments, the upstreams or the reachable zones changed, or
 * when the last plan proposed anything; and at a fixed interval for loads,
 * budgets, cooldowns and warm-ups, which change with time.
 */
import {type ServiceMembership} from '@dogwooddeck/membership/registry';
import {type ServiceAssignments} from '@dogwooddeck/model/assignment';
import {type ServiceContract} from '@dogwooddeck/model/contract';
import {type Milliseconds, type MonotonicTime, type ZoneName} from '@dogwooddeck/model/identifiers';
import {type LoadState} from '@dogwooddeck/placement/load';
import {type PlacementPlan} from '@dogwooddeck/placement/proposal';

/** The interval between plans of a service when only loads and time changed. The benchmark replays with the same interval. */
export const planIntervalMilliseconds: Milliseconds = 5000;

/** The inputs of a service's plan other than loads and time. */
export type PlanBasis = {
	readonly contract: ServiceContract;
	readonly assignments: ServiceAssignments | undefined;
	readonly membership: ServiceMembership | undefined;
	readonly unreachableZones: readonly ZoneName[];
};

/** The inputs of a service's last planning, and when the next is due. */
export type PlanningInputs = {
	readonly basis: PlanBasis;
	/** When the service is planned again with unchanged inputs. */
	readonly dueAt: MonotonicTime;
	/** Whether time alone changes nothing: without reported load, the service isn't planned at `dueAt` either. */
	readonly isAtRest: boolean;
};

function sameBasis(one: PlanBasis, other: PlanBasis): boolean {
	return one.contract === other.contract
		&& one.assignments === other.assignments
		&& one.membership === other.membership
		&& one.unreachableZones.join('\n') === other.unreachableZones.join('\n');
}

/** Loads last reported this many time constants ago have decayed to a negligible amount. */
const idleTimeConstants = 20;

function isIdle(load: LoadState | undefined, now: MonotonicTime): boolean {
	return load === undefined
		|| (load.slots.length === 0 && Object.keys(load.keys).length === 0)
		|| now - load.updatedAt >= idleTimeConstants * load.timeConstantMilliseconds;
}

/** Whether planning a service is due. */
export function isPlanDue(last: PlanningInputs | undefined, basis: PlanBasis, load: LoadState | undefined, now: MonotonicTime): boolean {
	if (last === undefined || !sameBasis(last.basis, basis)) {
		return true;
	}

	return now >= last.dueAt && !(last.isAtRest && isIdle(load, now));
}

/** Records that a service waits until `formationEndsAt` for its keys to be assigned for the first time. */
export function formingInputs(basis: PlanBasis, formationEndsAt: MonotonicTime): PlanningInputs {
	return {basis, dueAt: formationEndsAt, isAtRest: false};
}

/** Records the inputs of a plan. A plan that proposes anything is due again at once, as its proposals may be rejected or lost. */
export function plannedInputs(basis: PlanBasis, plan: PlacementPlan, flapping: number, now: MonotonicTime): PlanningInputs {
	const isSettled = plan.grants.length + plan.moves.length + plan.pins.length + plan.unpins.length === 0;
	const isAtRest = isSettled && flapping === 0 && !plan.state.isBalancing && Object.keys(plan.state.movedAt).length === 0;
	return {basis, dueAt: isSettled ? now + planIntervalMilliseconds : now, isAtRest};
}
