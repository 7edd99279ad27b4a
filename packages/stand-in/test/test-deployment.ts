import assert from 'node:assert/strict';
import path from 'node:path';
import {test} from 'node:test';
import {pause} from '@dogwooddeck/clock/pause';
import {
	onePerZone, settled, viewerPlan, zones,
} from './trial.js';
import {type Deployment, repository, startDeployment} from '@dogwooddeck/stand-in/deployment';

const plans = zones.map(place => viewerPlan(place, false));
/** Longer than a service without owners waits for further upstreams. */
const delayMilliseconds = 3000;

/** Holds up the start of one process that was just begun. */
async function delay(deployment: Deployment, upstream: string): Promise<void> {
	const child = deployment.upstreams.get(upstream)!;
	child.signal('SIGSTOP');
	await pause(delayMilliseconds);
	child.signal('SIGCONT');
}

// Guards against trials that never settle: an upstream that joins after the first division of the keys owns none without load.
test('deployment: upstreams whose processes start apart share the keys', {timeout: 120_000}, async () => {
	const deployment = await startDeployment(onePerZone([0, 1, 2]));
	try {
		await deployment.ready();
		const applied = await deployment.control('apply', path.join(repository, 'packages/stand-in/trial/bermrand'), '--wait');
		assert.equal(applied.code, 0, applied.output);
		await Promise.all([deployment.startUpstreams(plans), delay(deployment, plans.at(-1)!.name)]);
		await settled(deployment, plans.length);
	} finally {
		await deployment.close();
	}
});
