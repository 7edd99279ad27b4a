import assert from 'node:assert/strict';
import process from 'node:process';
import {test} from 'node:test';
import {PartitionPolicy} from '@dogwooddeck/model/contract';
import {emptyReport} from '@dogwooddeck/model/lease';
import {UpstreamPhase} from '@dogwooddeck/model/registry';
import fc from 'fast-check';
import {
	announcementsOf, contractOf, instances, isPartitioned, namesIn, simulate, reportMilliseconds, type SimulationResult, type Scenario, service, tickMilliseconds,
} from './scenario.js';
import {applyMembership, emptyMembership, upstreamsOf} from '@dogwooddeck/membership/registry';
import {advanceWatch, createWatch, joinedAt} from '@dogwooddeck/membership/watch';

const seed = Number(process.env.SEED ?? 5);

function lostNames(run: SimulationResult): readonly string[] {
	return upstreamsOf(run.registry, service).filter(record => record.phase === UpstreamPhase.lost).map(record => record.name);
}

const allOfZone = (at: number): Readonly<Record<string, number>> => Object.fromEntries(namesIn({untilMilliseconds: 0}, 'n-1').map(name => [name, at]));

const lossCases: ReadonlyArray<{readonly name: string; readonly scenario: Scenario; readonly lost: readonly string[]; readonly within?: readonly [from: number, until: number]}> = [
	{name: 'no fault', scenario: {untilMilliseconds: 5000}, lost: []},
	{
		name: 'an upstream stops announcing itself',
		scenario: {unresponsiveFrom: {'n-1/u1': 2000}, untilMilliseconds: 5000},
		lost: ['n-1/u1'],
		within: [2750, 3100],
	},
	{name: 'a time without contact below the timeout', scenario: {unresponsiveFrom: {'n-1/u1': 2000}, untilMilliseconds: 2700}, lost: []},
	{
		name: 'an upstream announces itself but answers no instance',
		scenario: {failingFrom: {'n-1/u1': {at: 2000, instances}}, untilMilliseconds: 4000},
		lost: ['n-1/u1'],
		within: [2250, 2600],
	},
	{name: 'attempts of one instance fail, those of two succeed', scenario: {failingFrom: {'n-1/u1': {at: 2000, instances: ['i1']}}, untilMilliseconds: 9000}, lost: []},
	{
		name: 'attempts of one instance fail, and no other has traffic',
		scenario: {busyInstances: ['i1'], failingFrom: {'n-1/u1': {at: 2000, instances: ['i1']}}, untilMilliseconds: 9000},
		lost: [],
	},
	{
		name: 'attempts of two instances of three fail',
		scenario: {failingFrom: {'n-1/u1': {at: 2000, instances: ['i1', 'i2']}}, untilMilliseconds: 4000},
		lost: ['n-1/u1'],
	},
	{
		name: 'attempts of the only instance of a zone fail',
		scenario: {rosterSize: 1, failingFrom: {'n-1/u1': {at: 2000, instances: ['i1']}}, untilMilliseconds: 4000},
		lost: ['n-1/u1'],
	},
	{
		name: 'evidence against most upstreams at once is taken for overload',
		scenario: {failingFrom: Object.fromEntries(namesIn({untilMilliseconds: 0}, 'n-1').map(name => [name, {at: 2000, instances}])), untilMilliseconds: 9000},
		lost: [],
	},
	{name: 'a zone is partitioned, and its service holds', scenario: {partitioned: {'n-1': [2000, 60_000]}, untilMilliseconds: 20_000}, lost: []},
	{
		name: 'a zone whose last two reports lack its only upstream is partitioned, and its service holds',
		scenario: {
			upstreams: 1, reportsPerAnnouncement: 3, partitioned: {'n-1': [2001, 60_000]}, untilMilliseconds: 20_000,
		},
		lost: [],
	},
	{
		name: 'a zone is partitioned, and its service is taken over',
		scenario: {whenCut: PartitionPolicy.takeOver, partitioned: {'n-1': [2000, 60_000]}, untilMilliseconds: 20_000},
		lost: namesIn({untilMilliseconds: 0}, 'n-1'),
		within: [3250, 3400],
	},
	{
		name: 'most upstreams of a reachable zone become unresponsive: the verdict comes later than for one alone',
		scenario: {unresponsiveFrom: allOfZone(2000), untilMilliseconds: 9000},
		lost: namesIn({untilMilliseconds: 0}, 'n-1'),
		within: [3250, 3400],
	},
	{name: 'a partition heals: every upstream has a full grace period', scenario: {partitioned: {'n-1': [2000, 9000]}, untilMilliseconds: 20_000}, lost: []},
	{
		name: 'an upstream fails during a partition',
		scenario: {partitioned: {'n-1': [2000, 9000]}, unresponsiveFrom: {'n-1/u1': 4000}, untilMilliseconds: 20_000},
		lost: ['n-1/u1'],
		within: [10_000, 10_100],
	},
	{
		name: 'a gap in reports just under the zone timeout is not counted as time without contact',
		scenario: {partitioned: {'n-1': [2001, 3000]}, unresponsiveFrom: {'n-1/u1': 2600}, untilMilliseconds: 6000},
		lost: ['n-1/u1'],
		within: [3250, 3400],
	},
	{
		name: 'a new leader grants a full grace period',
		scenario: {unresponsiveFrom: {'n-1/u1': 2000}, newLeaderAt: 2500, untilMilliseconds: 6000},
		lost: ['n-1/u1'],
		within: [3500, 3600],
	},
];

