import assert from 'node:assert/strict';
import {test} from 'node:test';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {applyKeyCommand, type KeyTables} from '@dogwooddeck/key-lease/command';
import {
	type Candidate, type KeyRate, planKeys,
} from '@dogwooddeck/key-lease/planning';
import {
	keyCount, type KeyRange, rangeOfKey, unassignedRanges,
} from '@dogwooddeck/key-lease/range';

const service = 's';

function upstream(id: string, fields: Partial<Candidate> = {}): Candidate {
	return {
		upstream: {id, born: 1}, weight: 3, accepting: true, leaving: false, ...fields,
	};
}

type Settled = {readonly ranges: readonly KeyRange[]; readonly moved: number; readonly rounds: number};

/** Repeats planning until nothing changes; recalled keys are released immediately. */
function settle(ranges: readonly KeyRange[], candidates: readonly Candidate[], rates: readonly KeyRate[]): Settled {
	let tables: KeyTables = {[service]: ranges};
	let moved = 0;
	for (let round = 1; round <= 60; round += 1) {
		const {granted, recalled} = planKeys({
			ranges: tables[service]!, candidates, rates, countedMilliseconds: 1_000_000_000, mostRanges: 150,
		});
		if (granted.length + recalled.length === 0) {
			return {ranges: tables[service]!, moved, rounds: round};
		}

		moved += recalled.reduce((sum, {from, to}) => sum + to - from + 1, 0);
		tables = applyKeyCommand(tables, {kind: 'keysGranted', service, rows: granted}, round * 2);
		tables = applyKeyCommand(tables, {kind: 'keysTold', service, rows: granted}, round * 2);
		tables = applyKeyCommand(tables, {kind: 'keysRecalled', service, rows: recalled}, (round * 2) + 1);
		tables = applyKeyCommand(tables, {kind: 'keysVacated', service, rows: recalled.map(row => ({...row, handover: 'token'}))}, (round * 2) + 1);
	}

	return {ranges: tables[service]!, moved, rounds: Infinity};
}

function workOf(ranges: readonly KeyRange[], rates: readonly KeyRate[]): ReadonlyMap<string, number> {
	const work = new Map<string, number>();
	for (const {key, rate} of rates) {
		const holder = rangeOfKey(ranges, key)?.holder?.id ?? 'nobody';
		work.set(holder, (work.get(holder) ?? 0) + rate);
	}

	return work;
}

const uniformRates: readonly KeyRate[] = Array.from({length: keyCount}, (_value, key) => ({key, rate: 0.125}));

/** Rates in which a run of adjacent keys gets a given share of all requests. */
function withHotRun(keys: number, share: number): readonly KeyRate[] {
	return Array.from({length: keyCount}, (_value, key) => ({key, rate: ((1 - share) / keyCount) + (key >= 8000 && key < 8000 + keys ? share / keys : 0)}));
}

const fleet = Array.from({length: 16}, (_value, position) => upstream(`u${position}`));
const initialRanges = settle(unassignedRanges, fleet, []).ranges;

/** Each upstream holds one run of adjacent keys. */
const contiguous: readonly KeyRange[] = fleet.map(({upstream: holder}, position) => ({
	from: position * keyCount / fleet.length, to: ((position + 1) * keyCount / fleet.length) - 1, fence: 1, holder, told: true, handover: '',
}));

