/**
 * Simulations of voters under random mixes of faults.
 */
import assert from 'node:assert/strict';
import process from 'node:process';
import {test} from 'node:test';
import fc from 'fast-check';
import {noFaults, type Faults} from './faults.js';
import {Simulation} from './simulation.js';
import {threeNames, fiveNames} from './start-simulation.js';

const seed = Number(process.env.SEED ?? 1);
const runs = Number(process.env.RUNS ?? 40);

const mixes: ReadonlyArray<{readonly name: string; readonly names: readonly string[]; readonly faults: Faults}> = [
	{
		name: 'lossy links', names: threeNames, faults: {
			...noFaults, loss: 200, duplication: 100, longDelay: 50, proposals: 200,
		},
	},
	{
		name: 'crashes and partitions', names: threeNames, faults: {
			...noFaults, loss: 50, duplication: 50, longDelay: 20, crash: 8, partition: 6, proposals: 200,
		},
	},
	{
		name: 'crashes and partitions of five voters', names: fiveNames, faults: {
			...noFaults, loss: 50, longDelay: 20, crash: 12, partition: 8, proposals: 200,
		},
	},
	{
		name: 'lost folders and repairs', names: threeNames, faults: {
			...noFaults, loss: 30, longDelay: 20, crash: 3, partition: 3, diskLoss: 10, proposals: 200,
		},
	},
	{
		name: 'links that are partitioned in one direction or both',
		names: threeNames,
		faults: {
			...noFaults, loss: 20, longDelay: 20, crash: 1, linkPartition: 10, proposals: 10,
		},
	},
	{
		name: 'slow disks',
		names: threeNames,
		faults: {
			...noFaults, loss: 50, longDelay: 20, crash: 4, partition: 2, linkPartition: 20, proposals: 300, syncMilliseconds: 250,
		},
	},
	{
		name: 'paused processes and leadership transfers',
		names: threeNames,
		faults: {
			...noFaults, loss: 50, duplication: 50, longDelay: 50, pause: 10, leadershipTransfer: 5, proposals: 200,
		},
	},
];

for (const {name, names, faults} of mixes) {
	test(`schedules: ${name} (seeds from ${seed}, ${runs} runs)`, context => {
		let accepted = 0;
		fc.assert(fc.property(fc.integer({min: 0}), scheduleSeed => {
			const simulation = new Simulation(scheduleSeed, names);
			simulation.run(15_000, faults);
			simulation.converge();
			accepted += simulation.accepted.size;
		}), {seed, numRuns: runs, endOnFailure: true});
		context.diagnostic(`seed ${seed}: ${accepted} proposals accepted in ${runs} schedules`);
		assert.ok(accepted > runs);
	});
}
