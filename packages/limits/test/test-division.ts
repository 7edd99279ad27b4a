/**
 * Simulates a limit divided on two levels (control among zones, stewards among
 * instances) with lost and delayed answers, lost holders, partitioned zones and
 * replaced dividers. Checks that no window ever admits more than the contract.
 */
import assert from 'node:assert/strict';
import process from 'node:process';
import {test} from 'node:test';
import {CountedQuantity, LimitScope, WindowForm} from '@dogwooddeck/model/contract';
import fc from 'fast-check';
import {zipfRates} from './zipf-rates.js';
import {
	admit, createBucket, usedShare, type BucketState,
} from '@dogwooddeck/limits/bucket';
import {
	createDivision, createFirstDivision, stepDivision, reportedUsable, type DivisionOptions, type DivisionState,
} from '@dogwooddeck/limits/division';
import {windowMilliseconds, type EffectiveLimit} from '@dogwooddeck/limits/unit';

const stepMilliseconds = 20;
const renewMilliseconds = 500;
/** The maximum difference between the wall clocks of instances. */
const skewMilliseconds = 200;
const zones = 3;
const instancesInZone = 3;
const instances = zones * instancesInZone;

type Share = {readonly amount: number; readonly until: number};
type Use = {readonly at: number; readonly wall: number; readonly cost: number};

type Faults = {readonly loss: number; readonly lostHolder: number; readonly newDivider: number; readonly partitionedZone: number; readonly delay: number};

const noShare: Share = {amount: 0, until: 0};

function limitOf(window: WindowForm, intervalMilliseconds: number, burst: number, amount: number): EffectiveLimit {
	return {
		amount, intervalMilliseconds, window, burst, counts: CountedQuantity.requests, scope: LimitScope.deployment,
	};
}

function optionsFor(limit: EffectiveLimit): DivisionOptions {
	return {
		shareMilliseconds: 2000, windowMilliseconds: windowMilliseconds(limit), marginMilliseconds: skewMilliseconds, floorRatio: 0.2, reserveRatio: 0.1, headroomRatio: 1.5,
	};
}

/** Returns a generator of pseudorandom numbers in [0, 1), seeded by fast-check. */
function randomOf(seed: number): () => number {
	let state = (seed * 2_654_435_761) % 4_294_967_296;
	return () => {
		state = ((state * 1_664_525) + 1_013_904_223) % 4_294_967_296;
		return state / 4_294_967_296;
	};
}

class Deployment {
	now = 10_000;
	readonly uses: Use[] = [];
	offered = 0;
	readonly #limit: EffectiveLimit;
	readonly #random: () => number;
	readonly #faults: Faults;
	#control: DivisionState;
	readonly #stewards: DivisionState[];
	readonly #zoneShares: Share[] = Array.from({length: zones}, () => noShare);
	readonly #shares: Share[] = Array.from({length: instances}, () => noShare);
	readonly #buckets: BucketState[];
	readonly #wanted: number[] = Array.from({length: instances}, () => 0);
	readonly #skews: readonly number[];
	readonly #downUntil: number[] = Array.from({length: instances}, () => 0);
	readonly #sequences = new Map<string, number>();
	readonly #partitionedUntil: number[] = Array.from({length: zones}, () => 0);
	readonly #incarnations: number[] = Array.from({length: instances}, () => 0);
	readonly #answers: Array<{readonly at: number; readonly accept: () => unknown}> = [];

	constructor(limit: EffectiveLimit, seed: number, faults: Faults) {
		this.#limit = limit;
		this.#random = randomOf(seed);
		this.#faults = faults;
		this.#control = createFirstDivision(optionsFor(limit), limit.amount, Infinity, this.now);
		this.#stewards = this.#zoneShares.map(() => createFirstDivision(optionsFor(limit), 0, 0, this.now));
		this.#skews = this.#shares.map(() => this.#random() * skewMilliseconds);
		this.#buckets = this.#shares.map(() => createBucket(limit));
	}

