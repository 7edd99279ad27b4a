import assert from 'node:assert/strict';
import {test} from 'node:test';
import {defaultContract, type ServiceContract} from '@dogwooddeck/model/contract';
import {createLoad, type LoadState} from '@dogwooddeck/placement/load';
import {createPlacement} from '@dogwooddeck/placement/plan';
import {type PlacementPlan} from '@dogwooddeck/placement/proposal';
import {
	formingLook, isPlanDue, type PlanBasis, plannedLook, planPaceMilliseconds,
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
const hotKey: LoadState = {...noLoad, keys: {key: 0.5}};

const plannedAt = 1000;
const pace = plannedAt + planPaceMilliseconds;
const long = plannedAt + 3_600_000;

type Case = {
	readonly name: string;
	readonly plan?: Partial<PlacementPlan>;
	readonly flapping?: number;
	/** What changed since the plan. */
	readonly changed?: Partial<PlanBasis>;
	readonly load?: LoadState;
	readonly now: number;
	readonly expected: boolean;
};

const cases: readonly Case[] = [
	{name: 'nothing changed, and no time passed', now: plannedAt + 50, expected: false},
	{name: 'nothing changed for an hour, and nothing is reported', now: long, expected: false},
	{
		name: 'nothing changed, and no load was ever reported', load: noLoad, now: long, expected: false,
	},
	{
		name: 'nothing changed, and the last load was reported long ago', load: someLoad, now: long, expected: false,
	},
	{
		name: 'loads that are still smoothed', load: someLoad, now: (20 * someLoad.timeConstantMilliseconds) - 1, expected: true,
	},
	{
		name: 'loads, before the pace', load: someLoad, now: pace - 1, expected: false,
	},
	{
		name: 'loads, at the pace', load: someLoad, now: pace, expected: true,
	},
	{
		name: 'a hot key, at the pace', load: hotKey, now: pace, expected: true,
	},
	{
		name: 'another contract', changed: {contract: {...contract}}, now: plannedAt + 50, expected: true,
	},
	{
		name: 'other assignments', changed: {assignments: {...basis.assignments!}}, now: plannedAt + 50, expected: true,
	},
	{
		name: 'other upstreams', changed: {membership: {...basis.membership!}}, now: plannedAt + 50, expected: true,
	},
	{
		name: 'a zone goes out of reach', changed: {unreachableZones: ['noord-a', 'noord-b']}, now: plannedAt + 50, expected: true,
	},
	{
		name: 'the zones out of reach in a new list', changed: {unreachableZones: ['noord-a']}, now: plannedAt + 50, expected: false,
	},
	{
		name: 'a grant was proposed', plan: {grants: [{slot: 0, owner}]}, now: plannedAt, expected: true,
	},
	{
		name: 'a move was proposed', plan: {moves: [{slot: 0, from: owner, reason: 'lost'}]}, now: plannedAt, expected: true,
	},
	{
		name: 'a pin was proposed', plan: {pins: [{key: 'key', home: 0}]}, now: plannedAt, expected: true,
	},
	{
		name: 'a way back was proposed', plan: {unpins: [{key: 'key', slot: 0}]}, now: plannedAt, expected: true,
	},
	{
		name: 'balancing waits for its budget', plan: {state: {...nothing.state, isBalancing: true}}, now: pace, expected: true,
	},
	{
		name: 'a moved slot cools down', plan: {state: {...nothing.state, movedAt: {0: 500}}}, now: pace, expected: true,
	},
	{
		name: 'upstreams flap', flapping: 1, now: pace, expected: true,
	},
	{
		name: 'upstreams flap, before the pace', flapping: 1, now: pace - 1, expected: false,
	},
];

for (const {name, plan, flapping = 0, changed, load, now, expected} of cases) {
	test(`plan due: ${name}`, () => {
		const look = plannedLook(basis, {...nothing, ...plan}, flapping, plannedAt);
		assert.equal(isPlanDue(look, {...basis, ...changed}, load, now), expected);
	});
}

const formingCases = [
	{name: 'before its time', now: 1999, expected: false},
	{name: 'at its time', now: 2000, expected: true},
];

for (const {name, now, expected} of formingCases) {
	test(`plan due: a service that forms, ${name}`, () => {
		assert.equal(isPlanDue(formingLook(basis, 2000), basis, undefined, now), expected);
	});
}

test('plan due: a service that was never looked at', () => {
	assert.equal(isPlanDue(undefined, basis, undefined, 0), true);
});
