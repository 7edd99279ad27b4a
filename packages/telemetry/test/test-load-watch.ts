import assert from 'node:assert/strict';
import {test} from 'node:test';
import {EventName} from '@dogwooddeck/telemetry/event';
import {startLoadWatch} from '@dogwooddeck/telemetry/load-watch';
import {type Fields, type Log} from '@dogwooddeck/telemetry/log';
import {createMeasures} from '@dogwooddeck/telemetry/measure';

type Line = {readonly name: EventName; readonly fields: Fields};

const cases: ReadonlyArray<{readonly name: string; readonly lateBy: readonly number[]; readonly loggedDelays: readonly number[]}> = [
	{name: 'on time', lateBy: [0, 0, 0], loggedDelays: []},
	{name: 'late by less than the logged minimum', lateBy: [0, 150, 0], loggedDelays: []},
	{name: 'late once', lateBy: [0, 400, 0], loggedDelays: [400]},
	{name: 'late again within a second', lateBy: [400, 400], loggedDelays: [400]},
	{name: 'late again after a second', lateBy: [400, 1100, 400], loggedDelays: [400, 1100]},
];

for (const {name, lateBy, loggedDelays} of cases) {
	test(`load watch: a loop that is ${name}`, context => {
		let now = 1000;
		const lines: Line[] = [];
		const recordLine = (event: EventName, fields: Fields = {}) => {
			lines.push({name: event, fields});
		};

		const log: Log = {event: recordLine, warning: recordLine, error: () => undefined};
		context.mock.timers.enable({apis: ['setInterval']});
		context.mock.method(performance, 'now', () => now);
		const watch = startLoadWatch(log, createMeasures());
		for (const late of lateBy) {
			now += 50 + late;
			context.mock.timers.tick(50);
		}

		watch.stop();
		assert.deepEqual(lines.filter(line => line.name === EventName.loopLate).map(({fields}) => fields.lateBy), loggedDelays);
	});
}

test('load watch: logs the resource use of the process, and additional fields', context => {
	let now = 1000;
	const lines: Line[] = [];
	const log: Log = {
		event(name, fields = {}) {
			lines.push({name, fields});
		},
		warning: () => undefined,
		error: () => undefined,
	};
	context.mock.timers.enable({apis: ['setInterval']});
	context.mock.method(performance, 'now', () => now);
	const watch = startLoadWatch(log, createMeasures(), () => ({callsTaken: 7}));
	now += 5000;
	context.mock.timers.tick(5000);
	watch.stop();
	assert.deepEqual(lines.map(({name, fields}) => [name, fields.callsTaken]), [[EventName.instanceLoad, 7]]);
	assert.match(String(lines[0]?.fields.cores), /^\d+\.\d{3}$/v);
});
