import assert from 'node:assert/strict';
import {test} from 'node:test';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {type RandomGenerator} from 'pure-rand/types/RandomGenerator';
import {LoadCounts} from '@dogwooddeck/control-node/load-counts';

const reportMilliseconds = 500;

/** Adds one report per half second, each with the requests for one key, and returns the resulting rate. */
function ratesAfter(requests: readonly number[], key: number): number {
	const counts = new LoadCounts();
	let now = 0;
	for (const count of requests) {
		now += reportMilliseconds;
		counts.add({services: [{service: 's', counts: count === 0 ? [] : [[key, count]], answers: []}]}, now);
	}

	return counts.rates('s', now).find(counted => counted.key === key)?.rate ?? 0;
}

const idle = Array.from({length: 60}, () => 0);
const steady = Array.from({length: 60}, () => 2);

const cases: ReadonlyArray<{readonly name: string; readonly requests: readonly number[]; readonly minimum: number; readonly maximum: number}> = [
	{
		name: 'nothing', requests: idle, minimum: 0, maximum: 0,
	},
	{
		name: 'a steady rate', requests: steady, minimum: 3.2, maximum: 4.8,
	},
	{
		name: 'one request by chance', requests: [...idle, 1], minimum: 0.05, maximum: 0.2,
	},
	{
		name: 'a key that gets hot, after a second', requests: [...idle, 10, 10], minimum: 8, maximum: 25,
	},
	{
		name: 'a key that was hot has less than half its rate two seconds later', requests: [...idle, 10, 10, 10, 10, 10, 10, 10, 10, 0, 0, 0, 0], minimum: 0, maximum: 10,
	},
];

for (const {name, requests, minimum, maximum} of cases) {
	test(`load counts: ${name}`, () => {
		const rate = ratesAfter(requests, 7);
		assert.ok(rate >= minimum && rate <= maximum, `${rate} requests a second`);
	});
}

test('load counts: a slow upstream has a lower speed, one with few answers has speed 1', () => {
	const counts = new LoadCounts();
	counts.add({services: [{service: 's', counts: [], answers: [['fast', 100, 5000], ['slow', 100, 15_000], ['new', 1, 900]]}]}, 0);
	const speeds = ['fast', 'slow', 'new', 'unknown'].map(upstream => counts.speed(upstream, 's', 1).toFixed(1));
	assert.deepEqual(speeds, ['2.0', '0.7', '1.0', '1.0']);
});

const hotKeys = Array.from({length: 120}, (_, position) => 1000 + position);

/** Each of many adjacent keys gets few requests; only their sum shows the change. */
test('load counts: a run of keys that gets hot together, a second later', () => {
	const counts = new LoadCounts();
	let now = 0;
	for (let period = 0; period < 60; period += 1) {
		now += reportMilliseconds;
		counts.add({services: [{service: 's', counts: [[hotKeys[period]!, 1]], answers: []}]}, now);
	}

	for (let period = 0; period < 2; period += 1) {
		now += reportMilliseconds;
		counts.add({services: [{service: 's', counts: hotKeys.map(key => [key, 1] as const), answers: []}]}, now);
	}

	const rate = counts.rates('s', now).reduce((sum, counted) => sum + counted.rate, 0);
	assert.ok(rate >= 120 && rate <= 400, `${rate} requests a second, of 240`);
});

const few = 250;
const many = 8 * few;

/** Linear growth would be 8, quadratic growth 64. */
const maximumGrowth = 20;

function timeOfSpeeds(count: number): number {
	const upstreams = Array.from({length: count}, (_, position) => `i-${position}`);
	const counts = new LoadCounts();
	counts.add({services: [{service: 's', counts: [], answers: upstreams.map(upstream => [upstream, 10, 1000] as const)}]}, 0);
	const startedAt = performance.now();
	for (const upstream of upstreams) {
		counts.speed(upstream, 's', 1);
	}

	return performance.now() - startedAt;
}

test('load counts: the cost of computing speeds grows about linearly with the number of upstreams', () => {
	const times = Array.from({length: 5}, () => ({small: timeOfSpeeds(few), large: timeOfSpeeds(many)})).slice(1);
	const growth = Math.min(...times.map(({large}) => large)) / Math.min(...times.map(({small}) => small));
	assert.ok(growth < maximumGrowth, `${growth.toFixed(1)} times`);
});

/** Draws an exponentially distributed answer time: its standard deviation equals its mean. */
function drawTime(generator: RandomGenerator, meanMilliseconds: number): number {
	return -meanMilliseconds * Math.log((uniformInt(generator, 0, 999_999) + 0.5) / 1_000_000);
}

const fleet = Array.from({length: 200}, (_, position) => `i-${position}`);
const answersPerPeriod = 2;

type Simulation = {readonly counts: LoadCounts; readonly generator: RandomGenerator; now: number};

/** Simulates reports in which each upstream answers four times a second, with the mean answer time `meanOf`. */
function answer(simulation: Simulation, periods: number, meanOf: (upstream: string) => number, each: () => void): void {
	for (let period = 0; period < periods; period += 1) {
		simulation.now += reportMilliseconds;
		const answers = fleet.map(upstream => {
			const times = Array.from({length: answersPerPeriod}, () => drawTime(simulation.generator, meanOf(upstream)));
			return [upstream, answersPerPeriod, times.reduce((sum, time) => sum + time, 0)] as const;
		});
		simulation.counts.add({services: [{service: 's', counts: [], answers}]}, simulation.now);
		each();
	}
}

const speedSeeds = [1, 2, 3];

for (const seed of speedSeeds) {
	test(`load counts: speeds don't change by chance, but do when an upstream becomes slow, seed ${seed}`, () => {
		const simulation: Simulation = {counts: new LoadCounts(), generator: xoroshiro128plus(seed), now: 0};
		const speedsNow = () => fleet.map(upstream => simulation.counts.speed(upstream, 's', simulation.now));
		answer(simulation, 40, () => 200, () => undefined);
		let changes = 0;
		let before = speedsNow();
		answer(simulation, 40, () => 200, () => {
			const now = speedsNow();
			changes += now.filter((speed, position) => speed !== before[position]).length;
			before = now;
		});
		assert.ok(changes <= 80, `${changes} changes of 200 speeds in 20 s`);
		answer(simulation, 6, upstream => upstream === 'i-7' ? 1000 : 200, () => undefined);
		assert.ok(simulation.counts.speed('i-7', 's', simulation.now) < 0.7);
	});
}
