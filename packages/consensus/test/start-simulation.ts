/**
 * Starts simulations whose voters have elected a leader.
 */
import assert from 'node:assert/strict';
import {noFaults} from './faults.js';
import {Simulation} from './simulation.js';

/** Three voters. */
export const threeNames = ['a', 'b', 'c'];
/** Five voters. */
export const fiveNames = ['a', 'b', 'c', 'd', 'e'];

/** Starts a simulation and runs it until there is a leader with a committed voter set. */
export function startSimulation(seed: number, names: readonly string[]): Simulation {
	const simulation = new Simulation(seed, names);
	assert.ok(simulation.run(5000, noFaults, () => simulation.isVoterSetComplete()), 'no leader');
	return simulation;
}

/** Proposes entries one after the other, and waits until they are accepted. */
export function proposeMany(simulation: Simulation, count: number): void {
	for (let done = 0; done < count; done++) {
		simulation.propose(simulation.leader()!);
		simulation.run(20);
	}

	simulation.run(500);
}
