/** Checks invariants of plans for random inputs. */
import assert from 'node:assert/strict';
import process from 'node:process';
import {test} from 'node:test';
import {type Assignment, AssignmentPhase} from '@dogwooddeck/model/assignment';
import {defaultContract, MovePreference} from '@dogwooddeck/model/contract';
import {sameUpstream} from '@dogwooddeck/model/identifiers';
import {identityOf, UpstreamPhase, type UpstreamRecord} from '@dogwooddeck/model/registry';
import fc from 'fast-check';
import {type PlacementInput} from '@dogwooddeck/placement/input';
import {noRates} from '@dogwooddeck/placement/load';
import {createPlacement, planPlacement, policyOf} from '@dogwooddeck/placement/plan';
import {MoveReason, type PlacementPlan} from '@dogwooddeck/placement/proposal';

const seed = Number(process.env.SEED ?? 11);
const service = 'valbrembo/catalogue';
const slots = 24;
const zones = ['lombardia-1', 'lombardia-2', 'veneto-1'];
const forcedReasons: ReadonlySet<MoveReason> = new Set([MoveReason.lost, MoveReason.leaving, MoveReason.zone]);

const upstreamArbitrary: fc.Arbitrary<Omit<UpstreamRecord, 'name'>> = fc.record({
	service: fc.constant(service),
	incarnation: fc.integer({min: 1, max: 2}),
	region: fc.constantFrom('lombardia', 'veneto'),
	zone: fc.constantFrom(...zones),
	address: fc.constant('127.0.0.1:1'),
	phase: fc.constantFrom(...Object.values(UpstreamPhase), UpstreamPhase.serving, UpstreamPhase.serving),
});

type Ownership = {readonly phase: AssignmentPhase; readonly owner: number; readonly incarnation: number};

const ownershipArbitrary: fc.Arbitrary<Ownership> = fc.record({
	phase: fc.constantFrom(AssignmentPhase.vacant, AssignmentPhase.revoking, AssignmentPhase.granted, AssignmentPhase.granted, AssignmentPhase.granted),
	owner: fc.integer({min: 0, max: 7}),
	incarnation: fc.integer({min: 1, max: 2}),
});

function toAssignment({phase, owner, incarnation}: Ownership, slot: number): Assignment {
	return phase === AssignmentPhase.vacant
		? {phase, slot}
		: {
			phase, slot, owner: {service, name: `u${owner}`, incarnation}, fence: 1, revokedAt: 1,
		};
}

const inputArbitrary: fc.Arbitrary<PlacementInput> = fc.record({
	upstreams: fc.array(upstreamArbitrary, {maxLength: 8}),
	weigh: fc.constantFrom(...Object.values(MovePreference)),
	owned: fc.array(ownershipArbitrary, {minLength: slots, maxLength: slots}),
	pinned: fc.array(ownershipArbitrary, {maxLength: 3}),
	rates: fc.array(fc.integer({min: 0, max: 200}), {minLength: slots + 3, maxLength: slots + 3}),
	tokens: fc.integer({min: 0, max: 12}),
	flapping: fc.integer({min: 0, max: 3}),
	unreachableZones: fc.subarray(zones, {maxLength: 1}),
	ownZones: fc.subarray(zones),
}).map(given => ({
	now: 100_000,
	contract: {
		...defaultContract, name: service, prefix: '/', key: {place: 'path', segment: 0}, slots, weigh: given.weigh, upstream: {...defaultContract.upstream, zones: given.ownZones},
	},
	assignments: {
		service,
		assignments: [...given.owned, ...given.pinned].map((ownership, slot) => toAssignment(ownership, slot)),
		pinned: given.pinned.map((_, number) => ({key: `key ${number}`, home: number, slot: slots + number})),
	},
	upstreams: given.upstreams.map((record, number) => ({record: {...record, name: `u${number}`}})),
	loads: {...noRates, slots: Object.fromEntries(given.rates.entries())},
	hotKeys: [{key: 'key 9', home: 9, rate: given.rates[9]! / 2}],
	flapping: given.flapping,
	unreachableZones: given.unreachableZones,
	state: {...createPlacement(100_000), tokens: given.tokens},
}));

