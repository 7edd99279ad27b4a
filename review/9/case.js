/**
 * DRAIN: a server starts behind a cut, so that control doesn't know it yet: its heartbeats, each to the next control instance
 * after a second without an answer, are held up. When the cut is over it says that it leaves. That is acknowledged; then the
 * heartbeats arrive.
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
const acknowledgeMilliseconds = 1000;
const heldUpBeats = 2;
const arriveAfterMilliseconds = 1000;
const servesOnMilliseconds = 8000;

await runCase({recordFile, isTroubled}, async deployment => {
	const {controls} = deployment;
	await beginService(deployment);
	const stopClients = startClients(deployment);
	await pause(3000);
	const leaving = createServer(deployment, 10, {id: 'i-leaves'});
	await leaving.listen();
	const heldUp = [];
	if (!isTroubled) {
		leaving.announce();
	}

	for (let turn = 0; turn < heldUpBeats; turn += 1) {
		if (isTroubled) {
			heldUp.push({plan: controls[turn], beat: leaving.nextBeat()});
			deployment.note(`${leaving.id} sends a heartbeat to ${controls[turn].name}, which is held up by a cut`);
		}

		await pause(acknowledgeMilliseconds);
	}

	leaving.fallSilent();
	deployment.note('the cut is over');
	await leaving.leave();
	const leftAt = deployment.now();
	await pause(arriveAfterMilliseconds);
	for (const {plan, beat} of heldUp) {
		await deliverLate(deployment, plan, leaving.id, beat);
	}

	await pause(servesOnMilliseconds - arriveAfterMilliseconds);
	leaving.end();
	await stopClients();
	deployment.note(`${leaving.id} began ${leaving.runs.length} requests`);
	return lateRuns(leaving, leftAt);
});
