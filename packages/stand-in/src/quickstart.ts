/**
 * Starts a small deployment on this machine, shows a request served, and says
 * how to go on by hand.
 */
import path from 'node:path';
import process from 'node:process';
import {flag, command, run} from 'cmd-ts';
import {request} from 'undici';
import {eventually} from './child.js';
import {
	type Deployment, type InstancePlan, repository, startDeployment,
} from './deployment.js';

const embedded: readonly InstancePlan[] = [{
	name: 'embedded', region: 'noord', zone: 'noord-a', voter: true,
}];

const several: readonly InstancePlan[] = [
	{
		name: 'noord-a-1', region: 'noord', zone: 'noord-a', voter: true,
	},
	{
		name: 'noord-b-1', region: 'noord', zone: 'noord-b', voter: true,
	},
	{
		name: 'zuid-a-1', region: 'zuid', zone: 'zuid-a', voter: true,
	},
	{
		name: 'zuid-b-1', region: 'zuid', zone: 'zuid-b', voter: false,
	},
];

const upstreamsPerInstance = 2;
const shownRequests = 4;
const patienceMilliseconds = 30_000;

function say(line: string): void {
	process.stdout.write(`${line}\n`);
}

async function showRequest(deployment: Deployment, key: string): Promise<void> {
	const {callers} = deployment.instances[0]!.addresses;
	const url = `http://${callers}/schedule/${key}`;
	const answer = await eventually('a request is served', patienceMilliseconds, async () => {
		const {statusCode, headers, body} = await request(url);
		const text = await body.text();
		return statusCode === 200 ? {outcome: headers['dogwooddeck-outcome'], text: text.trim()} : undefined;
	});
	say(`GET ${url}\n  200, outcome ${String(answer.outcome)}: ${answer.text}`);
}

async function show(plans: readonly InstancePlan[]): Promise<Deployment> {
	const deployment = await startDeployment(plans);
	await deployment.ready();
	say(`instances ready: ${plans.map(({name}) => name).join(', ')}`);
	const applied = await deployment.control('apply', path.join(repository, 'examples/bermrand'), '--wait');
	say(applied.output.trim());
	for (const {region, zone} of plans) {
		for (let number = 1; number <= upstreamsPerInstance; number++) {
			deployment.startUpstream({
				service: 'bermrand/schedule', name: `viewer-${zone}-${number}`, region, zone, checksFence: true,
			});
		}
	}

	for (let number = 1; number <= shownRequests; number++) {
		await showRequest(deployment, `verge-${number}`);
	}

	return deployment;
}

async function stay(deployment: Deployment): Promise<void> {
	const [first] = deployment.instances;
	say(`callers:   http://${first!.addresses.callers}/schedule/verge-1`);
	say(`operators: http://${first!.addresses.operators}  (token file ${path.join(deployment.folder, 'operator-token')})`);
	say('Ctrl-C ends it.');
	await new Promise(resolve => {
		process.once('SIGINT', resolve);
		process.once('SIGTERM', resolve);
	});
}

const quickstart = command({
	name: 'quickstart',
	description: 'Starts a deployment with stand-in upstreams and shows requests served.',
	args: {
		several: flag({long: 'several', description: 'four instances in four availability zones in place of one'}),
		stay: flag({long: 'stay', description: 'keep it running until Ctrl-C, also without a terminal'}),
	},
	async handler(options) {
		const deployment = await show(options.several ? several : embedded);
		try {
			if (options.stay || process.stdout.isTTY) {
				await stay(deployment);
			}
		} finally {
			await deployment.close();
		}
	},
});

/** Runs the command line. */
export async function main(parameters: readonly string[]): Promise<void> {
	await run(quickstart, [...parameters]);
}
