import assert from 'node:assert/strict';
import {test} from 'node:test';
import {defaultContract, type ServiceContract} from '@dogwooddeck/model/contract';
import {createLoad, type LoadState} from '@dogwooddeck/placement/load';
import {createPlacement} from '@dogwooddeck/placement/plan';
import {type PlacementPlan} from '@dogwooddeck/placement/proposal';
import {
	formingInputs, isPlanDue, type PlanBasis, plannedInputs, planIntervalMilliseconds,
} from '@dogwooddeck/control/plan-due';

const contract: ServiceContract = {
	...defaultContract, name: 'team/service', prefix: '/service', key: {place: 'path', segment: 0},
};
const basis: PlanBasis = {
	contract,
	assignments: {service: contract.name, assignments: [], pinned: []},
	membership: {upstreams: {}, tombstones: {}},
	unreachableZones: ['noord-a'],
};
const owner = {service: contract.name, name: 'one', incarnation: 1};
const nothing: PlacementPlan = {
	grants: [], moves: [], pins: [], unpins: [], state: createPlacement(0),
};
const noLoad = createLoad(contract.name, 15_000, 0);
const someLoad: LoadState = {...noLoad, slots: [0, 0.5]};
const plannedAt = 1000;
const soon = plannedAt + 50;
const nextPlanAt = plannedAt + planIntervalMilliseconds;
const decayed = 20 * noLoad.timeConstantMilliseconds;

function isDue(now: number, plan: Partial<PlacementPlan> = {}, flapping = 0, load: LoadState | undefined = undefined, changed: Partial<PlanBasis> = {}): boolean {
	return isPlanDue(plannedInputs(basis, {...nothing, ...plan}, flapping, plannedAt), {...basis, ...changed}, load, now);
}

const changeCases: ReadonlyArray<{readonly name: string; readonly changed: Partial<PlanBasis>; readonly expected: boolean}> = [
	{name: 'nothing', changed: {}, expected: false},
	{name: 'the contract', changed: {contract: {...contract}}, expected: true},
	{name: 'the assignments', changed: {assignments: {...basis.assignments!}}, expected: true},
	{name: 'the upstreams', changed: {membership: {...basis.membership!}}, expected: true},
	{name: 'the unreachable zones', changed: {unreachableZones: ['noord-a', 'noord-b']}, expected: true},
	{name: 'an equal list of unreachable zones', changed: {unreachableZones: ['noord-a']}, expected: false},
];

for (const {name, changed, expected} of changeCases) {
	test(`plan due at once after a change: ${name}`, () => {
		assert.equal(isDue(soon, {}, 0, undefined, changed), expected);
	});
}

const timeCases: ReadonlyArray<{readonly name: string; readonly plan?: Partial<PlacementPlan>; readonly flapping?: number; readonly dueAt: number}> = [
	{name: 'nothing was proposed, and no load is reported', dueAt: Infinity},
	{name: 'a grant was proposed', plan: {grants: [{slot: 0, owner}]}, dueAt: plannedAt},
	{name: 'a move was proposed', plan: {moves: [{slot: 0, from: owner, reason: 'lost'}]}, dueAt: plannedAt},
	{name: 'a pin was proposed', plan: {pins: [{key: 'key', home: 0}]}, dueAt: plannedAt},
	{name: 'an unpin was proposed', plan: {unpins: [{key: 'key', slot: 0}]}, dueAt: plannedAt},
	{name: 'balancing waits for its move budget', plan: {state: {...nothing.state, isBalancing: true}}, dueAt: nextPlanAt},
	{name: 'a moved slot is in its cooldown', plan: {state: {...nothing.state, movedAt: {0: 500}}}, dueAt: nextPlanAt},
	{name: 'upstreams flap', flapping: 1, dueAt: nextPlanAt},
];

for (const {name, plan, flapping, dueAt} of timeCases) {
	test(`plan due after a time: ${name}`, () => {
		for (const now of [plannedAt, soon, nextPlanAt - 1, nextPlanAt, 3_600_000]) {
			assert.equal(isDue(now, plan, flapping), now >= dueAt, `at ${now}`);
		}
	});
}

const loadCases: ReadonlyArray<{readonly name: string; readonly load: LoadState; readonly dueAt: readonly number[]}> = [
	{name: 'no load was ever reported', load: noLoad, dueAt: []},
	{name: 'load of slots', load: someLoad, dueAt: [nextPlanAt, decayed - 1]},
	{name: 'load of a hot key', load: {...noLoad, keys: {key: 0.5}}, dueAt: [nextPlanAt, decayed - 1]},
	{name: 'load reported long ago', load: {...someLoad, updatedAt: -decayed}, dueAt: []},
];

for (const {name, load, dueAt} of loadCases) {
	test(`plan due for loads: ${name}`, () => {
		assert.deepEqual([soon, nextPlanAt - 1, nextPlanAt, decayed - 1, decayed].filter(now => isDue(now, {}, 0, load)), dueAt);
	});
}

test('plan due: a forming service at the end of its wait, and a service that was never planned', () => {
	assert.deepEqual([1999, 2000].map(now => isPlanDue(formingInputs(basis, 2000), basis, undefined, now)), [false, true]);
	assert.equal(isPlanDue(undefined, basis, undefined, 0), true);
});
