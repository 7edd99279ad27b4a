import assert from 'node:assert/strict';
import {performance} from 'node:perf_hooks';
import {mock, test} from 'node:test';
import {
	leastWaitMilliseconds, longestWaitMilliseconds, startDueTimer,
} from '@dogwooddeck/clock/due';

type Case = {
	readonly name: string;
	/** When the work is due, at a moment and after so many runs. */
	readonly dueAt: (now: number, runs: number) => number;
	/** When something happens. */
	readonly eventsAt?: readonly number[];
	readonly stopsAt?: number;
	readonly until: number;
	readonly expected: readonly number[];
};

const cases: readonly Case[] = [
	{
		name: 'runs when the work is due, and waits for the next moment', dueAt: (_now, runs) => [30, 100, 101][runs] ?? Infinity, until: 200, expected: [30, 100, 105],
	},
	{
		name: 'waits no longer than the longest wait', dueAt: () => Infinity, until: 2 * longestWaitMilliseconds, expected: [longestWaitMilliseconds, 2 * longestWaitMilliseconds],
	},
	{
		name: 'rests between two runs of work that stays due', dueAt: () => -Infinity, until: 3 * leastWaitMilliseconds, expected: [5, 10, 15],
	},
	{
		name: 'an event brings the work forward', dueAt: now => now >= 40 && now < 60 ? 60 : Infinity, eventsAt: [40], until: 100, expected: [60],
	},
	{
		name: 'an event that puts the work off leaves the wait as it is', dueAt: now => now < 40 ? 60 : 500, eventsAt: [40], until: 100, expected: [60],
	},
	{
		name: 'a flood of events does not hold the work up',
		dueAt: () => -Infinity,
		eventsAt: Array.from({length: 12}, (_, number) => number),
		until: 12,
		expected: [5, 10],
	},
	{
		name: 'nothing runs once it was stopped', dueAt: () => 30, eventsAt: [25], stopsAt: 20, until: 300, expected: [],
	},
];

for (const {name, dueAt, eventsAt = [], stopsAt = Infinity, until, expected} of cases) {
	test(`due timer: ${name}`, () => {
		let now = 0;
		mock.timers.enable({apis: ['setTimeout']});
		mock.method(performance, 'now', () => now);
		const runs: number[] = [];
		const timer = startDueTimer({
			dueAt: at => dueAt(at, runs.length),
			run() {
				runs.push(now);
			},
		});
		for (now = 1; now <= until; now++) {
			mock.timers.tick(1);
			if (now === stopsAt) {
				timer.stop();
			}

			if (eventsAt.includes(now)) {
				timer.arm();
			}
		}

		timer.stop();
		mock.reset();
		mock.timers.reset();
		assert.deepEqual(runs, expected);
	});
}
