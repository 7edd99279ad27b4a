import assert from 'node:assert/strict';
import {test} from 'node:test';
import {request} from 'undici';
import {assertGolden, commandLines} from './record.js';
import {onePerZone, owners, zones} from './trial.js';
import {eventually} from '@dogwooddeck/stand-in/child';
import {startDeployment} from '@dogwooddeck/stand-in/deployment';

const refusedRequests = [
	['GET', '/elsewhere/verge-1'],
	['GET', '/schedule'],
	['GET', '/schedule/..%2fverge'],
	['POST', '/booking/verge-1/bookings'],
] as const;

test('session: keys of every entry instance reach their sole owner and come back whole', {timeout: 120_000}, async () => {
	const deployment = await startDeployment(onePerZone([0, 1, 2]));
	try {
		await deployment.ready();
		const transcript: string[] = [];
		const operate = async (...parameters: string[]) => {
			const {output, code} = await deployment.control(...parameters);
			const settledOutput = output.split('\n').filter(line => !/in force on \d of 4/v.test(line)).join('\n');
			transcript.push(...commandLines(parameters, {output: settledOutput, code}));
			return code;
		};

		assert.equal(await operate('apply', 'examples/bermrand', '--wait'), 0);
		await operate('apply', 'examples/bermrand', '--operation', 'second-change', '--base', '1');
		await operate('plan', 'examples/bermrand');
		await operate('history', '--team', 'bermrand');
		await deployment.startUpstreams(zones.map(({region, zone}) => ({
			service: 'bermrand/schedule', name: `viewer-${zone}`, region, zone, checksFence: true,
		})));

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
		for (const [method, where] of refusedRequests) {
			const {statusCode, headers, body} = await request(`http://${deployment.instances[0]!.addresses.callers}${where}`, {method});
			transcript.push(`${method} ${where}`, `${statusCode} outcome ${String(headers['dogwooddeck-outcome'])}: ${await body.text()}`);
		}

		await assertGolden('session', transcript);
		const codes = await Promise.all(deployment.instances.map(async ({child}) => child.stop()));
		assert.deepEqual(codes, [0, 0, 0, 0]);
	} finally {
		await deployment.close();
	}
});