	/** Advances the simulation by one step. `rates` are the requests per interval at each instance. */
	step(rates: readonly number[]): void {
		this.now += stepMilliseconds;
		for (const {accept} of this.#answers.filter(({at}) => at <= this.now)) {
			accept();
		}

		this.#answers.splice(0, this.#answers.length, ...this.#answers.filter(({at}) => at > this.now));
		this.#injectFaults();
		for (const [instance, rate] of rates.entries()) {
			this.#serve(instance, rate);
			this.#renew(instance);
		}

		for (let zone = 0; zone < zones; zone++) {
			this.#renewZone(zone);
		}
	}

	#serve(instance: number, rate: number): void {
		const exact = rate * stepMilliseconds / this.#limit.intervalMilliseconds;
		const requests = Math.floor(exact) + (this.#random() < exact % 1 ? 1 : 0);
		const decay = stepMilliseconds / renewMilliseconds;
		this.#wanted[instance] = (this.#wanted[instance]! * (1 - decay)) + (requests * this.#limit.intervalMilliseconds / stepMilliseconds * decay);
		const share = this.#inForce(this.#shares[instance]!);
		const wall = this.now + this.#skews[instance]!;
		const isUp = this.now >= this.#downUntil[instance]!;
		this.offered += isUp ? requests : 0;
		for (let request = isUp ? 0 : requests; request < requests; request++) {
			const {state, admitted} = admit(this.#buckets[instance]!, wall, this.now, 1, share);
			this.#buckets[instance] = state;
			this.uses.push(...admitted ? [{at: this.now, wall, cost: 1}] : []);
		}
	}

	#inForce({amount, until}: Share): number {
		return until > this.now ? amount : 0;
	}

