/**
 * Property test of exclusive ownership under seeded schedules of faults.
 */
import assert from 'node:assert/strict';
import process from 'node:process';
import {test} from 'node:test';
import fc from 'fast-check';
import {type Plan} from './actors.js';
import {Schedule} from './schedule.js';

const seed = Number(process.env.SEED ?? 20_261_204);
const runs = Number(process.env.RUNS ?? 25);

type Fault = {readonly kind: keyof typeof faultTable; readonly at: number; readonly milliseconds: number; readonly target: number};

function pause(schedule: Schedule, target: {paused: boolean; proceed: () => void}, milliseconds: number): void {
	target.paused = true;
	schedule.simulation.after(milliseconds, () => {
		target.proceed();
	});
}

function itemAt<Item>(items: readonly Item[], target: number): Item {
	return items[target % items.length]!;
}

function restart(schedule: Schedule, instance: Schedule['instances'][number]): void {
	instance.restart();
	schedule.boot(instance);
}

const faultTable = {
	pauseInstance(schedule: Schedule, fault: Fault) {
		pause(schedule, itemAt(schedule.instances, fault.target), fault.milliseconds);
	},
	pauseVoter(schedule: Schedule, fault: Fault) {
		pause(schedule, itemAt(schedule.leadership.voters, fault.target), fault.milliseconds);
	},
	restartInstance(schedule: Schedule, fault: Fault) {
		restart(schedule, itemAt(schedule.instances, fault.target));
	},
	restartZone(schedule: Schedule, fault: Fault) {
		const zone = itemAt(schedule.plan.zones, fault.target);
		for (const instance of schedule.instances.filter(other => other.zone === zone)) {
			schedule.simulation.after(schedule.simulation.random() * 300, () => {
				restart(schedule, instance);
			});
		}
	},
	freezeUpstream(schedule: Schedule, fault: Fault) {
		const upstream = itemAt(schedule.upstreams, fault.target);
		pause(schedule, upstream, fault.milliseconds);
		schedule.simulation.after(1000, () => {
			schedule.leadership.lost.add(upstream.name);
		});
		schedule.simulation.after(fault.milliseconds + 1000, () => {
			schedule.leadership.lost.delete(upstream.name);
		});
	},
	partitionZone(schedule: Schedule, fault: Fault) {
		schedule.simulation.partition([itemAt(schedule.plan.zones, fault.target)], fault.milliseconds);
	},
	partitionRegion(schedule: Schedule, fault: Fault) {
		const region = itemAt(schedule.plan.zones, fault.target)[0];
		schedule.simulation.partition(schedule.plan.zones.filter(zone => zone.startsWith(region!)), fault.milliseconds);
	},
	partitionInstance(schedule: Schedule, fault: Fault) {
		schedule.simulation.partition([itemAt(schedule.instances, fault.target).name], fault.milliseconds);
	},
	pauseSteward(schedule: Schedule, fault: Fault) {
		const stewards = schedule.instances.filter(instance => instance.steward.electedAt !== undefined);
		if (stewards.length > 0) {
			pause(schedule, itemAt(stewards, fault.target), fault.milliseconds);
		}
	},
	depose(schedule: Schedule) {
		schedule.leadership.depose();
	},
};

const kinds = Object.keys(faultTable) as Array<keyof typeof faultTable>;
const faultArbitrary: fc.Arbitrary<Fault> = fc.record({
	kind: fc.constantFrom(...kinds),
	at: fc.integer({min: 5000, max: 18_000}),
	milliseconds: fc.integer({min: 50, max: 6000}),
	target: fc.nat({max: 100}),
});

const topologies: ReadonlyArray<{readonly name: string; readonly plan: Omit<Plan, 'seed'>}> = [
	{
		name: 'three zones of three instances in two regions',
		plan: {
			zones: ['n1', 'n2', 'z1'], perZone: 3, loss: 0.02, moves: 2, driftRatio: 0.01, longestDeadlineMilliseconds: 800,
		},
	},
	{
		name: 'zones of two instances, a lossy network',
		plan: {
			zones: ['n1', 'z1'], perZone: 2, loss: 0.15, moves: 2, driftRatio: 0.01, longestDeadlineMilliseconds: 800,
		},
	},
	{
		name: 'one instance alone',
		plan: {
			zones: ['n1'], perZone: 1, loss: 0.01, moves: 2, driftRatio: 0.01, longestDeadlineMilliseconds: 800,
		},
	},
];

for (const {name, plan} of topologies) {
	test(`schedule: at most one upstream at a time works on a key: ${name} (seed ${seed}, ${runs} runs)`, () => {
		let requests = 0;
		let moves = 0;
		let renewals = 0;
		let supportCalls = 0;
		const property = fc.property(fc.integer({min: 1, max: 1e9}), fc.array(faultArbitrary, {maxLength: 10}), (runSeed, faults) => {
			const schedule = new Schedule({...plan, seed: runSeed});
			for (const fault of faults) {
				schedule.simulation.after(fault.at, () => {
					faultTable[fault.kind](schedule, fault);
				});
			}

			schedule.run(20_000);
			requests += schedule.sentRequests.length;
			moves += schedule.states.length;
			renewals += schedule.renewals;
			supportCalls += schedule.supportCalls;
			assert.equal(schedule.violations[0], undefined);
		});
		fc.assert(property, {
			seed, numRuns: runs, endOnFailure: true, includeErrorInReport: true,
		});
		console.log(`${name}: ${requests} requests sent, ${moves} log entries, ${renewals} renewals with lease requests, ${supportCalls} calls for support`);
		assert.ok(requests > runs * 100, 'too few requests were sent for a meaningful run');
		assert.ok(plan.perZone === 1 || renewals > supportCalls, 'too few renewals were piggybacked on lease requests');
	});
}
