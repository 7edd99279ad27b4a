/**
 * The operator's calls.
 */
/* eslint-disable camelcase -- the platform's field names */
import {setTimeout as pause} from 'node:timers/promises';
import {ports} from './deployment.js';
import {controlCall} from './http-call.js';

/** The limits that a client keeps within, as in the example of the platform's pages. */
const limits = {
	max_header_bytes: 16_384, max_body_bytes: 67_108_864, header_timeout_s: 3, idle_timeout_s: 15,
};

/** A service, as a configuration call carries it. */
export function serviceOf(name, keyed = false, version = 1) {
	return {
		name, health_path: '/health', max_conns: 110, protocol: 'h1', tls: false, ...(keyed ? {shard_enabled: true, warmup_s: 0, grants: 'heartbeat'} : {}), version,
	};
}

/** A route, as a configuration call carries it. */
export function routeOf(name, fields) {
	return {
		name, kind: 'safe', timeout_s: 1.2, target_latency_s: 0.6, priority: 1, max_attempts: 2, version: 1, ...fields,
	};
}

/** Returns the first configuration call, which contains all items. */
export function firstCall(hostname, services, paths) {
	return {upsert: {services, limits: {...limits, version: 1}, virtual_hosts: [{hostname, paths}]}, remove: {routes: []}};
}

/** Sends a configuration call until it is answered clearly; returns the last status. */
export async function configure(deployment, body) {
	let status = 0;
	for (let tries = 0; tries < 60; tries += 1) {
		const running = deployment.controls.filter(({isRunning}) => isRunning);
		const {host} = running[tries % running.length];
		const answer = await controlCall(host, ports.control, {method: 'PATCH', path: '/-/config', body});
		status = answer?.status ?? 0;
		if (status === 200 || (status >= 400 && status < 500)) {
			return status;
		}

		await pause(200);
	}

	return status;
}
