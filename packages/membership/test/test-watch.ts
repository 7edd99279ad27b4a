import assert from 'node:assert/strict';
import process from 'node:process';
import {test} from 'node:test';
import {PartitionPolicy} from '@dogwooddeck/model/contract';
import {emptyReport} from '@dogwooddeck/model/lease';
import {UpstreamPhase} from '@dogwooddeck/model/registry';
import fc from 'fast-check';
import {
	announcementsOf, contractOf, instances, isCut, namesIn, play, reportMilliseconds, type Run, type Scene, service, tickMilliseconds,
} from './scene.js';
import {applyMembership, emptyMembership, upstreamsOf} from '@dogwooddeck/membership/registry';
import {advanceWatch, createWatch, joinedAt} from '@dogwooddeck/membership/watch';

const seed = Number(process.env.SEED ?? 5);

function lostNames(run: Run): readonly string[] {
	return upstreamsOf(run.registry, service).filter(record => record.phase === UpstreamPhase.lost).map(record => record.name);
}

const allOfZone = (at: number): Readonly<Record<string, number>> => Object.fromEntries(namesIn({untilMilliseconds: 0}, 'n-1').map(name => [name, at]));

const lossCases: ReadonlyArray<{readonly name: string; readonly scene: Scene; readonly lost: readonly string[]; readonly within?: readonly [from: number, until: number]}> = [
	{name: 'nothing goes wrong', scene: {untilMilliseconds: 5000}, lost: []},
	{
		name: 'one goes silent',
		scene: {silentFrom: {'n-1/u1': 2000}, untilMilliseconds: 5000},
		lost: ['n-1/u1'],
		within: [2750, 3100],
	},
	{name: 'silence shorter than the timeout', scene: {silentFrom: {'n-1/u1': 2000}, untilMilliseconds: 2700}, lost: []},
	{
		name: 'one announces itself but nobody gets an answer',
		scene: {failingFrom: {'n-1/u1': {at: 2000, instances}}, untilMilliseconds: 4000},
		lost: ['n-1/u1'],
		within: [2250, 2600],
	},
	{name: 'one instance fails, two get answers', scene: {failingFrom: {'n-1/u1': {at: 2000, instances: ['i1']}}, untilMilliseconds: 9000}, lost: []},
	{
		name: 'one instance fails, and no other has traffic',
		scene: {busyInstances: ['i1'], failingFrom: {'n-1/u1': {at: 2000, instances: ['i1']}}, untilMilliseconds: 9000},
		lost: [],
	},
	{
		name: 'two instances of three fail',
		scene: {failingFrom: {'n-1/u1': {at: 2000, instances: ['i1', 'i2']}}, untilMilliseconds: 4000},
		lost: ['n-1/u1'],
	},
	{
		name: 'the only instance of a zone fails',
		scene: {rosterSize: 1, failingFrom: {'n-1/u1': {at: 2000, instances: ['i1']}}, untilMilliseconds: 4000},
		lost: ['n-1/u1'],
	},
	{
		name: 'evidence against most upstreams at once looks like overload',
		scene: {failingFrom: Object.fromEntries(namesIn({untilMilliseconds: 0}, 'n-1').map(name => [name, {at: 2000, instances}])), untilMilliseconds: 9000},
		lost: [],
	},
	{name: 'a zone is cut off, and its service holds', scene: {cut: {'n-1': [2000, 60_000]}, untilMilliseconds: 20_000}, lost: []},
	{
		name: 'a zone is cut off that had not told of its only upstream for two reports, and its service holds',
		scene: {
			upstreams: 1, announcedEvery: 3, cut: {'n-1': [2001, 60_000]}, untilMilliseconds: 20_000,
		},
		lost: [],
	},
	{
		name: 'a zone is cut off, and its service is taken over',
		scene: {whenCut: PartitionPolicy.takeOver, cut: {'n-1': [2000, 60_000]}, untilMilliseconds: 20_000},
		lost: namesIn({untilMilliseconds: 0}, 'n-1'),
		within: [3250, 3400],
	},
	{
		name: 'most of a reachable zone goes silent: judged later than one alone',
		scene: {silentFrom: allOfZone(2000), untilMilliseconds: 9000},
		lost: namesIn({untilMilliseconds: 0}, 'n-1'),
		within: [3250, 3400],
	},
	{name: 'a cut heals: everybody has a full grace period', scene: {cut: {'n-1': [2000, 9000]}, untilMilliseconds: 20_000}, lost: []},
	{
		name: 'one died during a cut',
		scene: {cut: {'n-1': [2000, 9000]}, silentFrom: {'n-1/u1': 4000}, untilMilliseconds: 20_000},
		lost: ['n-1/u1'],
		within: [10_000, 10_100],
	},
	{
		name: 'a gap just under the zone\'s timeout is not counted as silence',
		scene: {cut: {'n-1': [2001, 3000]}, silentFrom: {'n-1/u1': 2600}, untilMilliseconds: 6000},
		lost: ['n-1/u1'],
		within: [3250, 3400],
	},
	{
		name: 'a new leader gives a full grace period',
		scene: {silentFrom: {'n-1/u1': 2000}, newLeaderAt: 2500, untilMilliseconds: 6000},
		lost: ['n-1/u1'],
		within: [3500, 3600],
	},
];

