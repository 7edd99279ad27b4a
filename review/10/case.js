/**
 * DRAIN: a heartbeat of a server's earlier life, held up by a partition, arrives after its next life under the same id
 * was acknowledged to be gone.
 */
import path from 'node:path';
import process from 'node:process';
import {setTimeout as pause} from 'node:timers/promises';
import {runCase} from '../stand-ins-2/deployment.js';
import {
	beginService, createServer, deliverLate, lateRuns, startClients,
} from '../stand-ins-2/drain-case.js';

const recordFile = path.join(import.meta.dirname, 'record.txt');
/** `TROUBLE=0` leaves the disruption out. */
const isTroubled = process.env.TROUBLE !== '0';
const restartMilliseconds = 1000;
const secondLifeMilliseconds = 2000;
const heldUpMilliseconds = 4000;
const servesOnMilliseconds = 8000;

await runCase({recordFile, isTroubled}, async deployment => {
	const {controls} = deployment;
	await beginService(deployment);
	const stopClients = startClients(deployment);
	const first = createServer(deployment, 10, {id: 'i-leaves'});
	await first.listen();
	first.announce();
	await pause(3000);
	first.fallSilent();
	const beat = first.nextBeat();
	const sentAt = deployment.now();
	deployment.note(`${first.id} sends a heartbeat that is held up, and crashes`);
	first.end();
	await pause(restartMilliseconds);
	const second = createServer(deployment, 10, {id: 'i-leaves'});
	await second.listen();
	second.announce();
	await pause(secondLifeMilliseconds);
	second.fallSilent();
	await second.leave();
	const leftAt = deployment.now();
	await pause(heldUpMilliseconds - (leftAt - sentAt));
	if (isTroubled) {
		await deliverLate(deployment, controls[0], first.id, beat);
	}

	await pause(servesOnMilliseconds);
	second.end();
	await stopClients();
	deployment.note(`${first.id} began ${first.runs.length} requests in its first life and ${second.runs.length} in its second`);
	return lateRuns(second, leftAt);
});
