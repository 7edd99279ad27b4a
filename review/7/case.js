/**
 * LOST: an entry is stopped as planned while requests wait in it for room at their servers. When its time to stop is over,
 * it closes their connections without an answer.
 */
import path from 'node:path';
import process from 'node:process';
import {setTimeout as pause} from 'node:timers/promises';
import {runCase} from '../stand-ins-2/deployment.js';
import {StandInServer} from '../stand-ins-2/server.js';

const recordFile = path.join(import.meta.dirname, 'record.txt');
/** `TROUBLE=0` leaves the disruption out. */
const isTroubled = process.env.TROUBLE !== '0';
const service = 'reports';
const host = 'reports.example';
const clients = 16;
const slots = 2;
const workMilliseconds = 4000;
const deadlineMilliseconds = 18_000;
/** Longer than `contact_s`, so that all machines are in touch. */
const settledMilliseconds = 5000;
const stopsAfterMilliseconds = 500;
const graceMilliseconds = 6000;
const lossSlackMilliseconds = 200;
/* eslint-disable camelcase -- names of the platform's pages */
const configuration = {
	upsert: {
		services: [{
			name: service, health_path: '/health', max_conns: 110, protocol: 'h1', tls: false, version: 1,
		}],
		limits: {
			max_header_bytes: 16_384, max_body_bytes: 67_108_864, header_timeout_s: 3, idle_timeout_s: 15, version: 1,
		},
		virtual_hosts: [{
			hostname: host,
			paths: [{
				name: 'report', path_prefix: '/report/', kind: 'unsafe', timeout_s: 20, target_latency_s: 12, priority: 1, service, max_attempts: 2, version: 1,
			}],
		}],
	},
	remove: {routes: []},
};
/* eslint-enable camelcase */

await runCase({recordFile, isTroubled}, async deployment => {
	await deployment.configure(configuration);
	const servers = ['a1', 'a2'].map((zone, position) => new StandInServer(deployment, {
		id: `i-${zone}`, service, zone, host: `${deployment.network}.${200 + position}`, slots, workMilliseconds,
	}));
	for (const server of servers) {
		await server.listen();
		server.announce();
	}

	await deployment.waitUntilReady();
	await pause(settledMilliseconds);
	const [entry] = deployment.entries;
	const requests = Array.from({length: clients}, async () => {
		const asked = await deployment.request(entry, {
			method: 'POST', path: '/report/month', host, body: 'one report', deadlineMilliseconds,
		});
		return {...asked, endedAt: deployment.now()};
	});
	await pause(stopsAfterMilliseconds);
	let stoppedAt = 0;
	if (isTroubled) {
		stoppedAt = deployment.now();
		deployment.program(entry.name).signal('SIGTERM');
		deployment.note(`${entry.name} gets SIGTERM`);
		setTimeout(() => {
			deployment.program(entry.name).signal('SIGKILL');
		}, graceMilliseconds);
	}

	const ended = await Promise.all(requests);
	return ended.flatMap(({id, sentAt, endedAt, answer}) => {
		const run = servers.flatMap(({runs}) => runs).find(one => one.id === id);
		const fate = run === undefined ? 'not passed on to a server' : `begun by a server at ${(run.at / 1000).toFixed(3)} s`;
		const text = `request ${id}, sent at ${(sentAt / 1000).toFixed(3)} s, ended after ${Math.round(endedAt - sentAt)} ms: ${answer?.status ?? 'no answer'}, ${fate}`;
		deployment.note(text);
		const isCut = answer === undefined && run === undefined && endedAt - sentAt > lossSlackMilliseconds && endedAt < stoppedAt + graceMilliseconds + 1000;
		return isCut ? [text] : [];
	});
});