	#isDelivered(): boolean {
		return this.#random() >= this.#faults.loss;
	}

	#nextSequence(holder: string): number {
		const sequence = (this.#sequences.get(holder) ?? 0) + 1;
		this.#sequences.set(holder, sequence);
		return sequence;
	}

	/** Delivers an answer with a delay, or loses it. Only the answer to the latest request is accepted. */
	#deliverLater(holder: string, accept: () => unknown): void {
		const sequence = this.#sequences.get(holder);
		if (this.#isDelivered()) {
			this.#answers.push({
				at: this.now + (this.#random() * this.#faults.delay),
				accept: () => this.#sequences.get(holder) === sequence && accept(),
			});
		}
	}

	#renew(instance: number): void {
		const zone = Math.floor(instance / instancesInZone);
		const due = (this.now + (instance * 60)) % renewMilliseconds < stepMilliseconds;
		if (due && this.now >= this.#downUntil[instance]!) {
			const sentAt = this.now;
			const held = this.#inForce(this.#shares[instance]!);
			const holder = `i${instance}/${this.#incarnations[instance]}`;
			const usable = Math.max(held, usedShare(this.#buckets[instance]!, this.now + this.#skews[instance]!, this.now, skewMilliseconds));
			const {state, effects: [granted]} = stepDivision(this.#stewards[zone]!, {
				kind: 'shareRequested', now: this.now, holder, sequence: this.#nextSequence(holder), wanted: this.#wanted[instance]!, held, usable, expected: instancesInZone,
			});
			this.#stewards[zone] = state;
			const incarnation = this.#incarnations[instance];
			this.#deliverLater(holder, () => {
				if (incarnation === this.#incarnations[instance]) {
					this.#shares[instance] = {amount: granted!.amount, until: sentAt + granted!.validMilliseconds};
				}
			});
		}
	}

	#renewZone(zone: number): void {
		if (this.now < this.#partitionedUntil[zone]! || (this.now + (zone * 100)) % renewMilliseconds >= stepMilliseconds) {
			return;
		}

		const sentAt = this.now;
		const held = this.#inForce(this.#zoneShares[zone]!);
		const holder = `z${zone}`;
		const wanted = this.#wanted.slice(zone * instancesInZone, (zone + 1) * instancesInZone).reduce((sum, one) => sum + one, 0);
		const {state, effects: [granted]} = stepDivision(this.#control, {
			kind: 'shareRequested', now: this.now, holder, sequence: this.#nextSequence(holder), wanted, held, usable: reportedUsable(this.#stewards[zone]!, this.now), expected: zones,
		});
		this.#control = state;
		this.#deliverLater(holder, () => {
			const share = {amount: granted!.amount, until: sentAt + granted!.validMilliseconds};
			this.#zoneShares[zone] = share;
			this.#stewards[zone] = stepDivision(this.#stewards[zone]!, {
				kind: 'amountChanged', now: this.now, amount: share.amount, validUntil: share.until,
			}).state;
		});
	}

	#injectFaults(): void {
		const options = optionsFor(this.#limit);
		if (this.#random() < this.#faults.lostHolder) {
			const instance = Math.floor(this.#random() * instances);
			this.#downUntil[instance] = this.now + (this.#random() * 8000);
			this.#shares[instance] = noShare;
			this.#incarnations[instance]!++;
			this.#buckets[instance] = createBucket(this.#limit);
		}

		if (this.#random() < this.#faults.partitionedZone) {
			this.#partitionedUntil[Math.floor(this.#random() * zones)] = this.now + (this.#random() * 10_000);
		}

		if (this.#random() < this.#faults.newDivider) {
			this.#control = createDivision(options, this.#limit.amount, Infinity, this.now);
		}

		if (this.#random() < this.#faults.newDivider) {
			const zone = Math.floor(this.#random() * zones);
			const {amount, until} = this.#zoneShares[zone]!;
			this.#stewards[zone] = createDivision(options, amount, until, this.now);
		}
	}
}

function greatestSliding(uses: readonly Use[], window: number): number {
	let first = 0;
	let sum = 0;
	let greatest = 0;
	for (const {at, cost} of uses) {
		sum += cost;
		while (uses[first]!.at <= at - window) {
			sum -= uses[first]!.cost;
			first++;
		}

		greatest = Math.max(greatest, sum);
	}

	return greatest;
}

function greatestFixed(uses: readonly Use[], window: number): number {
	const sums = new Map<number, number>();
	for (const {wall, cost} of uses) {
		const number = Math.floor(wall / window);
		sums.set(number, (sums.get(number) ?? 0) + cost);
	}

	return Math.max(0, ...sums.values());
}

const greatestUse = {[WindowForm.sliding]: greatestSliding, [WindowForm.fixed]: greatestFixed} as const;

const seed = Number(process.env.SEED ?? 1);
const runs = Number(process.env.RUNS ?? 25);

const severeFaults: Faults = {
	loss: 0.2, lostHolder: 0.005, newDivider: 0.002, partitionedZone: 0.003, delay: 300,
};

const contracts: ReadonlyArray<{readonly name: string; readonly limit: EffectiveLimit}> = [
	{name: 'sliding, 1 s', limit: limitOf(WindowForm.sliding, 1000, 1, 90)},
	{name: 'sliding, 5 s', limit: limitOf(WindowForm.sliding, 5000, 1, 200)},
	{name: 'sliding, 1 s, burst 2', limit: limitOf(WindowForm.sliding, 1000, 2, 90)},
	{name: 'fixed, 1 s', limit: limitOf(WindowForm.fixed, 1000, 1, 90)},
	{name: 'fixed, 5 s', limit: limitOf(WindowForm.fixed, 5000, 1, 200)},
	{name: 'fixed, 1 s, burst 2', limit: limitOf(WindowForm.fixed, 1000, 2, 90)},
	{name: 'sliding, 1 s, fewer than instances', limit: limitOf(WindowForm.sliding, 1000, 1, 5)},
];

for (const {name, limit} of contracts) {
	test(`division: no window has more than the contract: ${name} (seeds from ${seed})`, () => {
		fc.assert(fc.property(fc.integer({min: 0}), deploymentSeed => {
			const deployment = new Deployment(limit, deploymentSeed, severeFaults);
			const random = randomOf(deploymentSeed + 1);
			let rates = zipfRates(instances, limit.amount * 3, 0);
			for (let step = 0; step < 3000; step++) {
				rates = random() < 0.01 ? zipfRates(instances, limit.amount * random() * 6, Math.floor(random() * instances)) : rates;
				deployment.step(rates);
			}

			assert.ok(deployment.uses.length > 0);
			const used = greatestUse[limit.window](deployment.uses, windowMilliseconds(limit));
			assert.ok(used <= limit.amount * limit.burst, `${used} in one window of ${limit.amount * limit.burst}`);
		}), {seed, numRuns: runs, endOnFailure: true});
	});
}

test('division: an outdated request changes nothing', () => {
	const first = createFirstDivision(optionsFor(limitOf(WindowForm.fixed, 1000, 1, 10)), 10, Infinity, 0);
	const request = {
		kind: 'shareRequested', now: 1, holder: 'a', sequence: 2, wanted: 8, held: 0, usable: 0, expected: 1,
	} as const;
	const {state, effects} = stepDivision(first, request);
	assert.equal(effects[0]?.amount, 10);
	for (const sequence of [1, 2]) {
		assert.deepEqual(stepDivision(state, {...request, sequence}), {state, effects: []});
	}
});

/** The admitted fractions of the load that could have been admitted, over 2 minutes in which the busiest instance changes every 30 s. */
function admittedFractions(limit: EffectiveLimit, load: number): {readonly divided: number; readonly equal: number} {
	const deployment = new Deployment(limit, 7, {
		loss: 0, lostHolder: 0, newDivider: 0, partitionedZone: 0, delay: 5,
	});
	let equal = 0;
	const duration = 120_000;
	for (let elapsed = 0; elapsed < duration; elapsed += stepMilliseconds) {
		const rates = zipfRates(instances, limit.amount * load, Math.floor(elapsed / 30_000));
		deployment.step(rates);
		equal += rates.reduce((sum, rate) => sum + Math.min(rate, limit.amount / instances), 0) * stepMilliseconds / limit.intervalMilliseconds;
	}

	const possible = Math.min(deployment.offered, limit.amount * duration / limit.intervalMilliseconds);
	return {divided: deployment.uses.length / possible, equal: equal / possible};
}

const skewedLoads: ReadonlyArray<{readonly name: string; readonly limit: EffectiveLimit; readonly load: number; readonly least: number}> = [
	{
		name: 'sliding, 1 s, load 0.5', limit: limitOf(WindowForm.sliding, 1000, 1, 900), load: 0.5, least: 0.9,
	},
	{
		name: 'sliding, 1 s, load 0.9', limit: limitOf(WindowForm.sliding, 1000, 1, 900), load: 0.9, least: 0.85,
	},
	{
		name: 'sliding, 1 s, load 2', limit: limitOf(WindowForm.sliding, 1000, 1, 900), load: 2, least: 0.85,
	},
	{
		name: 'fixed, 10 s, load 0.9', limit: limitOf(WindowForm.fixed, 10_000, 1, 900), load: 0.9, least: 0.6,
	},
];

for (const {name, limit, load, least} of skewedLoads) {
	test(`division: skewed load can use the contract: ${name}`, context => {
		const {divided, equal} = admittedFractions(limit, load);
		context.diagnostic(`${name}: equal shares ${(100 * equal).toFixed(1)}%, divided by demand ${(100 * divided).toFixed(1)}% of what could be admitted`);
		assert.ok(divided >= least && divided > equal, `${divided}`);
	});
}