const cases: ReadonlyArray<{readonly name: string; readonly ranges: readonly KeyRange[]; readonly candidates: readonly Candidate[]; readonly rates: readonly KeyRate[]; readonly holders: number; readonly maxOverMean: number; readonly maxMoved: number; readonly maxRounds?: number}> = [
	{
		name: 'the first grant is even and moves nothing', ranges: unassignedRanges, candidates: fleet, rates: uniformRates, holders: 16, maxOverMean: 1.2, maxMoved: 0,
	},
	{
		name: 'an even load moves nothing', ranges: initialRanges, candidates: fleet, rates: uniformRates, holders: 16, maxOverMean: 1.2, maxMoved: 0,
	},
	{
		name: 'a hot run of 200 keys is divided', ranges: contiguous, candidates: fleet, rates: withHotRun(200, 0.43), holders: 16, maxOverMean: 1.5, maxMoved: keyCount * 0.6, maxRounds: 5,
	},
	{
		name: 'a hot run of 60 keys is divided', ranges: contiguous, candidates: fleet, rates: withHotRun(56, 0.42), holders: 16, maxOverMean: 2, maxMoved: keyCount * 0.6,
	},
	{
		name: 'a warm run of 1000 keys that are already spread moves almost nothing', ranges: initialRanges, candidates: fleet, rates: withHotRun(1000, 0.25), holders: 16, maxOverMean: 1.4, maxMoved: keyCount * 0.01,
	},
	{
		name: 'a single key with 3.2 times the mean load keeps its holder, whose other keys move', ranges: initialRanges, candidates: fleet, rates: withHotRun(1, 0.2), holders: 16, maxOverMean: 3.5, maxMoved: keyCount * 0.08,
	},
	{
		name: 'upstreams that join get their share', ranges: initialRanges, candidates: [...fleet, upstream('n0'), upstream('n1'), upstream('n2'), upstream('n3')], rates: uniformRates, holders: 20, maxOverMean: 1.4, maxMoved: keyCount * 0.3,
	},
	{
		name: 'keys of upstreams that leave are spread', ranges: initialRanges, candidates: fleet.map((one, position) => position < 3 ? {...one, accepting: false, leaving: true} : one), rates: uniformRates, holders: 13, maxOverMean: 1.4, maxMoved: keyCount * 0.3,
	},
	{
		name: 'keys of an upstream that has no record any more are spread', ranges: initialRanges, candidates: fleet.slice(1), rates: uniformRates, holders: 15, maxOverMean: 1.4, maxMoved: keyCount * 0.12,
	},
];

for (const {name, ranges, candidates, rates, holders, maxOverMean, maxMoved, maxRounds = 60} of cases) {
	test(`planning: ${name}`, () => {
		const settled = settle(ranges, candidates, rates);
		assert.ok(settled.rounds <= maxRounds, `converged after ${settled.rounds} plans`);
		const work = workOf(settled.ranges, rates);
		const mean = [...work.values()].reduce((sum, one) => sum + one, 0) / holders;
		assert.equal(work.has('nobody'), false);
		assert.equal(work.size, holders);
		assert.ok(Math.max(...work.values()) <= mean * maxOverMean, `the highest load is ${(Math.max(...work.values()) / mean).toFixed(2)} times the mean`);
		assert.ok(settled.moved <= maxMoved, `${settled.moved} keys moved`);
	});
}

const rates: ReadonlyArray<{readonly name: string; readonly requestsPerSecond: number; readonly share: number; readonly moves: boolean}> = [
	{
		name: 'a difference that may be chance', requestsPerSecond: 64, share: 0.04, moves: false,
	},
	{
		name: 'the same difference in many more requests', requestsPerSecond: 20_000, share: 0.04, moves: true,
	},
	{
		name: 'a hot run in few requests', requestsPerSecond: 64, share: 0.4, moves: true,
	},
];

for (const {name, requestsPerSecond, share, moves} of rates) {
	test(`planning: ${name} ${moves ? 'moves keys' : 'moves nothing'}`, () => {
		const rates = withHotRun(200, share).map(({key, rate}) => ({key, rate: rate * requestsPerSecond}));
		const {recalled} = planKeys({
			ranges: contiguous, candidates: fleet, rates, countedMilliseconds: 2500, mostRanges: 150,
		});
		assert.equal(recalled.length > 0, moves);
	});
}

const countedMilliseconds = 8000;
const seeds = Array.from({length: 20}, (_value, position) => position + 1);

