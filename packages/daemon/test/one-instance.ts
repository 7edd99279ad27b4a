/**
 * Test fixture: starts a single instance in this process, with an HTTP client for
 * its operator address.
 */
import assert from 'node:assert/strict';
import {mkdtemp, readFile, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {authorHeader} from '@dogwooddeck/configuration/messages';
import {pause} from '@dogwooddeck/clock/pause';
import {type Log} from '@dogwooddeck/telemetry/log';
import {createPeerClients, type PeerClients} from '@dogwooddeck/wire/client';
import {bootstrap} from '@dogwooddeck/daemon/bootstrap';
import {startInstance} from '@dogwooddeck/daemon/instance';
import {type InstanceSettings} from '@dogwooddeck/daemon/settings';

export const keys = {peer: 'peer-key-of-the-test-0123456789', announce: 'announce-key-of-the-test-0123456789'};
export const operatorToken = 'operator-token-of-the-test-0001';

type SendOptions = {readonly token?: string; readonly author?: string; readonly body?: unknown};

/** One instance in this process: the only voter and the steward of its zone. */
export type OneInstance = {
	readonly addresses: {readonly peers: string; readonly operators: string; readonly callers: string};
	readonly peers: PeerClients;
	/** The identity of its data folder in the voter set. */
	readonly folder: string;
	readonly failures: string[];
	readonly send: (method: 'GET' | 'POST', route: string, options: SendOptions) => Promise<{readonly status: number; readonly body: unknown}>;
	readonly ready: () => Promise<boolean>;
	readonly stop: () => Promise<void>;
};

const pollMilliseconds = 50;
const readyMilliseconds = 20_000;

function settingsIn(folder: string): InstanceSettings {
	const anyPort = '127.0.0.1:0';
	return {
		name: 'entry-1',
		region: 'noord',
		zone: 'noord-a',
		addresses: {callers: anyPort, operators: anyPort, peers: anyPort},
		control: {voters: [{name: 'entry-1', peerAddress: anyPort}], dataFolder: path.join(folder, 'data')},
		keys,
		stop: {balancerDelayMilliseconds: 0, longestMilliseconds: 1000},
	};
}

async function until(condition: () => Promise<boolean>): Promise<void> {
	const end = performance.now() + readyMilliseconds;
	while (!await condition()) {
		assert.ok(performance.now() < end, 'the instance is not ready in time');
		await pause(pollMilliseconds);
	}
}

export async function startOne(): Promise<OneInstance> {
	const folder = await mkdtemp(path.join(tmpdir(), 'dogwooddeck-one-'));
	const settings = settingsIn(folder);
	const founded = await bootstrap(settings, operatorToken);
	assert.ok(founded.isOk, JSON.stringify(founded));
	let addresses = {peers: '', operators: '', callers: ''};
	const failures: string[] = [];
	const log: Log = {
		event(name, fields = {}) {
			if (name === 'instance-started') {
				addresses = {peers: String(fields.peers), operators: String(fields.operators), callers: String(fields.callers)};
			}
		},
		warning() {
			// The tests provoke refused commands.
		},
		error(_name, failed) {
			failures.push(failed.detail);
		},
	};
	const instance = await startInstance(settings, log, failed => {
		failures.push(failed.detail);
	});
	const peers = createPeerClients(keys.peer);
	const ready = async () => {
		const {ok: isOk} = await fetch(`http://${addresses.operators}/ready`);
		return isOk;
	};

	await until(ready);
	const identity = await readFile(path.join(folder, 'data', 'identity'), 'utf8');
	return {
		addresses,
		peers,
		folder: identity.trim().split(' ').at(-1)!,
		failures,
		async send(method, where, {token, author, body}) {
			const answer = await fetch(`http://${addresses.operators}${where}`, {
				method,
				headers: {
					...(token === undefined ? {} : {authorization: `Bearer ${token}`}),
					...(author === undefined ? {} : {[authorHeader]: author}),
					...(body === undefined ? {} : {'content-type': 'application/json'}),
				},
				...(body === undefined ? {} : {body: JSON.stringify(body)}),
			});
			return {status: answer.status, body: await answer.json()};
		},
		ready,
		async stop() {
			peers.close();
			await instance.stop();
			await rm(folder, {recursive: true});
		},
	};
}
