/**
 * Runs every test of the workspace, or those whose file name holds a given
 * word, and passes over just the tests that KNOWN-RED.txt names, which it prints.
 */
import {spawnSync} from 'node:child_process';
import {existsSync, readdirSync, readFileSync} from 'node:fs';
import process from 'node:process';
import {knownRed, passingOver} from './known-red.js';

const root = new URL('..', import.meta.url).pathname;
const word = process.argv[2] ?? '';
const concurrentFiles = 4;
const millisecondsPerMinute = 60_000;

function testFiles() {
	return [...readdirSync(`${root}packages`).map(name => `packages/${name}`), 'platform']
		.map(folder => `${root}${folder}/dist/test`)
		.filter(folder => existsSync(folder))
		.flatMap(folder => readdirSync(folder).filter(file => /^test-.*\.js$/v.test(file)).map(file => `${folder}/${file}`))
		.filter(file => existsSync(file.replace('/dist/', '/').replace(/\.js$/v, '.ts')))
		.filter(file => file.slice(root.length).includes(word))
		.sort();
}

const files = testFiles();
if (files.length === 0) {
	console.error(`no test file's path holds ${JSON.stringify(word)}`);
	process.exit(2); // eslint-disable-line unicorn/no-process-exit
}

const red = knownRed(readFileSync(`${root}KNOWN-RED.txt`, 'utf8'));
for (const name of red) {
	console.log(`known red, passed over: ${name}`);
}

const pattern = passingOver(red);

// A file that hangs is ended after so many minutes.
function run(some, concurrency, longestMinutes) {
	if (some.length === 0) {
		return 0;
	}

	const ended = spawnSync(
		process.execPath,
		['--enable-source-maps', '--test', `--test-concurrency=${concurrency}`, '--test-reporter=spec', `--test-timeout=${longestMinutes * millisecondsPerMinute}`, ...pattern, ...some],
		{cwd: root, stdio: 'inherit'},
	);
	return ended.status ?? 1;
}

// Tests that start whole deployments state times, so each has the machine to itself.
const startsDeployments = file => /platform\/dist\/test\/test-(?:largest-request|replaced-machines|soak|unruly-clients)\.js$|stand-in\/dist\/test\/test-(?:claim-trials|configuration|cuts|deployment|failures|remedies|session|session-(?:faults|leader|upstream))\.js$/v.test(file);
const statuses = [
	run(files.filter(file => !startsDeployments(file)), concurrentFiles, 10),
	run(files.filter(file => startsDeployments(file)), 1, 25),
];
process.exitCode = Math.max(...statuses);
