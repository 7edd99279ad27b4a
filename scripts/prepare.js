/**
 * Installs the packages and builds the workspace where that is missing or old.
 */
import {execFileSync} from 'node:child_process';
import {existsSync} from 'node:fs';
import process from 'node:process';

const root = new URL('..', import.meta.url).pathname;
const run = (command, parameters) => {
	execFileSync(command, parameters, {cwd: root, stdio: ['ignore', process.stderr, process.stderr]});
};

if (!existsSync(`${root}node_modules/.package-lock.json`)) {
	run('npm', ['ci', '--no-audit', '--no-fund']);
}

run(process.execPath, [`${root}node_modules/typescript/bin/tsc`, '-b']);
