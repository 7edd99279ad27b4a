/**
 * Replica lag: which copies are reported as lagging, and for how long.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {EventName} from '@dogwooddeck/telemetry/event';
import {type Log} from '@dogwooddeck/telemetry/log';
import {LagMonitor} from '@dogwooddeck/replica/lag-monitor';

type Measurement = {readonly now: number; readonly applied: number; readonly committed: number};

const cases: ReadonlyArray<{readonly name: string; readonly measurements: readonly Measurement[]; readonly reported: readonly string[]; readonly behindFor: number}> = [
	{
		name: 'a copy that is up to date',
		measurements: [{now: 0, applied: 5, committed: 5}, {now: 5000, applied: 7, committed: 7}],
		reported: [],
		behindFor: 0,
	},
	{
		name: 'a copy that always lacks the newest entries but keeps up',
		measurements: [{now: 0, applied: 5, committed: 8}, {now: 800, applied: 8, committed: 11}, {now: 1600, applied: 11, committed: 14}],
		reported: [],
		behindFor: 0,
	},
	{
		name: 'a copy that falls behind',
		measurements: [{now: 0, applied: 5, committed: 8}, {now: 1000, applied: 5, committed: 9}, {now: 4000, applied: 6, committed: 12}],
		reported: [EventName.replicaBehind],
		behindFor: 4000,
	},
	{
		name: 'a copy that fell behind and caught up',
		measurements: [{now: 0, applied: 5, committed: 8}, {now: 3000, applied: 7, committed: 9}, {now: 3200, applied: 9, committed: 9}],
		reported: [EventName.replicaBehind, EventName.replicaCaughtUp],
		behindFor: 0,
	},
];

for (const {name, measurements, reported, behindFor} of cases) {
	test(`lag: ${name}`, () => {
		const logged: string[] = [];
		const note = (event: string) => {
			logged.push(event);
		};

		const log: Log = {event: note, warning: note, error: note};
		const monitor = new LagMonitor(log);
		const lags = measurements.map(({now, applied, committed}) => monitor.record(applied, committed, now));
		assert.deepEqual(logged, reported);
		assert.equal(lags.at(-1), behindFor);
	});
}
