/**
 * The load that upstreams tell: tables of estimates, and replays of the loads that it answers.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {type LoadFigures, ToldLoad} from '@dogwooddeck/gateway/told-load';
import {Distance, selectUpstream, type UpstreamCandidate} from '@dogwooddeck/gateway/upstream-selection';
import {Signal, UpstreamLoad} from '@dogwooddeck/gateway/upstream-load';

const idle: LoadFigures = {
	running: 0, waiting: 0, slots: 3, slowdown: 1,
};

type EstimateCase = {
	readonly name: string;
	readonly figures?: LoadFigures;
	/** This instance's requests at the upstream, when it told its load and now. */
	readonly inFlight?: readonly [number, number];
	readonly age?: number;
	readonly isDiscarded?: boolean;
	/** With a latency of 100 ms. */
	readonly expected: number;
};

const estimates: readonly EstimateCase[] = [
	{name: 'nothing told', expected: 100},
	{name: 'idle', figures: idle, expected: 100},
	{name: 'all slots but one taken', figures: {...idle, running: 2}, expected: 100},
	{name: 'a queue of others', figures: {...idle, running: 3, waiting: 5}, expected: 300},
	{
		name: 'a queue of its own requests, since answered', figures: {...idle, running: 3, waiting: 5}, inFlight: [8, 0], expected: 100,
	},
	{
		name: 'fewer requests than this instance has there', figures: idle, inFlight: [5, 5], expected: 200,
	},
	{name: 'a slow machine', figures: {...idle, slowdown: 4}, expected: 400},
	{
		name: 'a slow machine with a queue', figures: {
			...idle, running: 3, waiting: 2, slowdown: 2,
		}, expected: 400,
	},
	{
		name: 'half of the lifetime later', figures: {...idle, slowdown: 4}, age: 300, expected: 250,
	},
	{
		name: 'after the lifetime', figures: {...idle, slowdown: 4}, age: 600, expected: 100,
	},
	{
		name: 'after a refusal', figures: idle, inFlight: [0, 5], isDiscarded: true, expected: 600,
	},
];

for (const {
	name, figures, inFlight = [0, 0], age = 0, isDiscarded = false, expected,
} of estimates) {
	test(`told load: ${name}`, () => {
		const told = new ToldLoad();
		if (figures !== undefined) {
			told.record(figures, inFlight[0], 1000);
		}

		if (isDiscarded) {
			told.discard();
		}

		const estimate = told.expect((inFlight[1] + 1) * 100, 100, inFlight[1], 1000 + age);
		assert.ok(Math.abs(estimate - expected) < 1e-6, `${estimate}`);
	});
}

/** Figures that are told before each answer, what the answers take, and the estimate in the end; the latency is 100 ms. */
const reliances: ReadonlyArray<{readonly name: string; readonly figures: LoadFigures; readonly took: number; readonly most: number; readonly fewest: number}> = [
	{
		name: 'true figures keep their weight', figures: {...idle, slowdown: 4}, took: 400, fewest: 390, most: 400,
	},
	{
		name: 'figures that tell a slow machine falsely lose it', figures: {...idle, slowdown: 4}, took: 100, fewest: 100, most: 115,
	},
	{
		name: 'figures that tell a queue falsely lose it', figures: {...idle, waiting: 300}, took: 100, fewest: 100, most: 115,
	},
];

for (const {
	name, figures, took, most, fewest,
} of reliances) {
	test(`told load: ${name}`, () => {
		const told = new ToldLoad();
		for (let at = 0; at < 30_000; at += 500) {
			told.record(figures, 0, at);
			told.compare(took, 100, at + took);
		}

		told.record(figures, 0, 30_000);
		const estimate = told.expect(100, 100, 0, 30_000);
		assert.ok(estimate >= fewest && estimate <= most, `${estimate}`);
	});
}

type Machine = UpstreamCandidate & {
	isConnected: boolean;
	slowUntil: number;
	othersUntil: number;
	/** When each of its slots is free. */
	readonly slots: number[];
	/** When each request ends. */
	ends: number[];
};
type Replay = {
	readonly name: string;
	/** The chance, each 10 ms, that neighbours make a machine slow for 400 ms. */
	readonly slowChance: number;
	/** The chance, each 10 ms, that others begin to send to a machine, for 300 ms and as much as it can process in 900 ms. */
	readonly otherChance: number;
	/** What the figures are multiplied by; 1 tells the truth. */
	readonly falseness: number;
	/** The most that answers may take beyond their work on average, as a share of that without figures. */
	readonly most: number;
};