for (const {name, scenario, lost, within} of lossCases) {
	test(`loss: ${name}`, () => {
		const run = simulate(scenario);
		assert.deepEqual(lostNames(run), lost);
		for (const entry of run.log.filter(({change}) => within !== undefined && change === UpstreamPhase.lost)) {
			assert.ok(entry.at >= within![0] && entry.at <= within![1], `verdict at ${entry.at}`);
		}
	});
}

/** The time from the last contact to the verdict. Announcements are reported every 250 ms. */
const contactCases: ReadonlyArray<{readonly name: string; readonly scenario: Scenario; readonly from: number; readonly until: number}> = [
	{
		name: 'an upstream stops announcing itself', scenario: {unresponsiveFrom: {'n-1/u1': 2000}, untilMilliseconds: 5000}, from: 1000, until: 1300,
	},
	{
		name: 'an upstream fails during a partition',
		scenario: {partitioned: {'n-1': [2000, 9000]}, unresponsiveFrom: {'n-1/u1': 4000}, untilMilliseconds: 20_000},
		from: 8000,
		until: 8300,
	},
	{
		name: 'an upstream is lost under a leader that never had contact with it',
		scenario: {unresponsiveFrom: {'n-1/u1': 2000}, newLeaderAt: 2500, untilMilliseconds: 6000},
		from: 1000,
		until: 1100,
	},
	{
		name: 'an upstream restarts at once', scenario: {restartsAt: {'n-1/u1': [2000]}, untilMilliseconds: 2100}, from: 250, until: 250,
	},
	{
		name: 'an upstream restarts under a leader that never had contact with its earlier incarnation',
		scenario: {
			restartsAt: {'n-1/u1': [3000]}, partitioned: {'n-1': [2000, 3000]}, newLeaderAt: 2500, untilMilliseconds: 3050,
		},
		from: 0,
		until: 0,
	},
];

for (const {
	name, scenario, from, until,
} of contactCases) {
	test(`time without contact: ${name}`, () => {
		const [timeWithoutContact] = simulate(scenario).timesWithoutContact;
		assert.ok(timeWithoutContact !== undefined && timeWithoutContact >= from && timeWithoutContact <= until, `${timeWithoutContact} ms`);
	});
}

const lifecycleCases: ReadonlyArray<{readonly name: string; readonly scenario: Scenario; readonly expected: ReadonlyArray<readonly [at: number, change: string]>; readonly flapping: number}> = [
	{
		name: 'joins at its first announcement', scenario: {untilMilliseconds: 2000}, expected: [[0, 'upstreamJoined']], flapping: 0,
	},
	{
		name: 'leaves when it announces so',
		scenario: {leavingFrom: {'n-1/u1': 2000}, untilMilliseconds: 3000},
		expected: [[0, 'upstreamJoined'], [2000, UpstreamPhase.leaving]],
		flapping: 0,
	},
	{
		name: 'an upstream that leaves and stops announcing itself is lost',
		scenario: {leavingFrom: {'n-1/u1': 2000}, unresponsiveFrom: {'n-1/u1': 2100}, untilMilliseconds: 4000},
		expected: [[0, 'upstreamJoined'], [2000, UpstreamPhase.leaving], [3050, UpstreamPhase.lost]],
		flapping: 0,
	},
	{
		name: 'a restart joins at once',
		scenario: {restartsAt: {'n-1/u1': [2000]}, untilMilliseconds: 5000},
		expected: [[0, 'upstreamJoined'], [2000, UpstreamPhase.lost], [2000, 'upstreamJoined']],
		flapping: 0,
	},
	{
		name: 'the third incarnation joins after 5 s, the fourth after 10 s',
		scenario: {restartsAt: {'n-1/u1': [10_000, 20_000, 30_000]}, untilMilliseconds: 45_000},
		expected: [
			[0, 'upstreamJoined'],
			[10_000, UpstreamPhase.lost],
			[10_000, 'upstreamJoined'],
			[20_000, UpstreamPhase.lost],
			[25_000, 'upstreamJoined'],
			[30_000, UpstreamPhase.lost],
			[40_000, 'upstreamJoined'],
		],
		flapping: 1,
	},
];

for (const {name, scenario, expected, flapping} of lifecycleCases) {
	test(`lifecycle: ${name}`, () => {
		const run = simulate(scenario);
		assert.deepEqual(run.log.filter(entry => entry.name === 'n-1/u1').map(({at, change}) => [at, change]), expected);
		assert.equal(run.flapping, flapping);
	});
}