for (const {name, scene, lost, within} of lossCases) {
	test(`loss: ${name}`, () => {
		const run = play(scene);
		assert.deepEqual(lostNames(run), lost);
		for (const entry of run.log.filter(({change}) => within !== undefined && change === UpstreamPhase.lost)) {
			assert.ok(entry.at >= within![0] && entry.at <= within![1], `judged at ${entry.at}`);
		}
	});
}

/** The times from the last sign of life until the verdict. Announcements are passed on each 250 ms. */
const silenceCases: ReadonlyArray<{readonly name: string; readonly scene: Scene; readonly from: number; readonly until: number}> = [
	{
		name: 'one goes silent', scene: {silentFrom: {'n-1/u1': 2000}, untilMilliseconds: 5000}, from: 1000, until: 1300,
	},
	{
		name: 'one died during a cut',
		scene: {cut: {'n-1': [2000, 9000]}, silentFrom: {'n-1/u1': 4000}, untilMilliseconds: 20_000},
		from: 8000,
		until: 8300,
	},
	{
		name: 'one is lost under a leader that never heard it',
		scene: {silentFrom: {'n-1/u1': 2000}, newLeaderAt: 2500, untilMilliseconds: 6000},
		from: 1000,
		until: 1100,
	},
	{
		name: 'one starts anew at once', scene: {restartsAt: {'n-1/u1': [2000]}, untilMilliseconds: 2100}, from: 250, until: 250,
	},
	{
		name: 'one starts anew under a leader that never heard its earlier life',
		scene: {
			restartsAt: {'n-1/u1': [3000]}, cut: {'n-1': [2000, 3000]}, newLeaderAt: 2500, untilMilliseconds: 3050,
		},
		from: 0,
		until: 0,
	},
];

for (const {
	name, scene, from, until,
} of silenceCases) {
	test(`silence: ${name}`, () => {
		const [silence] = play(scene).silences;
		assert.ok(silence !== undefined && silence >= from && silence <= until, `${silence} ms`);
	});
}

