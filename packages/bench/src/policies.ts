/**
 * The policies that are compared, by name.
 */
import {type MovePreference} from '@dogwooddeck/model/contract';
import {identityOf, UpstreamPhase} from '@dogwooddeck/model/registry';
import {type SlotHash} from '@dogwooddeck/placement/hash';
import {type PlacementInput} from '@dogwooddeck/placement/input';
import {planPlacement} from '@dogwooddeck/placement/plan';
import {type PlacementPolicy} from '@dogwooddeck/placement/policy';
import {type PlacementPlan} from '@dogwooddeck/placement/proposal';
import {
	createBounded, createRendezvous, type Layout, type Layouter, layoutModulo, loadBound, planLayout,
} from './baseline.js';
import {earlierPolicies} from './earlier.js';

/** Plans for one service, from one call to the next. */
export type Planner = (input: PlacementInput) => PlacementPlan;

/** Makes a planner for one service of one trace. */
export type PlannerMaker = () => Planner;

/** A layout that was computed with other loads is computed anew after this long, when it breaks the bound. */
const recalculateMilliseconds = 60_000;

function ownersIn(input: PlacementInput) {
	return input.upstreams.map(({record}) => record)
		.filter(({phase}) => phase === UpstreamPhase.serving)
		.toSorted((one, other) => (one.name < other.name ? -1 : 1))
		.map(record => identityOf(record));
}

function layoutPlanner(layouter: Layouter): Planner {
	return input => {
		const owners = ownersIn(input);
		return planLayout(input, owners.length === 0 ? [] : layouter(input, owners));
	};
}

function isOutOfBounds(input: PlacementInput, layout: Layout, owners: number): boolean {
	const loads = new Map<string, number>();
	for (const [slot, {name}] of layout.entries()) {
		loads.set(name, (loads.get(name) ?? 0) + (input.loads.slots[slot] ?? 0));
	}

	const total = [...loads.values()].reduce((sum, load) => sum + load, 0);
	return Math.max(...loads.values()) > loadBound * total / owners;
}

/** Keeps a layout until the upstreams change, or until it breaks its bound. */
function boundedPlanner(layouter: Layouter): Planner {
	let [owners, layout, computedAt] = ['', [] as Layout, 0];
	return input => {
		const present = ownersIn(input);
		const names = JSON.stringify(present);
		const isOld = input.now - computedAt >= recalculateMilliseconds && isOutOfBounds(input, layout, present.length);
		if (names !== owners || isOld) {
			[owners, layout, computedAt] = [names, present.length === 0 ? [] : layouter(input, present), input.now];
		}

		return planLayout(input, layout);
	};
}

function ours(policies?: Readonly<Record<MovePreference, PlacementPolicy>>): Planner {
	return input => planPlacement(policies === undefined ? input : {...input, policy: policies[input.contract.weigh]});
}

/** All policies, ours first. */
export function createPolicies(hash: SlotHash): Readonly<Record<string, PlannerMaker>> & {readonly ours: PlannerMaker} {
	const earlier = Object.entries(earlierPolicies).map(([name, policies]): [string, PlannerMaker] => [name, () => ours(policies)]);
	return {
		ours: () => ours(),
		modulo: () => layoutPlanner(layoutModulo),
		rendezvous: () => layoutPlanner(createRendezvous(hash)),
		bounded: () => boundedPlanner(createBounded(hash)),
		...Object.fromEntries(earlier),
	};
}
