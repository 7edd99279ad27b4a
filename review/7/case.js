/**
 * DRAIN: servers leave while all control instances are killed and start again. A new leader acknowledges a departure
 * before it has applied the log, and finds no record to remove.
 */
import assert from 'node:assert/strict';
import {setTimeout as pause} from 'node:timers/promises';
import {runCase} from '../stand-ins-2/deployment.js';
import {
	beginService, createServer, lateRuns, startClients,
} from '../stand-ins-2/drain-case.js';

const leavingServers = 24;
const settledMilliseconds = 3000;
const backMilliseconds = 700;
const contactMilliseconds = 4000;
const servesOnMilliseconds = 9000;
const firstPauseMilliseconds = 25;
const longestPauseMilliseconds = 100;
const pauseGrowth = 1.5;
const mostRounds = 150;

/** Tells one control instance after the other that a server leaves, until it is acknowledged. */
async function leave(deployment, server) {
	let wait = firstPauseMilliseconds;
	for (let round = 0; round < mostRounds; round += 1) {
		for (const plan of deployment.controls) {
			const answer = await deployment.callControl(plan, {method: 'DELETE', path: `/-/instances/${server.id}`, body: {born: server.born}});
			if (answer !== undefined && answer.status >= 200 && answer.status < 300) {
				deployment.note(`${plan.name} acknowledges that ${server.id} leaves`);
				return deployment.now();
			}
		}

		await pause(wait);
		wait = Math.min(wait * pauseGrowth, longestPauseMilliseconds);
	}

	assert.fail(`${server.id} could not leave`);
}

await runCase({recordFolder: import.meta.dirname}, async (deployment, isTroubled) => {
	await beginService(deployment);
	const leaving = Array.from({length: leavingServers}, (_, position) => createServer(deployment, 10 + position, {id: `i-leaves-${position}`}));
	for (const server of leaving) {
		await server.listen();
		server.announce();
	}

	const stopClients = startClients(deployment);
	await pause(settledMilliseconds);
	for (const server of leaving) {
		server.fallSilent();
	}

	const controls = deployment.controls.map(({name}) => deployment.program(name));
	if (isTroubled) {
		await Promise.all(controls.map(async control => control.end('SIGKILL')));
		deployment.note('all control instances were killed');
	}

	const departures = leaving.map(async server => {
		await pause(Math.random() * 100);
		return leave(deployment, server);
	});
	await pause(backMilliseconds);
	let countsFrom = 0;
	if (isTroubled) {
		for (const control of controls) {
			control.start(false);
		}

		deployment.note('all control instances start again');
		countsFrom = deployment.now() + contactMilliseconds;
	}

	const leftAt = await Promise.all(departures);
	await pause(servesOnMilliseconds);
	for (const server of leaving) {
		server.end();
	}

	await stopClients();
	return leaving.flatMap((server, position) => lateRuns({id: server.id, runs: server.runs.filter(({at}) => at > countsFrom)}, leftAt[position]));
});
