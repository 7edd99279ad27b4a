import assert from 'node:assert/strict';
import {performance} from 'node:perf_hooks';
import {mock, test} from 'node:test';
import {
	minimumWaitMilliseconds, maximumWaitMilliseconds, startDueTimer,
} from '@dogwooddeck/clock/due';

type Case = {
	readonly name: string;
	/** Returns when the work is due, from the current time and the number of runs so far. */
	readonly dueAt: (now: number, runs: number) => number;
	/** When `arm` is called. */
	readonly eventsAt?: readonly number[];
	readonly stopsAt?: number;
	readonly until: number;
	readonly expected: readonly number[];
};

const cases: readonly Case[] = [
	{
		name: 'runs when the work is due, and waits for the next due time', dueAt: (_now, runs) => [30, 100, 101][runs] ?? Infinity, until: 200, expected: [30, 100, 105],
	},
	{
		name: 'waits no longer than the longest wait', dueAt: () => Infinity, until: 2 * maximumWaitMilliseconds, expected: [maximumWaitMilliseconds, 2 * maximumWaitMilliseconds],
	},
	{
		name: 'leaves the shortest wait between runs of work that is always due', dueAt: () => -Infinity, until: 3 * minimumWaitMilliseconds, expected: [5, 10, 15],
	},
	{
		name: 'an event makes the wait shorter', dueAt: now => now >= 40 && now < 60 ? 60 : Infinity, eventsAt: [40], until: 100, expected: [60],
	},
	{
		name: 'an event doesn\'t make the wait longer', dueAt: now => now < 40 ? 60 : 500, eventsAt: [40], until: 100, expected: [60],
	},
	{
		name: 'a flood of events doesn\'t delay the work',
		dueAt: () => -Infinity,
		eventsAt: Array.from({length: 12}, (_, number) => number),
		until: 12,
		expected: [5, 10],
	},
	{
		name: 'doesn\'t run after it was stopped', dueAt: () => 30, eventsAt: [25], stopsAt: 20, until: 300, expected: [],
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
