/**
 * When a service is planned again. A plan looks at every slot, so it follows
 * changes of what it is made from, and not the leader's ticks: at once when the
 * contract, the assignments, the upstreams or the zones in reach changed, or
 * when the last plan had something to propose; and at a pace for loads, budgets,
 * cooldowns and warm-ups, which change with time.
 */
import {type ServiceMembership} from '@dogwooddeck/membership/registry';
import {type ServiceAssignments} from '@dogwooddeck/model/assignment';
import {type ServiceContract} from '@dogwooddeck/model/contract';
import {type Milliseconds, type MonotonicTime, type ZoneName} from '@dogwooddeck/model/identifiers';
import {type LoadState} from '@dogwooddeck/placement/load';
import {type PlacementPlan} from '@dogwooddeck/placement/proposal';

/** The pause between two plans of a service of which nothing but loads and the time changed. The bench replays the same. */
export const planPaceMilliseconds: Milliseconds = 5000;

/** What a plan of one service is made from, but for loads and the time. */
export type PlanBasis = {
	readonly contract: ServiceContract;
	readonly assignments: ServiceAssignments | undefined;
	readonly membership: ServiceMembership | undefined;
	readonly unreachableZones: readonly ZoneName[];
};

/** The last look at one service. */
export type ServiceLook = {
	readonly basis: PlanBasis;
	/** The service is planned again from then on. */
	readonly dueAt: MonotonicTime;
	/** Time alone changes nothing: while no load is reported, the service isn't planned at `dueAt` either. */
	readonly isAtRest: boolean;
};

function sameBasis(one: PlanBasis, other: PlanBasis): boolean {
	return one.contract === other.contract
		&& one.assignments === other.assignments
		&& one.membership === other.membership
		&& one.unreachableZones.join('\n') === other.unreachableZones.join('\n');
}

/** Loads that were last reported so many time constants ago have decayed to nothing. */
const quietTimeConstants = 20;

function isQuiet(load: LoadState | undefined, now: MonotonicTime): boolean {
	return load === undefined
		|| (load.slots.length === 0 && Object.keys(load.keys).length === 0)
		|| now - load.updatedAt >= quietTimeConstants * load.timeConstantMilliseconds;
}

/** Whether to plan a service now. */
export function isPlanDue(last: ServiceLook | undefined, basis: PlanBasis, load: LoadState | undefined, now: MonotonicTime): boolean {
	if (last === undefined || !sameBasis(last.basis, basis)) {
		return true;
	}

	return now >= last.dueAt && !(last.isAtRest && isQuiet(load, now));
}

/** The look at a service that waits for its first keys to be divided, until `formsAt`. */
export function formingLook(basis: PlanBasis, formsAt: MonotonicTime): ServiceLook {
	return {basis, dueAt: formsAt, isAtRest: false};
}

/** The look that gave a plan. What it proposes may be refused or lost, so that it is planned again at once. */
export function plannedLook(basis: PlanBasis, plan: PlacementPlan, flapping: number, now: MonotonicTime): ServiceLook {
	const isSettled = plan.grants.length + plan.moves.length + plan.pins.length + plan.unpins.length === 0;
	const isAtRest = isSettled && flapping === 0 && !plan.state.isBalancing && Object.keys(plan.state.movedAt).length === 0;
	return {basis, dueAt: isSettled ? now + planPaceMilliseconds : now, isAtRest};
}
