/** The list of known red tests: the runner passes over just the tests that it names. */
import assert from 'node:assert/strict';
import {spawnSync} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import test from 'node:test';

type RedList = {
	readonly knownRed: (text: string) => readonly string[];
	readonly passingOver: (names: readonly string[]) => readonly string[];
};

const {knownRed, passingOver} = await import(new URL('../../../../scripts/known-red.js', import.meta.url).href) as RedList;

const source = `
import test from 'node:test';
test('one (of two)', () => {});
test('two', () => {
	throw new TypeError('red');
});
test('two, and more', () => {});
`;

function summary(list: string): string {
	const folder = mkdtempSync(path.join(tmpdir(), 'dogwooddeck-red-'));
	try {
		const file = path.join(folder, 'test-sample.mjs');
		writeFileSync(file, source);
		const {NODE_TEST_CONTEXT: _, ...environment} = process.env;
		const ended = spawnSync(process.execPath, ['--test', '--test-reporter=tap', ...passingOver(knownRed(list)), file], {encoding: 'utf8', env: environment});
		return (ended.stdout.match(/^# (?:pass|fail) \d+$/gmv) ?? []).join(' ');
	} finally {
		rmSync(folder, {recursive: true, force: true});
	}
}

const cases = [
	{name: 'an empty list passes over nothing', list: '', outcome: '# pass 2 # fail 1'},
	{name: 'a name passes over its test alone', list: 'test: two\nseen: test: one (of two)\n', outcome: '# pass 2 # fail 0'},
	{name: 'two names, one with signs of a pattern', list: 'test: two\ntest: one (of two)\n', outcome: '# pass 1 # fail 0'},
	{name: 'a name that no test has', list: 'test: three\n', outcome: '# pass 2 # fail 1'},
];

for (const {name, list, outcome} of cases) {
	test(`known red: ${name}`, () => {
		assert.equal(summary(list), outcome);
	});
}
