/**
 * Test fixtures: control instances that communicate over real connections, each with its own data folder.
 */
import {mkdtemp, rm} from 'node:fs/promises';
import {createServer, type AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {once} from 'node:events';
import {type Log} from '@dogwooddeck/telemetry/log';
import {createMeasures, type Measures} from '@dogwooddeck/telemetry/measure';
import {type ControlNode, startControlNode} from '@dogwooddeck/control-node/control-node';

const silent: Log = {event: () => undefined, warning: () => undefined, error: () => undefined};

async function freeAddress(): Promise<string> {
	const server = createServer().listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	server.close();
	await once(server, 'close');
	return `127.0.0.1:${port}`;
}

/** A running control instance. */
export type Running = {readonly address: string; readonly node: ControlNode; readonly measures: Measures; readonly start: () => Promise<Running>};

async function startNode(address: string, seeds: readonly string[], dataFolder: string): Promise<Running> {
	const measures = createMeasures();
	const node = await startControlNode({
		settings: {
			address, zone: 'z', zones: ['z', 'y'], seeds, founding: true, dataFolder, toleratedLosses: 1, holdMilliseconds: 5000, mostRanges: 150, clockDrift: 0.02,
		},
		log: silent,
		measures,
		failed: () => undefined,
	});
	return {
		address, node, measures, start: async () => startNode(address, seeds, dataFolder),
	};
}

/** Runs a test with three control instances. A test that stops one replaces it. */
export async function withNodes(use: (running: Running[]) => Promise<void>): Promise<void> {
	const folder = await mkdtemp(path.join(tmpdir(), 'control-nodes-'));
	const seeds = [await freeAddress(), await freeAddress(), await freeAddress()];
	const running = await Promise.all(seeds.map(async (address, position) => startNode(address, seeds, path.join(folder, String(position)))));
	try {
		await use(running);
	} finally {
		await Promise.all(running.map(async ({node}) => node.stop()));
		await rm(folder, {recursive: true, force: true});
	}
}
