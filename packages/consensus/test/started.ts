/**
 * Schedules whose voters have a leader, as tests begin with them.
 */
import assert from 'node:assert/strict';
import {calm} from './faults.js';
import {Schedule} from './schedule.js';

/** Three voters. */
export const names3 = ['a', 'b', 'c'];
/** Five voters. */
export const names5 = ['a', 'b', 'c', 'd', 'e'];

/** A schedule whose voters have a leader. */
export function started(seed: number, names: readonly string[]): Schedule {
	const schedule = new Schedule(seed, names);
	assert.ok(schedule.run(5000, calm, () => schedule.isWhole()), 'no leader');
	return schedule;
}

/** Proposes one entry after the other, and waits until they are accepted. */
export function proposeMany(schedule: Schedule, count: number): void {
	for (let done = 0; done < count; done++) {
		schedule.propose(schedule.leader()!);
		schedule.run(20);
	}

	schedule.run(500);
}