const joinCases: ReadonlyArray<{readonly name: string; readonly isInRegistry: boolean; readonly incarnation: number; readonly expected: number | undefined}> = [
	{
		name: 'an incarnation whose join this leader proposed', isInRegistry: false, incarnation: 1, expected: 100,
	},
	{
		name: 'an incarnation that joined before this leader\'s term', isInRegistry: true, incarnation: 1, expected: undefined,
	},
	{
		name: 'an incarnation that never announced itself', isInRegistry: false, incarnation: 2, expected: undefined,
	},
];

for (const {name, isInRegistry, incarnation, expected} of joinCases) {
	test(`time of joining: ${name}`, () => {
		const [announcement] = announcementsOf({untilMilliseconds: 0}, 'n-1', 0);
		const {leaving: _leaving, load: _load, ...fields} = announcement!;
		const joined = applyMembership(emptyMembership, {kind: 'upstreamJoined', record: {...fields, phase: UpstreamPhase.serving}}, 1);
		const {state} = advanceWatch(createWatch(0), {
			kind: 'reportReceived', now: 70, report: {...emptyReport, announcements: [announcement!]}, reporter: {zone: 'n-1', instance: 'i1'},
		});
		const decided = advanceWatch(state, {
			kind: 'ticked', now: 100, registry: isInRegistry ? joined.unwrapOr(emptyMembership) : emptyMembership, contracts: [contractOf({untilMilliseconds: 0})], rosterSizes: {},
		});
		assert.equal(joinedAt(decided.state, {service, name: 'n-1/u0', incarnation}), expected);
	});
}

const randomScenario: fc.Arbitrary<Scenario> = fc.record({
	whenCut: fc.constantFrom(PartitionPolicy.hold, PartitionPolicy.takeOver),
	upstreams: fc.integer({min: 2, max: 6}),
	unresponsiveFrom: fc.dictionary(fc.constantFrom('n-1/u0', 'n-1/u1', 'n-2/u0'), fc.integer({min: 500, max: 8000})),
	failingFrom: fc.dictionary(fc.constantFrom('n-1/u1', 'n-2/u1'), fc.record({
		at: fc.integer({min: 500, max: 8000}), instances: fc.subarray(instances),
	})),
	partitioned: fc.dictionary(fc.constantFrom('n-1', 'n-2'), fc.tuple(fc.integer({min: 1000, max: 5000}), fc.integer({min: 5000, max: 20_000}))),
	newLeaderAt: fc.integer({min: 20, max: 100}).map(ticks => ticks * tickMilliseconds),
	untilMilliseconds: fc.constant(12_000),
});

function isExplained(scenario: Scenario, name: string, at: number): boolean {
	const zone = name.slice(0, 3);
	const failing = scenario.failingFrom?.[name];
	const isUnresponsive = at - (scenario.unresponsiveFrom?.[name] ?? Number.POSITIVE_INFINITY) > 500;
	const isFailing = failing !== undefined && at >= failing.at && failing.instances.length >= 2;
	// The zone counts as unreachable until its first report after the partition.
	const isZoneUnreachable = isPartitioned(scenario, zone, at) || isPartitioned(scenario, zone, at - reportMilliseconds);
	return isUnresponsive || isFailing || (scenario.whenCut === PartitionPolicy.takeOver && isZoneUnreachable);
}

test(`no verdict without a timeout, agreed evidence, or a partition of a service that is taken over (seed ${seed})`, () => {
	fc.assert(fc.property(randomScenario, scenario => {
		for (const {at, name} of simulate(scenario).log.filter(({change}) => change === UpstreamPhase.lost)) {
			assert.ok(isExplained(scenario, name, at), `verdict on ${name} at ${at}`);
		}
	}), {seed, numRuns: 100});
});

test(`no verdict on upstreams of an unreachable zone while the service holds (seed ${seed})`, () => {
	fc.assert(fc.property(randomScenario, scenario => {
		const run = simulate({...scenario, whenCut: PartitionPolicy.hold, failingFrom: {}});
		for (const {at, name} of run.log.filter(({change}) => change === UpstreamPhase.lost)) {
			const from = scenario.partitioned?.[name.slice(0, 3)]?.[0] ?? Number.POSITIVE_INFINITY;
			assert.ok(!isPartitioned(scenario, name.slice(0, 3), at) || at <= from + 1000, `verdict on ${name} at ${at}`);
		}
	}), {seed, numRuns: 100});
});

test(`every unresponsive upstream of a reachable zone is declared lost within 3 s (seed ${seed})`, () => {
	fc.assert(fc.property(randomScenario, scenario => {
		const run = simulate({...scenario, partitioned: {}, newLeaderAt: -1});
		const lost = lostNames(run);
		for (const [name, from] of Object.entries(scenario.unresponsiveFrom ?? {})) {
			assert.ok(lost.includes(name) || from > 9000, `${name} without contact from ${from}`);
		}
	}), {seed, numRuns: 100});
});