/** Inputs in which no upstream is lost or leaves, so that optional moves are planned. */
const normalInputArbitrary: fc.Arbitrary<PlacementInput> = fc.record({
	input: inputArbitrary,
	owners: fc.array(fc.integer({min: 0, max: 3}), {minLength: slots + 2, maxLength: slots + 2}),
	rates: fc.array(fc.oneof(fc.integer({min: 1, max: 20}), fc.integer({min: 50, max: 300})), {minLength: slots + 2, maxLength: slots + 2}),
	regions: fc.array(fc.constantFrom('lombardia', 'veneto'), {minLength: 2, maxLength: 4}),
}).map(({input, owners, rates, regions}) => ({
	...input,
	contract: {...input.contract, upstream: defaultContract.upstream},
	assignments: {
		service,
		assignments: owners.map((owner, slot) => toAssignment({phase: AssignmentPhase.granted, owner: owner % regions.length, incarnation: 1}, slot)),
		pinned: [0, 1].map(number => ({key: `key ${number}`, home: number, slot: slots + number})),
	},
	upstreams: regions.map((region, number) => ({
		record: {
			service, name: `u${number}`, incarnation: 1, region, zone: zones[0]!, address: '127.0.0.1:1', phase: UpstreamPhase.serving,
		},
	})),
	loads: {...noRates, slots: Object.fromEntries(rates.entries()), origins: {lombardia: rates, veneto: rates.toReversed()}},
	flapping: 0,
	unreachableZones: [],
}));

/** Like `normalInputArbitrary`, but the first of the upstreams is lost. */
const lossInputArbitrary: fc.Arbitrary<PlacementInput> = normalInputArbitrary.map(input => ({...input, upstreams: input.upstreams.slice(1)}));

function mayBeGranted(input: PlacementInput, owner: {readonly service: string; readonly name: string; readonly incarnation: number}): boolean {
	const record = input.upstreams.map(upstream => upstream.record).find(candidate => sameUpstream(identityOf(candidate), owner));
	const {zones: allowed} = input.contract.upstream;
	return record?.phase === UpstreamPhase.serving
		&& !input.unreachableZones.includes(record.zone)
		&& (allowed.length === 0 || allowed.includes(record.zone));
}

function slotsIn(input: PlacementInput, phase: AssignmentPhase): readonly number[] {
	return input.assignments.assignments.filter(assignment => assignment.phase === phase).map(({slot}) => slot);
}

function grantAll(input: PlacementInput, plan: PlacementPlan): PlacementInput {
	const granted = new Map(plan.grants.map(({slot, owner}) => [slot, owner]));
	const assignments = input.assignments.assignments.map((assignment): Assignment => {
		const owner = granted.get(assignment.slot);
		return owner === undefined
			? assignment
			: {
				phase: AssignmentPhase.granted, slot: assignment.slot, owner, fence: 2,
			};
	});
	return {...input, assignments: {...input.assignments, assignments}};
}

/** The greatest score after the moves: load and slots weighted by the policy, as a multiple of the mean. */
function greatestScore(input: PlacementInput, moves: PlacementPlan['moves']): number {
	const to = new Map(moves.map(move => [move.slot, move.to]));
	const {loadWeight} = policyOf(input);
	const owners = input.upstreams.filter(({record}) => mayBeGranted(input, record));
	const total = Math.max(1, Object.values(input.loads.slots).reduce((sum, rate) => sum + rate, 0));
	const scores = new Map(owners.map(({record}) => [record.name, 0]));
	for (const assignment of input.assignments.assignments) {
		const owner = to.get(assignment.slot) ?? (assignment.phase === AssignmentPhase.granted ? assignment.owner : undefined);
		const load = loadWeight * (input.loads.slots[assignment.slot] ?? 0) / total;
		const count = assignment.slot < slots ? (1 - loadWeight) / slots : 0;
		if (owner !== undefined && scores.has(owner.name)) {
			scores.set(owner.name, scores.get(owner.name)! + ((load + count) * owners.length));
		}
	}

	return Math.max(0, ...scores.values());
}

