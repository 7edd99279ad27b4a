import assert from 'node:assert/strict';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {test} from 'node:test';
import {runTool} from './run-tool.js';

const service = 'prefix = "/schedule"\nkey = {place = "path", segment = 0}\n';
const team = 'team = "bermrand"\n';

const cases: ReadonlyArray<{
	readonly name: string;
	readonly files: Readonly<Record<string, string>>;
	readonly code: number;
	/** The lines of the failure; the folder is written as FOLDER. */
	readonly lines: readonly string[];
}> = [
	{
		name: 'no team file',
		files: {'schedule.toml': service},
		code: 3,
		lines: ['settings-invalid:', '  FOLDER/team.toml: the file does not exist'],
	},
	{
		name: 'unknown keys and wrong types, all at once and in both files',
		files: {
			'team.toml': team,
			'booking.toml': 'prefix = "booking"\nkey = {place = "path", segment = 0}\nretry = {attempts = 0, budget = 1, pause = 2}\n',
			'schedule.toml': `${service}slots = "many"\nlongest_deadline = 1500\nsloths = 2\n`,
		},
		code: 3,
		lines: [
			'settings-invalid:',
			'  FOLDER/booking.toml: prefix: expected a path prefix such as "/schedule", with no slash at its end',
			'  FOLDER/booking.toml: retry.attempts: expected a whole number from 1 to 10',
			'  FOLDER/booking.toml: retry.budget: unknown key',
			'  FOLDER/booking.toml: retry.pause: unknown key',
			'  FOLDER/schedule.toml: slots: expected number, found "many"',
			'  FOLDER/schedule.toml: longest_deadline: expected a duration with its unit, such as "1500 ms"',
			'  FOLDER/schedule.toml: sloths: unknown key',
		],
	},
	{
		name: 'no TOML',
		files: {'team.toml': team, 'schedule.toml': 'prefix = \n'},
		code: 3,
		lines: ['settings-invalid:', '  FOLDER/schedule.toml: line 1, column 10: Invalid TOML document: invalid value'],
	},
	{
		name: 'a limit in an undeclared unit',
		files: {'team.toml': team, 'schedule.toml': `${service}limits = [{name = "viewings", amount = 6, unit = "viewblock"}]\n`},
		code: 3,
		lines: ['unit-undeclared:', '  FOLDER/schedule.toml: limits.0.unit: the unit "viewblock" is not declared under units'],
	},
	{
		name: 'overlapping prefixes',
		files: {
			'team.toml': team, 'schedule.toml': service, 'view.toml': service.replace('/schedule', '/schedule/view'),
		},
		code: 3,
		lines: ['settings-invalid:', '  FOLDER/view.toml: prefix: "/schedule/view" overlaps "/schedule" of bermrand/schedule'],
	},
];

for (const {name, files, code, lines} of cases) {
	test(`check: ${name}`, async () => {
		const folder = await mkdtemp(path.join(tmpdir(), 'dogwooddeck-'));
		await Promise.all(Object.entries(files).map(async ([file, text]) => writeFile(path.join(folder, file), text)));
		const ended = await runTool(['check', folder]);
		await rm(folder, {recursive: true});
		assert.deepEqual(ended.stderr.replaceAll(folder, 'FOLDER').trimEnd().split('\n'), lines);
		assert.equal(ended.code, code);
		assert.equal(ended.stdout, '');
	});
}

for (const example of ['bermrand', 'valbrembo']) {
	test(`check: the example ${example} is accepted`, async () => {
		const ended = await runTool(['check', `examples/${example}`, '--format', 'json']);
		assert.equal(ended.stderr, '');
		assert.equal(ended.code, 0);
		const read = JSON.parse(ended.stdout) as {readonly team: string; readonly services: readonly unknown[]};
		assert.deepEqual([read.team, read.services.length], [example, 3]);
	});
}
