/**
 * Runs the binary as operators do, and gives what it printed.
 */
import {execFile} from 'node:child_process';
import path from 'node:path';
import process from 'node:process';

/** The root of the workspace. */
export const root = path.resolve(import.meta.dirname, '../../../..');

const binary = path.join(root, 'packages/control-tool/bin/dogwooddeckctl.js');

/** How a run of the binary ended. */
export type Ended = {readonly code: number; readonly stdout: string; readonly stderr: string};

/** Runs the binary in the workspace's root. */
export async function runTool(parameters: readonly string[]): Promise<Ended> {
	return new Promise(resolve => {
		execFile(process.execPath, [binary, ...parameters], {cwd: root}, (error, stdout, stderr) => {
			resolve({code: typeof error?.code === 'number' ? error.code : 0, stdout, stderr});
		});
	});
}
