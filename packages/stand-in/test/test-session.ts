import assert from 'node:assert/strict';
import {test} from 'node:test';
import {request} from 'undici';
import {type Deployment, startDeployment, type TrialInstance} from '@dogwooddeck/stand-in/deployment';
import {eventually} from '@dogwooddeck/stand-in/child';

const zones = [
	{region: 'noord', zone: 'noord-a'},
	{region: 'noord', zone: 'noord-b'},
	{region: 'zuid', zone: 'zuid-a'},
	{region: 'zuid', zone: 'zuid-b'},
];

const plans = zones.map((place, position) => ({...place, name: `entry-${position}`, voter: position < 3}));

type Owner = {readonly slot: number; readonly phase: string; readonly upstream?: string};

async function owners(deployment: Deployment, instance: TrialInstance): Promise<readonly Owner[]> {
	const answer = await deployment.read(instance, '/operator/owners?service=bermrand/schedule') as {readonly owners: readonly Owner[]};
	return answer.owners;
}

test('session: keys of every entry instance reach their sole owner and come back whole', {timeout: 120_000}, async () => {
	const deployment = await startDeployment(plans);
	try {
		await deployment.ready();
		const applied = await deployment.control('apply', 'examples/bermrand', '--wait');
		assert.equal(applied.code, 0, applied.output);
		for (const {region, zone} of zones) {
			deployment.startUpstream({
				service: 'bermrand/schedule', name: `viewer-${zone}`, region, zone, checksFence: true,
			});
		}

		for (const instance of deployment.instances) {
			await eventually('all slots are granted', 20_000, async () => {
				const all = await owners(deployment, instance);
				return all.length >= 256 && all.every(({phase}) => phase === 'granted') && new Set(all.map(({upstream}) => upstream)).size === 4;
			});
		}

		const served = new Map<string, string>();
		for (let key = 0; key < 60; key++) {
			for (const instance of deployment.instances) {
				const {statusCode, headers, body} = await request(`http://${instance.addresses.callers}/schedule/verge-${key}`);
				const text = await body.text();
				assert.equal(statusCode, 200, text);
				assert.equal(headers['dogwooddeck-outcome'], 'ran');
				const {upstream} = JSON.parse(text) as {readonly upstream: string};
				assert.equal(served.get(`verge-${key}`) ?? upstream, upstream, 'one owner serves a key');
				served.set(`verge-${key}`, upstream);
			}
		}

		assert.equal(new Set(served.values()).size, 4);
		const codes = await Promise.all(deployment.instances.map(async ({child}) => child.stop()));
		assert.deepEqual(codes, [0, 0, 0, 0]);
	} finally {
		await deployment.close();
	}
});
