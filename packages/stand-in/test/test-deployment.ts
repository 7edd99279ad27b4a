import {test} from 'node:test';
import {pause} from '@dogwooddeck/clock/pause';
import {applyTrial} from './record.js';
import {
	onePerZone, settled, viewerPlan, zones,
} from './trial.js';
import {type Deployment, startDeployment} from '@dogwooddeck/stand-in/deployment';

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
		await applyTrial(deployment, 'bermrand');
		await Promise.all([deployment.startUpstreams(plans), delay(deployment, plans.at(-1)!.name)]);
		await settled(deployment, plans.length);
	} finally {
		await deployment.close();
	}
});
