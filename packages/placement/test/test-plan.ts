/** Tests the plans for small, fixed inputs. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type Assignment, AssignmentPhase} from '@dogwooddeck/model/assignment';
import {defaultContract, type ServiceContract, MovePreference} from '@dogwooddeck/model/contract';
import {UpstreamPhase, type UpstreamRecord} from '@dogwooddeck/model/registry';
import {type PlacementInput, type PlacementUpstream} from '@dogwooddeck/placement/input';
import {noRates} from '@dogwooddeck/placement/load';
import {createPlacement, planPlacement} from '@dogwooddeck/placement/plan';
import {MoveReason} from '@dogwooddeck/placement/proposal';

const service = 'bermrand/schedule';

const contract: ServiceContract = {
	...defaultContract, name: service, prefix: '/schedule', key: {place: 'path', segment: 0}, slots: 8, weigh: MovePreference.availability,
};

function upstream(name: string, changes: Partial<UpstreamRecord> = {}): PlacementUpstream {
	return {
		record: {
			service, name, incarnation: 1, region: 'noord', zone: 'noord-1', address: '127.0.0.1:1', phase: UpstreamPhase.serving, ...changes,
		},
	};
}

function vacant(count: number): readonly Assignment[] {
	return Array.from({length: count}, (_, slot) => ({phase: AssignmentPhase.vacant, slot}));
}

function granted(owners: readonly string[], incarnation = 1): readonly Assignment[] {
	return owners.map((name, slot) => ({
		phase: AssignmentPhase.granted, slot, owner: {service, name, incarnation}, fence: slot + 1,
	}));
}

function input(assignments: readonly Assignment[], upstreams: readonly PlacementUpstream[], changes: Partial<PlacementInput> = {}): PlacementInput {
	return {
		now: 60_000,
		contract,
		assignments: {service, assignments, pinned: []},
		upstreams,
		loads: noRates,
		hotKeys: [],
		flapping: 0,
		unreachableZones: [],
		state: {...createPlacement(0), tokens: 12},
		...changes,
	};
}

const split = ['a', 'a', 'a', 'a', 'b', 'b', 'b', 'b'];
const hotOnA = {
	...noRates, slots: {
		0: 60, 1: 20, 2: 10, 3: 10, 4: 5, 5: 5, 6: 5, 7: 5,
	},
};

const busyA = {...noRates, slots: Object.fromEntries([60, 40, 30, 10, 2, 2, 2, 2].entries())};

const evenLoads = {...noRates, slots: Object.fromEntries([10, 10, 10, 10, 10, 10, 10, 10].entries())};

type PlanCase = {
	readonly name: string;
	readonly given: PlacementInput;
	readonly grants?: readonly string[];
	readonly moves?: ReadonlyArray<readonly [slot: number, to: string | undefined, reason: MoveReason]>;
	readonly pins?: readonly string[];
	readonly unpins?: readonly string[];
};

const cases: readonly PlanCase[] = [
	{name: 'vacant slots stay vacant without an upstream', given: input(vacant(8), [])},
	{name: 'vacant slots are spread over upstreams', given: input(vacant(4), [upstream('a'), upstream('b')]), grants: ['0:a', '1:b', '2:a', '3:b']},
	{
		name: 'no slot is granted to a lost or leaving upstream',
		given: input(vacant(2), [upstream('a', {phase: UpstreamPhase.lost}), upstream('b', {phase: UpstreamPhase.leaving}), upstream('c')]),
		grants: ['0:c', '1:c'],
	},
	{name: 'no slot is granted in an unreachable zone', given: input(vacant(1), [upstream('a'), upstream('b', {zone: 'noord-2'})], {unreachableZones: ['noord-1']}), grants: ['0:b']},
	{name: 'a balanced assignment stays', given: input(granted(split), [upstream('a'), upstream('b')])},
	{
		name: 'the slots of a lost owner are moved at once',
		given: input(granted(['a', 'b']), [upstream('a', {phase: UpstreamPhase.lost}), upstream('b')]),
		moves: [[0, 'b', MoveReason.lost]],
	},
	{
		name: 'an owner of an older incarnation is lost',
		given: input(granted(['a', 'b']), [upstream('a', {incarnation: 2}), upstream('b')]),
		moves: [[0, 'a', MoveReason.lost]],
	},
	{
		name: 'the slots of a leaving owner are revoked even without another upstream',
		given: input(granted(['a']), [upstream('a', {phase: UpstreamPhase.leaving})]),
		moves: [[0, undefined, MoveReason.leaving]],
	},
	{
		name: 'an owner in an unreachable zone keeps its slots',
		given: input(granted(['a', 'b']), [upstream('a'), upstream('b', {zone: 'noord-2'})], {unreachableZones: ['noord-1']}),
	},
	{
		name: 'load is moved off the busiest upstream',
		given: input(granted(split), [upstream('a'), upstream('b')], {loads: busyA}),
		moves: [[0, 'b', MoveReason.balance]],
	},
	{
		name: 'no more than four slots are moved at once',
		given: input(granted(Array.from({length: 8}, () => 'a')), ['a', 'b', 'c', 'd'].map(name => upstream(name)), {loads: evenLoads}),
		moves: [[0, 'b', MoveReason.balance], [1, 'c', MoveReason.balance], [2, 'd', MoveReason.balance], [3, 'b', MoveReason.balance]],
	},
	{
		name: 'a pinned key that is no longer hot is moved off a lost owner once, to the owner of its home slot',
		given: input([], [upstream('a', {phase: UpstreamPhase.lost}), upstream('b'), upstream('c')], {
			assignments: {service, assignments: granted(['b', 'c', 'b', 'c', 'b', 'c', 'b', 'c', 'a']), pinned: [{key: 'verge-1', home: 1, slot: 8}]},
			loads: evenLoads,
		}),
		moves: [[8, 'c', MoveReason.lost]],
	},
	{name: 'no optional moves without budget', given: input(granted(split), [upstream('a'), upstream('b')], {loads: busyA, state: createPlacement(60_000)})},
	{name: 'no optional moves while many upstreams flap', given: input(granted(split), [upstream('a'), upstream('b')], {loads: busyA, flapping: 1})},
	{
		name: 'a hot key is split out of its slot',
		given: input(granted(split), [upstream('a'), upstream('b')], {loads: hotOnA, hotKeys: [{key: 'verge-1', home: 0, rate: 50}], state: createPlacement(60_000)}),
		pins: ['verge-1'],
	},
	{
		name: 'a pinned key that is no longer hot returns to its slot',
		given: input([], [upstream('a'), upstream('b')], {
			assignments: {service, assignments: granted([...split, 'a']), pinned: [{key: 'verge-1', home: 0, slot: 8}]},
			loads: {...noRates, slots: {0: 10, 4: 10}},
		}),
		unpins: ['verge-1'],
	},
];

for (const {name, given, grants = [], moves = [], pins = [], unpins = []} of cases) {
	test(`planPlacement: ${name}`, () => {
		const plan = planPlacement(given);
		assert.deepEqual(plan.grants.map(({slot, owner}) => `${slot}:${owner.name}`).sort(), grants);
		assert.deepEqual(plan.moves.map(({slot, to, reason}) => [slot, to?.name, reason]), moves);
		assert.deepEqual(plan.pins.map(({key}) => key), pins);
		assert.deepEqual(plan.unpins.map(({key}) => key), unpins);
	});
}