/** Random counts of requests that are uniformly distributed over all keys. */
function randomCounts(requestsPerSecond: number, seed: number): readonly KeyRate[] {
	const generator = xoroshiro128plus(seed);
	const counts = new Map<number, number>();
	for (let request = 0; request < requestsPerSecond * countedMilliseconds / 1000; request += 1) {
		const key = uniformInt(generator, 0, keyCount - 1);
		counts.set(key, (counts.get(key) ?? 0) + 1);
	}

	return [...counts].sort(([one], [other]) => one - other).map(([key, count]) => ({key, rate: count * 1000 / countedMilliseconds}));
}

const speeds = [0.5, 1, 1, 1.5];

/** Guards against plans that mistake random differences for imbalance: they would move keys several times a second, indefinitely. */
const fleets: ReadonlyArray<{readonly upstreams: number; readonly requestsPerSecond: number; readonly maxMovingPlans: number}> = [
	{upstreams: 9, requestsPerSecond: 140, maxMovingPlans: 2},
	{upstreams: 16, requestsPerSecond: 440, maxMovingPlans: 2},
	{upstreams: 194, requestsPerSecond: 930, maxMovingPlans: 2},
	{upstreams: 400, requestsPerSecond: 1900, maxMovingPlans: 2},
];

for (const {upstreams, requestsPerSecond, maxMovingPlans} of fleets) {
	test(`planning: random differences move no keys among ${upstreams} upstreams`, () => {
		const candidates = Array.from({length: upstreams}, (_value, position) => upstream(`u${position}`, {weight: 2 * speeds[position % speeds.length]!}));
		const expectedRates = uniformRates.map(({key}) => ({key, rate: requestsPerSecond / keyCount}));
		const {ranges} = settle(settle(unassignedRanges, candidates, []).ranges, candidates, expectedRates);
		const moving = seeds.filter(seed => {
			const {recalled} = planKeys({
				ranges, candidates, rates: randomCounts(requestsPerSecond, seed), countedMilliseconds, mostRanges: 150,
			});
			return recalled.length > 0;
		});
		assert.ok(moving.length <= maxMovingPlans, `${moving.length} of ${seeds.length} plans move keys`);
	});
}

type DominantCase = {
	readonly name: string;
	/** The relative capacity of the upstream that holds the hot key; the others have 3. */
	readonly weight: number;

	readonly recalled: ReadonlyArray<readonly [from: number, to: number]>;
};

const hotKey = 500;
const dominantCases: readonly DominantCase[] = [
	{
		name: 'stays with its holder, and so do its neighbours', weight: 3, recalled: [],
	},
	{
		name: 'moves alone to a far faster upstream', weight: 1, recalled: [[hotKey, hotKey]],
	},
	{
		name: 'stays with a holder that is little slower', weight: 2.5, recalled: [],
	},
];

for (const {
	name, weight, recalled,
} of dominantCases) {
	test(`planning: a key that no upstream can process ${name}`, () => {
		const candidates = ['u0', 'u1', 'u2', 'u3'].map((id, position) => upstream(id, position === 0 ? {weight} : {}));
		const perUpstream = keyCount / candidates.length;
		const ranges = candidates.map(({upstream: holder}, position): KeyRange => ({
			from: position * perUpstream, to: ((position + 1) * perUpstream) - 1, fence: 1, holder, told: true, handover: '',
		}));
		const share = weight / 3;
		const rates = Array.from({length: keyCount}, (_value, key) => ({key, rate: key === hotKey ? 20_000 : (key < perUpstream ? share : 1)}));
		const dominant = [{key: hotKey, rate: 20_000, holder: candidates[0]!.upstream}];
		const plan = planKeys({
			ranges, candidates, rates, countedMilliseconds: 1_000_000_000, mostRanges: 150, dominant,
		});
		assert.deepEqual(plan.recalled.map(({from, to}) => [from, to]), recalled);
	});
}