const lifeCases: ReadonlyArray<{readonly name: string; readonly scene: Scene; readonly expected: ReadonlyArray<readonly [at: number, change: string]>; readonly flapping: number}> = [
	{
		name: 'joins when first heard', scene: {untilMilliseconds: 2000}, expected: [[0, 'upstreamJoined']], flapping: 0,
	},
	{
		name: 'leaves when it says so',
		scene: {leavingFrom: {'n-1/u1': 2000}, untilMilliseconds: 3000},
		expected: [[0, 'upstreamJoined'], [2000, UpstreamPhase.leaving]],
		flapping: 0,
	},
	{
		name: 'one that leaves and goes silent is lost',
		scene: {leavingFrom: {'n-1/u1': 2000}, silentFrom: {'n-1/u1': 2100}, untilMilliseconds: 4000},
		expected: [[0, 'upstreamJoined'], [2000, UpstreamPhase.leaving], [3050, UpstreamPhase.lost]],
		flapping: 0,
	},
	{
		name: 'a restart joins at once',
		scene: {restartsAt: {'n-1/u1': [2000]}, untilMilliseconds: 5000},
		expected: [[0, 'upstreamJoined'], [2000, UpstreamPhase.lost], [2000, 'upstreamJoined']],
		flapping: 0,
	},
	{
		name: 'the third life is held back for 5 s, the fourth for 10 s',
		scene: {restartsAt: {'n-1/u1': [10_000, 20_000, 30_000]}, untilMilliseconds: 45_000},
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

for (const {name, scene, expected, flapping} of lifeCases) {
	test(`life: ${name}`, () => {
		const run = play(scene);
		assert.deepEqual(run.log.filter(entry => entry.name === 'n-1/u1').map(({at, change}) => [at, change]), expected);
		assert.equal(run.flapping, flapping);
	});
}

const joinCases: ReadonlyArray<{readonly name: string; readonly isInRegistry: boolean; readonly incarnation: number; readonly expected: number | undefined}> = [
	{
		name: 'a life that this leader let in', isInRegistry: false, incarnation: 1, expected: 100,
	},
	{
		name: 'a life that was there before this leader', isInRegistry: true, incarnation: 1, expected: undefined,
	},
	{
		name: 'a life that nobody heard', isInRegistry: false, incarnation: 2, expected: undefined,
	},
];

for (const {name, isInRegistry, incarnation, expected} of joinCases) {
	test(`time of joining: ${name}`, () => {
		const [announcement] = announcementsOf({untilMilliseconds: 0}, 'n-1', 0);
		const {leaving: _leaving, load: _load, ...fields} = announcement!;
		const joining = applyMembership(emptyMembership, {kind: 'upstreamJoined', record: {...fields, phase: UpstreamPhase.serving}}, 1);
		const {state} = advanceWatch(createWatch(0), {
			kind: 'reportReceived', now: 70, report: {...emptyReport, announcements: [announcement!]}, reporter: {zone: 'n-1', instance: 'i1'},
		});
		const judged = advanceWatch(state, {
			kind: 'ticked', now: 100, registry: isInRegistry ? joining.unwrapOr(emptyMembership) : emptyMembership, contracts: [contractOf({untilMilliseconds: 0})], rosterSizes: {},
		});
		assert.equal(joinedAt(judged.state, {service, name: 'n-1/u0', incarnation}), expected);
	});
}

const randomScene: fc.Arbitrary<Scene> = fc.record({
	whenCut: fc.constantFrom(PartitionPolicy.hold, PartitionPolicy.takeOver),
	upstreams: fc.integer({min: 2, max: 6}),
	silentFrom: fc.dictionary(fc.constantFrom('n-1/u0', 'n-1/u1', 'n-2/u0'), fc.integer({min: 500, max: 8000})),
	failingFrom: fc.dictionary(fc.constantFrom('n-1/u1', 'n-2/u1'), fc.record({
		at: fc.integer({min: 500, max: 8000}), instances: fc.subarray(instances),
	})),
	cut: fc.dictionary(fc.constantFrom('n-1', 'n-2'), fc.tuple(fc.integer({min: 1000, max: 5000}), fc.integer({min: 5000, max: 20_000}))),
	newLeaderAt: fc.integer({min: 20, max: 100}).map(ticks => ticks * tickMilliseconds),
	untilMilliseconds: fc.constant(12_000),
});

function isExplained(scene: Scene, name: string, at: number): boolean {
	const zone = name.slice(0, 3);
	const failing = scene.failingFrom?.[name];
	const isSilent = at - (scene.silentFrom?.[name] ?? Number.POSITIVE_INFINITY) > 500;
	const isFailing = failing !== undefined && at >= failing.at && failing.instances.length >= 2;
	// Until the first report after the cut, the zone is still unheard of.
	const isUnheard = isCut(scene, zone, at) || isCut(scene, zone, at - reportMilliseconds);
	return isSilent || isFailing || (scene.whenCut === PartitionPolicy.takeOver && isUnheard);
}

test(`no verdict without silence, agreed evidence, or a cut of a service that is taken over (seed ${seed})`, () => {
	fc.assert(fc.property(randomScene, scene => {
		for (const {at, name} of play(scene).log.filter(({change}) => change === UpstreamPhase.lost)) {
			assert.ok(isExplained(scene, name, at), `${name} judged at ${at}`);
		}
	}), {seed, numRuns: 100});
});

test(`a verdict never comes from a zone that is out of reach while its service holds (seed ${seed})`, () => {
	fc.assert(fc.property(randomScene, scene => {
		const run = play({...scene, whenCut: PartitionPolicy.hold, failingFrom: {}});
		for (const {at, name} of run.log.filter(({change}) => change === UpstreamPhase.lost)) {
			const from = scene.cut?.[name.slice(0, 3)]?.[0] ?? Number.POSITIVE_INFINITY;
			assert.ok(!isCut(scene, name.slice(0, 3), at) || at <= from + 1000, `${name} judged at ${at}`);
		}
	}), {seed, numRuns: 100});
});

test(`everyone who stays silent within reach is judged within 3 s (seed ${seed})`, () => {
	fc.assert(fc.property(randomScene, scene => {
		const run = play({...scene, cut: {}, newLeaderAt: -1});
		const lost = lostNames(run);
		for (const [name, from] of Object.entries(scene.silentFrom ?? {})) {
			assert.ok(lost.includes(name) || from > 9000, `${name} silent from ${from}`);
		}
	}), {seed, numRuns: 100});
});