const replays: readonly Replay[] = [
	{
		name: 'neighbours make a machine slow for 400 ms', slowChance: 0.004, otherChance: 0, falseness: 1, most: 0.9,
	},
	{
		name: 'others fill a machine', slowChance: 0, otherChance: 0.002, falseness: 1, most: 0.9,
	},
	{
		name: 'a machine tells ten times its load and slowness', slowChance: 0.004, otherChance: 0, falseness: 10, most: 1.1,
	},
];

function serve({slots, slowUntil, ends}: Machine, now: number, work: number): number {
	const position = slots.indexOf(Math.min(...slots));
	slots[position] = Math.max(now, slots[position]!) + (work * (now < slowUntil ? 5 : 1));
	ends.push(slots[position]);
	return slots[position];
}

/** Returns how long the answers take beyond their work on average. */
function replay(seed: number, {slowChance, otherChance, falseness}: Replay, isTold: boolean): number {
	const generator = xoroshiro128plus(seed);
	const random = () => uniformInt(generator, 0, 999_999) / 1_000_000;
	const machines = Array.from({length: 5}, (_, position): Machine => ({
		id: String(position), distance: Distance.sameZone, load: new UpstreamLoad(3), cold: false, isConnected: true, slowUntil: 0, othersUntil: 0, slots: [0, 0, 0], ends: [],
	}));
	let answers: Array<{readonly machine: Machine; readonly sentAt: number; readonly at: number; readonly work: number}> = [];
	let total = 0;
	let count = 0;
	for (let now = 0; now < 60_000; now += 10) {
		for (const {machine, sentAt, at, work} of answers.filter(one => one.at <= now)) {
			const {load, slots, slowUntil} = machine;
			machine.ends = machine.ends.filter(end => end > now);
			if (isTold) {
				load.told.record({
					running: Math.min(slots.length, machine.ends.length) * falseness, waiting: Math.max(0, machine.ends.length - slots.length) * falseness, slots: slots.length, slowdown: (now < slowUntil ? 5 : 1) * falseness,
				}, load.inFlight - 1, now);
			}

			load.inFlight -= 1;
			load.record(Signal.answered, at - sentAt, now);
			total += at - sentAt - work;
			count += 1;
		}

		answers = answers.filter(one => one.at > now);
		for (const machine of machines) {
			machine.slowUntil = random() < slowChance ? now + 400 : machine.slowUntil;
			machine.othersUntil = random() < otherChance ? now + 300 : machine.othersUntil;
			if (now < machine.othersUntil) {
				serve(machine, now, 60 + (80 * random()));
			}
		}

		const isSent = random() < 0.6;
		const work = 60 + (80 * random());
		const machine = isSent ? selectUpstream(machines, [], now) : undefined;
		if (machine !== undefined) {
			machine.load.inFlight += 1;
			answers.push({
				machine, sentAt: now, at: serve(machine, now, work), work,
			});
		}
	}

	return total / count;
}

for (const scenario of replays) {
	test(`told load, replay: ${scenario.name}`, () => {
		const means = [false, true].map(isTold => {
			const seeds = [1, 2, 3, 4, 5, 6];
			return seeds.reduce((sum, seed) => sum + (replay(seed, scenario, isTold) / seeds.length), 0);
		});
		assert.ok(means[1]! <= means[0]! * scenario.most, `seeds 1 to 6: ${means[0]} ms without figures, ${means[1]} ms with them`);
	});
}

test('told load: upstreams that tell nothing are chosen by what is measured', () => {
	const generator = xoroshiro128plus(7);
	const below = (limit: number) => uniformInt(generator, 0, limit - 1);
	for (let round = 0; round < 200; round += 1) {
		const candidates = Array.from({length: 8}, (_, position): UpstreamCandidate => {
			const load = new UpstreamLoad(5);
			load.record(Signal.answered, 20 + below(300), 0);
			load.inFlight = below(2);
			return {
				id: String(position), distance: Distance.sameZone, load, cold: below(4) === 0, isConnected: below(2) === 0,
			};
		});
		const costs = candidates.map(({load, cold, isConnected}) => (isConnected ? 0 : 20) + ((load.inFlight + 1) * load.latency * (cold ? 2 : 1)));
		const cheapest = costs.indexOf(Math.min(...costs));
		assert.equal(selectUpstream(candidates, [], 10)?.id, candidates[cheapest]?.id, `seed 7, round ${round}`);
		candidates[0]!.load.told.record({...idle, slowdown: 50}, 0, -10_000);
		assert.equal(selectUpstream(candidates, [], 10)?.id, candidates[cheapest]?.id, `seed 7, round ${round}, old figures`);
	}
});
