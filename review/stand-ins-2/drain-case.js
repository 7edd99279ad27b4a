/**
 * What the cases about servers that leave have in common: a service without keys, clients that use it all the time, and
 * the check of DRAIN.
 */
/* eslint-disable camelcase -- names of the platform's pages */
import {setTimeout as pause} from 'node:timers/promises';
import {StandInServer} from './server.js';

const service = 'plain';
const host = 'plain.example';
const drainMilliseconds = 2500;
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
				name: 'order', path_prefix: '/order/', kind: 'unsafe', timeout_s: 1.2, target_latency_s: 0.6, priority: 1, service, max_attempts: 2, version: 1,
			}],
		}],
	},
	remove: {routes: []},
};

/** Starts a server of the service. */
export function createServer(deployment, position, fields) {
	return new StandInServer(deployment, {
		service, zone: 'a1', host: `${deployment.network}.${200 + position}`, workMilliseconds: 50, ...fields,
	});
}

/** Starts the service with three servers that stay, and waits until it is used. */
export async function beginService(deployment) {
	await deployment.configure(configuration);
	for (const [position, zone] of ['a1', 'a2', 'b1'].entries()) {
		const server = createServer(deployment, position, {id: `i-stays-${zone}`, zone});
		await server.listen();
		server.announce();
	}

	await deployment.waitUntilReady();
}

/** Sends requests through all entries until `stop` is called, which returns the counts of their statuses. */
export function startClients(deployment) {
	let isOver = false;
	const counts = {};
	const clients = Array.from({length: 16}, async (_, client) => {
		while (!isOver) { // eslint-disable-line no-unmodified-loop-condition -- the case ends the loop
			const {id, sentAt, answer} = await deployment.request(deployment.entries[client % deployment.entries.length], {
				method: 'POST', path: '/order/satchel', host, body: 'a satchel',
			});
			const status = answer?.status ?? 'none';
			counts[status] = (counts[status] ?? 0) + 1;
			deployment.record.write(`${(sentAt / 1000).toFixed(3)} sent ${id}: ${status} ${answer?.body.trim() ?? ''}\n`);
			await pause(80);
		}
	});
	return async function () {
		isOver = true;
		await Promise.all(clients);
		deployment.note(`answers: ${JSON.stringify(counts)}`);
	};
}

/** Sends a heartbeat that was held up on its way; its sender has given it up. */
export async function deliverLate(deployment, plan, id, beat) {
	const answer = await deployment.callControl(plan, {method: 'PUT', path: `/-/instances/${id}`, body: beat});
	deployment.note(`a heartbeat that was held up arrives at ${plan.name}: ${JSON.stringify(beat)}: ${answer?.status ?? 'no answer'} ${answer?.body ?? ''}`);
}

/** The requests that reached a server later than the bound after it was acknowledged to leave. */
export function lateRuns({runs, id}, leftAt) {
	return runs.filter(({at}) => at > leftAt + drainMilliseconds)
		.map(run => `request ${run.id} reaches ${id} ${Math.round(run.at - leftAt)} ms after it was acknowledged to be gone (bound ${drainMilliseconds} ms)`);
}
