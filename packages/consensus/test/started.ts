/**
 * Starts simulations whose voters have elected a leader.
 */
import assert from 'node:assert/strict';
import {noFaults} from './faults.js';
import {Schedule} from './schedule.js';

/** Three voters. */
export const names3 = ['a', 'b', 'c'];
/** Five voters. */
export const names5 = ['a', 'b', 'c', 'd', 'e'];

/** Starts a simulation and runs it until there is a leader with a committed voter set. */
export function started(seed: number, names: readonly string[]): Schedule {
	const schedule = new Schedule(seed, names);
	assert.ok(schedule.run(5000, noFaults, () => schedule.isWhole()), 'no leader');
	return schedule;
}

/** Proposes entries one after the other, and waits until they are accepted. */
export function proposeMany(schedule: Schedule, count: number): void {
	for (let done = 0; done < count; done++) {
		schedule.propose(schedule.leader()!);
		schedule.run(20);
	}

	schedule.run(500);
}
