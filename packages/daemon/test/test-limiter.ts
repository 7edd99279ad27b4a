/**
 * The limiter of an instance with the distribution of shares by control, on the paused
 * clock: demands and answers that are delayed, lost or reordered.
 */
import assert from 'node:assert/strict';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {mock, test} from 'node:test';
import {createSharing, grantLimitShare, type SharingState} from '@dogwooddeck/limits/sharing';
import {effectiveLimit} from '@dogwooddeck/limits/unit';
import {type LimitDemand, type LimitShare} from '@dogwooddeck/model/share';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {createLimiter, type Limiter} from '../src/limiter.js';
import {limitedContract} from './limited-contract.js';
import {maximumInSlidingWindow} from './sliding-window.js';
import {type NetworkFaults, SimulatedNetwork} from './simulated-network.js';

const amount = 200;
const windowMilliseconds = 10_000;
const head = {method: 'GET', path: '/schedule/verge-1', headers: {}};
const contract = limitedContract({limit: {amount}, unit: {intervalMilliseconds: windowMilliseconds}});
const limit = effectiveLimit(contract.limits[0]!, contract.units).unwrapOrElse(why => assert.fail(why.detail));

let now = 0;

function onPausedClock(run: () => void): void {
	now = 1_000_000;
	mock.method(performance, 'now', () => now);
	mock.method(Date, 'now', () => now);
	try {
		run();
	} finally {
		mock.reset();
	}
}

function limiterOf(name: string): Limiter {
	return createLimiter({name, incarnation: 1, zone: 'noord-a'}, () => undefined);
}

function answer({service, limit: name, caller, holder, sequence}: LimitDemand, granted: number): LimitShare {
	return {
		service, limit: name, caller, holder, sequence, amount: granted, validMilliseconds: 15_000,
	};
}

function admits(limiter: Limiter): boolean {
	return limiter.admit(contract, head, true).isOk;
}

const cases: ReadonlyArray<{readonly name: string; readonly run: (limiter: Limiter) => void}> = [
	{
		name: 'a request waits for the first share',
		run(limiter) {
			assert.equal(admits(limiter), false);
			const [demand] = limiter.takeDemands();
			limiter.applyShares([answer(demand!, 1)]);
			assert.equal(admits(limiter), true);
			assert.equal(admits(limiter), false);
		},
	},
	{
		name: 'one demand is in flight at a time',
		run(limiter) {
			admits(limiter);
			assert.equal(limiter.takeDemands().length, 1);
			now += 1000;
			assert.equal(limiter.takeDemands().length, 0);
		},
	},
	{
		name: 'a demand without an answer is repeated',
		run(limiter) {
			admits(limiter);
			const [first] = limiter.takeDemands();
			now += 5000;
			const [second] = limiter.takeDemands();
			assert.ok(second!.sequence > first!.sequence);
		},
	},
	{
		name: 'only an answer to the newest demand is applied: control no longer counts the share that it granted for an earlier one',
		run(limiter) {
			admits(limiter);
			const [first] = limiter.takeDemands();
			now += 5000;
			const [second] = limiter.takeDemands();
			limiter.applyShares([answer(first!, 100)]);
			assert.equal(admits(limiter), false);
			limiter.applyShares([answer(second!, 1)]);
			assert.equal(admits(limiter), true);
			assert.equal(admits(limiter), false);
		},
	},
	{
		name: 'an exhausted share that was granted for a small demand is requested again at once',
		run(limiter) {
			admits(limiter);
			limiter.applyShares([answer(limiter.takeDemands()[0]!, 2)]);
			assert.deepEqual([admits(limiter), admits(limiter), admits(limiter)], [true, true, false]);
			assert.equal(limiter.lacksShares(), true);
			assert.equal(limiter.takeDemands()[0]!.wanted, 3);
		},
	},
];

for (const {name, run} of cases) {
	test(`limiter: ${name}`, () => {
		onPausedClock(() => {
			run(limiterOf('entry-1'));
		});
	});
}

const stepMilliseconds = 20;
const renewMilliseconds = 240;
const renewLackingMilliseconds = 60;
const durationMilliseconds = 60_000;
const instances = 4;
const busyMilliseconds = 7000;

type Faults = NetworkFaults & {
	/** When a new leader starts, in milliseconds from the start. */
	readonly newLeaderAt?: number;
};

/** Instances that send their demands to one leader. */
class Instances {
	/** The times at which requests were admitted. */
	readonly admitted: number[] = [];
	readonly #limiters = Array.from({length: instances}, (_, number) => limiterOf(`entry-${number}`));
	readonly #lastRequestAt = this.#limiters.map(() => -Infinity);
	readonly #start = now;
	readonly #faults: Faults;
	readonly #pick: (below: number) => number;
	readonly #network: SimulatedNetwork;
	#sharing: SharingState = createSharing(now, []);

	constructor(seed: number, faults: Faults) {
		const random = xoroshiro128plus(seed);
		this.#pick = below => uniformInt(random, 0, below - 1);
		this.#faults = faults;
		this.#network = new SimulatedNetwork(faults, this.#pick);
	}

	play(): void {
		for (; now < this.#start + durationMilliseconds; now += stepMilliseconds) {
			if (now - this.#start === this.#faults.newLeaderAt) {
				this.#sharing = createSharing(now, [contract.name]);
			}

			this.#network.deliver(now);
			for (const number of this.#limiters.keys()) {
				this.#request(number);
				this.#renew(number);
			}
		}
	}

	#request(number: number): void {
		const busy = Math.floor((now - this.#start) / busyMilliseconds) % instances;
		for (let request = this.#pick(number === busy ? 6 : 2); request > 0; request--) {
			this.admitted.push(...admits(this.#limiters[number]!) ? [now] : []);
		}
	}

	#renew(number: number): void {
		const limiter = this.#limiters[number]!;
		if (now >= this.#lastRequestAt[number]! + (limiter.lacksShares() ? renewLackingMilliseconds : renewMilliseconds)) {
			this.#lastRequestAt[number] = now;
			for (const demand of limiter.takeDemands()) {
				this.#network.send(now, () => {
					this.#answer(limiter, demand);
				});
			}
		}
	}

	#answer(limiter: Limiter, demand: LimitDemand): void {
		const {state, share} = grantLimitShare(this.#sharing, demand, {limit, amount}, instances, now);
		this.#sharing = state;
		if (share !== undefined) {
			this.#network.send(now, () => {
				limiter.applyShares([share]);
			});
		}
	}
}

const seed = Number(process.env.SEED ?? 1);
const runs = 5;

const schedules: ReadonlyArray<{readonly name: string; readonly faults: Faults}> = [
	{name: 'quick answers', faults: {delayMilliseconds: 20, loss: 0}},
	{name: 'reordered answers', faults: {delayMilliseconds: 800, loss: 0}},
	{name: 'slow answers', faults: {delayMilliseconds: 4000, loss: 0}},
	{name: 'loss', faults: {delayMilliseconds: 400, loss: 20}},
	{name: 'a new leader', faults: {delayMilliseconds: 800, loss: 5, newLeaderAt: 20_000}},
];

for (const {name, faults} of schedules) {
	test(`limiters: no window exceeds the contract: ${name} (seeds from ${seed})`, () => {
		for (let run = 0; run < runs; run++) {
			onPausedClock(() => {
				const deployment = new Instances(seed + run, faults);
				deployment.play();
				const {admitted} = deployment;
				const most = maximumInSlidingWindow(admitted, windowMilliseconds);
				assert.ok(admitted.length > amount && most <= amount, `${most} of ${amount} in one window, seed ${seed + run}`);
			});
		}
	});
}