type Invariant = {readonly name: string; readonly check: (input: PlacementInput, plan: PlacementPlan) => void};

const invariants: readonly Invariant[] = [
	{
		name: 'every vacant slot is granted if an upstream may own it',
		check(input, plan) {
			const isAnyAllowed = input.upstreams.some(({record}) => mayBeGranted(input, record));
			assert.deepEqual(plan.grants.map(({slot}) => slot).sort((one, other) => one - other), isAnyAllowed ? slotsIn(input, AssignmentPhase.vacant) : []);
		},
	},
	{
		name: 'no slot goes to an upstream that is lost, leaving, unreachable or in a zone that may not own keys',
		check(input, plan) {
			const targets = [...plan.grants.map(({owner}) => owner), ...plan.moves.flatMap(({to}) => (to === undefined ? [] : [to]))];
			assert.ok(targets.every(target => mayBeGranted(input, target)));
		},
	},
	{
		name: 'every slot of an owner that may no longer own it is revoked at once',
		check(input, plan) {
			const isStranded = (owner: UpstreamRecord | {service: string; name: string; incarnation: number}) =>
				!mayBeGranted({...input, unreachableZones: []}, owner);
			const stranded = input.assignments.assignments.filter(assignment => assignment.phase === AssignmentPhase.granted && isStranded(assignment.owner));
			const revoked = plan.moves.filter(({reason}) => forcedReasons.has(reason)).map(({slot}) => slot);
			assert.deepEqual(revoked.sort((one, other) => one - other), stranded.map(({slot}) => slot));
		},
	},
	{
		name: 'only granted slots are moved, each once, and from their owner',
		check(input, plan) {
			assert.equal(new Set(plan.moves.map(({slot}) => slot)).size, plan.moves.length);
			for (const {slot, from, to} of plan.moves) {
				const assignment = input.assignments.assignments[slot]!;
				assert.ok(assignment.phase === AssignmentPhase.granted && sameUpstream(assignment.owner, from));
				assert.ok(to === undefined || !sameUpstream(from, to));
			}
		},
	},
	{
		name: 'optional moves stay within the budget',
		check(input, plan) {
			const slotMoves = plan.moves.filter(({reason, slot}) => reason === MoveReason.balance && slot < slots && (input.loads.slots[slot] ?? 0) > 0);
			assert.ok(slotMoves.length <= input.state.tokens, `${slotMoves.length} moves with ${input.state.tokens} tokens`);
			assert.ok(slotMoves.length <= policyOf(input).maxConcurrentMoves);
			assert.ok(plan.state.tokens >= 0);
		},
	},
	{
		name: 'balancing moves reduce the greatest score',
		check(input, plan) {
			const settled = grantAll(input, plan);
			const others = plan.moves.filter(({reason}) => reason !== MoveReason.balance && reason !== MoveReason.locality);
			const balancing = plan.moves.filter(({reason}) => reason === MoveReason.balance);
			const before = greatestScore(settled, others);
			const after = greatestScore(settled, [...others, ...balancing]);
			assert.ok(balancing.length === 0 || after < before, `from ${before} to ${after}`);
		},
	},
	{
		name: 'nothing optional is planned while many upstreams flap',
		check(input) {
			const planInBurst = planPlacement({...input, flapping: 8});
			assert.ok(planInBurst.moves.every(({reason}) => forcedReasons.has(reason)));
			assert.equal(planInBurst.pins.length + planInBurst.unpins.length, 0);
		},
	},
	{
		name: 'the plan depends on nothing but its input, and not on the order of upstreams',
		check(input, plan) {
			assert.deepEqual(planPlacement({...input, upstreams: input.upstreams.toReversed()}), plan);
		},
	},
	{
		name: 'the input is not changed',
		check(input) {
			const copy = structuredClone(input);
			planPlacement(input);
			assert.deepEqual(input, copy);
		},
	},
];

for (const {name, check} of invariants) {
	test(`${name} (seed ${seed})`, () => {
		fc.assert(fc.property(fc.oneof(inputArbitrary, normalInputArbitrary, lossInputArbitrary), input => {
			check(input, planPlacement(input));
		}), {seed, numRuns: 600});
	});
}
