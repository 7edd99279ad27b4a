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
	{
		name: 'a stated time to serve again that the bound does not meet',
		files: {
			'team.toml': team,
			'booking.toml': 'prefix = "/booking"\nkey = {place = "path", segment = 0}\nserved_again_within = "3905 ms"\n',
			'schedule.toml': `${service}longest_deadline = "3 s"\nserved_again_within = "4 s"\n`,
		},
		code: 3,
		lines: [
			'settings-invalid:',
			'  FOLDER/booking.toml: served_again_within: is 3905 ms, but it may take 3906 ms (detection 1000, revocation 644, drain 1531, grant 157, spread 574)',
			'  FOLDER/schedule.toml: served_again_within: is 4000 ms, but it may take 5436 ms (detection 1000, revocation 644, drain 3061, grant 157, spread 574)',
		],
	},
	{
		name: 'a time to serve again without a unit',
		files: {'team.toml': team, 'schedule.toml': `${service}served_again_within = 4000\n`},
		code: 3,
		lines: ['settings-invalid:', '  FOLDER/schedule.toml: served_again_within: expected a duration with its unit, such as "1500 ms"'],
	},
];

const boundHead = 'served again after a loss  at most  detection  revocation  drain    grant   spread  stated';

const accepted: ReadonlyArray<{readonly name: string; readonly more: string; readonly bound: readonly string[]; readonly exceedsDefault: boolean}> = [
	{
		name: 'nothing stated',
		more: '',
		bound: [boundHead, 'bermrand/schedule          3906 ms  1000 ms    644 ms      1531 ms  157 ms  574 ms  nothing'],
		exceedsDefault: false,
	},
	{
		name: 'stated and just met',
		more: 'served_again_within = "3906 ms"\n',
		bound: [boundHead, 'bermrand/schedule          3906 ms  1000 ms    644 ms      1531 ms  157 ms  574 ms  3906 ms'],
		exceedsDefault: false,
	},
	{
		name: 'met, but more than the default',
		more: 'longest_deadline = "2 s"\nserved_again_within = "5 s"\n',
		bound: [
			boundHead,
			'bermrand/schedule          4416 ms  1000 ms    644 ms      2041 ms  157 ms  574 ms  5000 ms',
			'warning: bermrand/schedule may be without an owner for 4416 ms after a loss, more than 4000 ms',
		],
		exceedsDefault: true,
	},
];

for (const {name, more, bound, exceedsDefault} of accepted) {
	test(`check: the bound on the time to serve again: ${name}`, async () => {
		const folder = await mkdtemp(path.join(tmpdir(), 'dogwooddeck-'));
		await Promise.all(Object.entries({'team.toml': team, 'schedule.toml': service + more}).map(async ([file, text]) => writeFile(path.join(folder, file), text)));
		const [text, json] = await Promise.all([runTool(['check', folder]), runTool(['check', folder, '--format', 'json'])]);
		await rm(folder, {recursive: true});
		assert.deepEqual(text.stdout.trimEnd().split('\n').slice(2, -1), bound);
		const {servedAgain} = JSON.parse(json.stdout) as {readonly servedAgain: ReadonlyArray<Readonly<Record<string, unknown>>>};
		const [{totalMilliseconds, ...told}] = servedAgain as [Readonly<Record<string, unknown>>];
		assert.match(bound[1]!, new RegExp(`^bermrand/schedule +${String(totalMilliseconds)} ms`, 'v'));
		assert.deepEqual([told.service, told.exceedsDefault, text.code, json.code], ['bermrand/schedule', exceedsDefault, 0, 0]);
	});
}

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
