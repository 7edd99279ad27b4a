/** Tests the split of a limit into parts and when a part may grow, and measures what a reserve costs. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	CountedQuantity, defaultContract, defaultCutReserve, LimitScope, type ServiceContract, WindowForm,
} from '@dogwooddeck/model/contract';
import {Divider, type LimitDemand} from '@dogwooddeck/model/share';
import {zipfRates} from './zipf-rates.js';
import {
	admit, createBucket, usedShare, type BucketState,
} from '@dogwooddeck/limits/bucket';
import {updatePart, createPart, availableAmount} from '@dogwooddeck/limits/part-change';
import {controlPart, type LimitPart, zonePart} from '@dogwooddeck/limits/reserve';
import {
	createSharing, createZoneSharing, grantLimitShare, type SharingState,
} from '@dogwooddeck/limits/sharing';
import {type EffectiveLimit} from '@dogwooddeck/limits/unit';

const zones = ['noord-a', 'zuid-a', 'zuid-b'];

function limitOf(amount: number, scope: LimitScope = LimitScope.deployment): EffectiveLimit {
	return {
		amount, intervalMilliseconds: 1000, window: WindowForm.sliding, burst: 1, counts: CountedQuantity.requests, scope,
	};
}

function contractWith(listed: readonly string[]): ServiceContract {
	return {
		...defaultContract, name: 'team/service', prefix: '/', key: {place: 'path', segment: 0}, upstream: {...defaultContract.upstream, zones: listed},
	};
}

const contracted = {name: 'limit', amount: 1, unit: 'piece'};

const splits: ReadonlyArray<{
	readonly name: string;
	readonly amount: number;
	readonly cutReserve?: number;
	readonly listed?: readonly string[];
	readonly scope?: LimitScope;
	readonly zone: number;
	readonly control: number;
}> = [
	{
		name: 'a fifth over three zones, rounded down', amount: 100, cutReserve: 0.2, zone: 6, control: 82,
	},
	{
		name: 'all of it', amount: 100, cutReserve: 1, zone: 33, control: 1,
	},
	{
		name: 'a limit too small for a reserve', amount: 14, cutReserve: 0.2, zone: 0, control: 14,
	},
	{
		name: 'no zone is listed', amount: 100, cutReserve: 0.5, listed: [], zone: 0, control: 100,
	},
	{
		name: 'the zone is not listed', amount: 100, cutReserve: 0.5, listed: ['zuid-a'], zone: 0, control: 50,
	},
	{
		name: 'a zone that is listed twice', amount: 100, cutReserve: 0.5, listed: ['noord-a', 'noord-a'], zone: 50, control: 50,
	},
	{
		name: 'each instance has the whole limit', amount: 100, cutReserve: 0.5, scope: LimitScope.instance, zone: 0, control: 100,
	},
	{
		name: 'a contract without a reserve', amount: 100, zone: 0, control: 100,
	},
];

for (const {
	name, amount, cutReserve, listed = zones, scope, zone, control,
} of splits) {
	test(`reserve: ${name}`, () => {
		const limit = {...contracted, ...(cutReserve === undefined ? {} : {cutReserve})};
		const effective = limitOf(amount, scope);
		assert.equal(zonePart(contractWith(listed), limit, effective, 'noord-a').amount, zone);
		assert.equal(controlPart(contractWith(listed), limit, effective).amount, control);
	});
}

const partChanges: ReadonlyArray<{readonly name: string; readonly part: LimitPart; readonly at: number; readonly expected: number}> = [
	{
		name: 'that grows at the expense of others waits', part: {limit: limitOf(100), amount: 100}, at: 1999, expected: 80,
	},
	{
		name: 'that grows at the expense of others has grown after the wait', part: {limit: limitOf(100), amount: 100}, at: 2000, expected: 100,
	},
	{
		name: 'that grows with the whole limit grows at once', part: {limit: limitOf(200), amount: 160}, at: 1000, expected: 160,
	},
	{
		name: 'that shrinks does so at once', part: {limit: limitOf(100), amount: 50}, at: 1000, expected: 50,
	},
];

for (const {
	name, part, at, expected,
} of partChanges) {
	test(`reserve: a part ${name}`, () => {
		const first = createPart({limit: limitOf(100), amount: 80}, 0, 0);
		assert.equal(availableAmount(updatePart(first, part, 1000, 1000), at), expected);
	});
}

const stepMilliseconds = 20;
const demandMilliseconds = 500;
const instances = 9;
/** The interval at which the busiest instance changes. */
const busiestMilliseconds = 30_000;
/** Earlier, a zone's steward divides nothing. */
const measuredFrom = 30_000;
const measuredMilliseconds = 120_000;

type Grant = {readonly amount: number; readonly until: number};
type SimulatedInstance = {readonly zone: string; bucket: BucketState; wanted: number; readonly grants: Record<Divider, Grant>};

