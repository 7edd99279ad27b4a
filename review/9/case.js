/**
 * DRAIN: a server that control doesn't know yet, as its first heartbeat is held up on its way, says that it leaves. That is
 * acknowledged; then the heartbeat arrives.
 */
import {setTimeout as pause} from 'node:timers/promises';
import {runCase} from '../stand-ins-2/deployment.js';
import {
	beginService, createServer, deliverLate, lateRuns, startClients,
} from '../stand-ins-2/drain-case.js';

const heldUpMilliseconds = 3000;
const leavesAfterMilliseconds = 2000;
const servesOnMilliseconds = 8000;

await runCase({recordFolder: import.meta.dirname}, async (deployment, isTroubled) => {
	const {controls} = deployment;
	await beginService(deployment);
	const stopClients = startClients(deployment);
	await pause(3000);
	const leaving = createServer(deployment, 10, {id: 'i-leaves'});
	await leaving.listen();
	const beat = leaving.nextBeat();
	const startedAt = deployment.now();
	deployment.note(`${leaving.id} sends its first heartbeat`);
	if (!isTroubled) {
		await deliverLate(deployment, controls[0], leaving.id, beat);
	}

	await pause(leavesAfterMilliseconds);
	await leaving.leave();
	const leftAt = deployment.now();
	await pause(heldUpMilliseconds - (leftAt - startedAt));
	if (isTroubled) {
		await deliverLate(deployment, controls[0], leaving.id, beat);
	}

	await pause(servesOnMilliseconds - heldUpMilliseconds);
	leaving.end();
	await stopClients();
	deployment.note(`${leaving.id} began ${leaving.runs.length} requests`);
	return lateRuns(leaving, leftAt);
});
