/**
 * Measures one entry instance beside a bare forwarder: starts a deployment of
 * one instance and one upstream, and runs the cost measurement on it.
 */
import path from 'node:path';
import process from 'node:process';
import {request} from 'undici';
import {eventually, startChild} from './child.js';
import {repository, startDeployment} from './deployment.js';

const patienceMilliseconds = 30_000;
const longestRunMilliseconds = 300_000;
const upstreamSlots = 1024;

/** Runs the measurement; parameters are passed on to it. */
export async function main(parameters: readonly string[]): Promise<void> {
	const deployment = await startDeployment([{
		name: 'entry', region: 'noord', zone: 'noord-a', voter: true,
	}]);
	try {
		await deployment.ready();
		await deployment.control('apply', path.join(repository, 'packages/stand-in/trial/wide'), '--wait');
		const upstream = deployment.startUpstream({
			service: 'bermrand/schedule', name: 'viewer', region: 'noord', zone: 'noord-a', checksFence: true, workMilliseconds: 0, slots: upstreamSlots,
		});
		const {callers, operators} = deployment.instances[0]!.addresses;
		await eventually('a request is served', patienceMilliseconds, async () => {
			const {statusCode, body} = await request(`http://${callers}/schedule/key-1`);
			await body.dump();
			return statusCode === 200;
		});
		const upstreamAddress = /address=(\S+)/v.exec(upstream.output())?.[1] ?? '';
		const measurement = startChild('cost', path.join(repository, 'packages/stand-in/bin/cost.js'), [
			'--entry', callers, '--operators', operators, '--upstream', upstreamAddress, '--path', '/schedule', ...parameters,
		]);
		await eventually('the measurement ended', longestRunMilliseconds, () => !measurement.running());
		process.stdout.write(measurement.output());
	} finally {
		await deployment.close();
	}
}