/** Simulates nine instances in three zones that use one limit. The only fault is the partition of one zone. */
class ShareSimulation {
	admitted = 0;
	zoneAdmitted = 0;
	offered = 0;
	readonly #contract = contractWith(zones);
	readonly #limit = limitOf(900);
	readonly #cutReserve: number;
	readonly #sharings = new Map<string, SharingState>([[Divider.control, createSharing(0, [])], ...zones.map(zone => [zone, createZoneSharing(0)] as const)]);
	readonly #instances: readonly SimulatedInstance[] = Array.from({length: instances}, (_, number) => ({
		zone: zones[Math.floor(number / 3)]!, bucket: createBucket(this.#limit), wanted: 0, grants: {[Divider.control]: {amount: 0, until: 0}, [Divider.zone]: {amount: 0, until: 0}},
	}));

	#fractionalRequests = 0;

	constructor(cutReserve: number) {
		this.#cutReserve = cutReserve;
	}

	run(load: number, partitionedZone: string | undefined): void {
		for (let now = 1; now < measuredFrom + measuredMilliseconds; now += stepMilliseconds) {
			for (const [number, rate] of zipfRates(instances, 900 * load, Math.floor(now / busiestMilliseconds)).entries()) {
				const instance = this.#instances[number]!;
				this.#serve(instance, rate, now);
				if ((now + (number * 60)) % demandMilliseconds < stepMilliseconds) {
					this.#demand(instance, `i${number}`, now, partitionedZone);
				}
			}
		}
	}

	#held({grants}: SimulatedInstance, divider: Divider, now: number): number {
		return now < grants[divider].until ? grants[divider].amount : 0;
	}

	#serve(instance: SimulatedInstance, rate: number, now: number): void {
		this.#fractionalRequests += rate * stepMilliseconds / 1000;
		const requests = Math.floor(this.#fractionalRequests);
		this.#fractionalRequests -= requests;
		const decay = stepMilliseconds / demandMilliseconds;
		instance.wanted = (instance.wanted * (1 - decay)) + (rate * decay);
		const share = this.#held(instance, Divider.control, now) + this.#held(instance, Divider.zone, now);
		for (let request = 0; request < requests; request++) {
			const {state, admitted} = admit(instance.bucket, now, now, 1, share);
			instance.bucket = state;
			const counts = now >= measuredFrom;
			this.offered += counts ? 1 : 0;
			this.admitted += counts && admitted ? 1 : 0;
			this.zoneAdmitted += counts && admitted && instance.zone === 'zuid-b' ? 1 : 0;
		}
	}

	#demand(instance: SimulatedInstance, holder: string, now: number, partitionedZone: string | undefined): void {
		const limit = {...contracted, cutReserve: this.#cutReserve};
		const isPartitioned = instance.zone === partitionedZone && now >= measuredFrom - 20_000;
		this.#requestShare(instance, Divider.zone, {sharing: instance.zone, part: zonePart(this.#contract, limit, this.#limit, instance.zone), count: 3}, holder, now);
		if (!isPartitioned) {
			this.#requestShare(instance, Divider.control, {sharing: Divider.control, part: controlPart(this.#contract, limit, this.#limit), count: instances}, holder, now);
		}
	}

	#requestShare(instance: SimulatedInstance, divider: Divider, from: {readonly sharing: string; readonly part: LimitPart; readonly count: number}, holder: string, now: number): void {
		const held = this.#held(instance, divider, now);
		const reserved = divider === Divider.control ? this.#held(instance, Divider.zone, now) : 0;
		const demand: LimitDemand = {
			service: 'team/service', limit: 'limit', caller: '', divider, holder, sequence: now, held,
			wanted: Math.max(1, instance.wanted - reserved), usable: Math.max(held, usedShare(instance.bucket, now, now, 0)),
		};
		const {state, share} = grantLimitShare(this.#sharings.get(from.sharing)!, demand, from.part, from.count, now);
		this.#sharings.set(from.sharing, state);
		instance.grants[divider] = {amount: share!.amount, until: now + share!.validMilliseconds};
	}
}

const possible = 900 * measuredMilliseconds / 1000;

for (const cutReserve of [0, 0.1, defaultCutReserve, 0.5]) {
	test(`reserve: what a reserve of ${cutReserve} costs, and what a partitioned zone can use`, context => {
		for (const load of [0.5, 0.9, 2]) {
			const simulation = new ShareSimulation(cutReserve);
			simulation.run(load, undefined);
			const used = simulation.admitted / Math.min(possible, simulation.offered);
			context.diagnostic(`reserve ${cutReserve}, load ${load}: ${(100 * used).toFixed(1)}% of what could be admitted`);
			assert.ok(used > 0.6 && simulation.admitted <= possible + 900, `${used}`);
		}

		const isolated = new ShareSimulation(cutReserve);
		isolated.run(2, 'zuid-b');
		context.diagnostic(`reserve ${cutReserve}, partition: zone ${(100 * isolated.zoneAdmitted / possible).toFixed(1)}% of the limit, total ${(100 * isolated.admitted / possible).toFixed(1)}%`);
		assert.ok(isolated.zoneAdmitted <= possible * cutReserve / 3 * 1.01);
	});
}
