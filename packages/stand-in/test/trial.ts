/**
 * Trials with real processes: a deployment in four availability zones with an
 * upstream in each, and what tests ask of it.
 */
import {test} from 'node:test';
import {failure, FailureError, toFailure} from '@dogwooddeck/model/failure';
import {type Milliseconds, type MonotonicTime} from '@dogwooddeck/model/identifiers';
import {request} from 'undici';
import {applyTrial} from './record.js';
import {eventually} from '@dogwooddeck/stand-in/child';
import {
	type Deployment, type InstancePlan, operatorToken, startDeployment, type TrialInstance, type UpstreamPlan,
} from '@dogwooddeck/stand-in/deployment';
import {type Sighting, type Watcher} from '@dogwooddeck/stand-in/watcher';

/** The availability zones of every trial. */
export const zones = [
	{region: 'noord', zone: 'noord-a'},
	{region: 'noord', zone: 'noord-b'},
	{region: 'zuid', zone: 'zuid-a'},
	{region: 'zuid', zone: 'zuid-b'},
];

/** One instance in each zone; the zones at the given positions have the voters, of which the first founds and leads. */
export function onePerZone(voters: readonly number[]): readonly InstancePlan[] {
	return zones.map((place, position) => ({...place, name: `entry-${position}`, voter: voters.includes(position)}));
}

const plans = onePerZone([0, 1, 2]);

/** As the users run it: nine instances, three voters, no zone with a majority of them. */
export const nine: readonly InstancePlan[] = [3, 2, 2, 2].flatMap((instances, position) => Array.from({length: instances}, (_, number) => ({
	...zones[position]!, name: `${zones[position]!.zone}-${number}`, voter: number === 0 && position < 3,
})));

/** The keys that watchers ask for. */
export const keys: readonly string[] = Array.from({length: 24}, (_, number) => `verge-${number}`);
/** The longest wait for anything that has no stated time. */
export const patience: Milliseconds = 30_000;

/** The owner of a slot, as the operators' surface tells it. */
export type Owner = {readonly slot: number; readonly phase: string; readonly upstream?: string; readonly zone?: string};

/** The owners of all slots, as an instance knows them. */
export async function owners(deployment: Deployment, instance: TrialInstance): Promise<readonly Owner[]> {
	const answer = await deployment.read(instance, '/operator/owners?service=bermrand/schedule') as {readonly owners?: readonly Owner[]};
	return answer.owners ?? [];
}

/** The slots of one upstream, as an instance knows them. */
export async function owned(deployment: Deployment, instance: TrialInstance, upstream: string): Promise<readonly Owner[]> {
	const all = await owners(deployment, instance);
	return all.filter(owner => owner.upstream === upstream);
}

/** Whether an instance knows the first revision of a team's subtree. */
export async function hasHistory(deployment: Deployment, instance: TrialInstance, team: string): Promise<boolean> {
	try {
		const answer = await deployment.read(instance, `/operator/history?team=${team}`) as {readonly entries?: readonly unknown[]};
		return answer.entries?.length === 1;
	} catch {
		return false;
	}
}

/** Posts a change to one instance alone; gives the status, and the failure's kind where it was refused. */
export async function write(
	instance: TrialInstance,
	where: string,
	change: unknown,
	token = operatorToken,
): Promise<{readonly status: number; readonly kind: string}> {
	const {statusCode, body} = await request(`http://${instance.addresses.operators}${where}`, {
		method: 'POST', headers: {authorization: `Bearer ${token}`, 'content-type': 'application/json'}, body: JSON.stringify(change),
	});
	const {kind = ''} = await body.json() as {readonly kind?: string};
	return {status: statusCode, kind};
}

/** Waits until every instance that runs knows owners of all slots, from this many upstreams. Throws `deadlineExceeded`. */
export async function settled(deployment: Deployment, upstreams: number): Promise<void> {
	for (const instance of deployment.instances.filter(({child}) => child.running())) {
		await eventually(`${instance.name} knows all owners`, patience, async () => {
			const all = await owners(deployment, instance);
			return all.length >= 256 && all.every(({phase}) => phase === 'granted') && new Set(all.map(({upstream}) => upstream)).size === upstreams;
		});
	}
}

/** The upstream of a place. */
export function viewerPlan({region, zone}: Pick<InstancePlan, 'region' | 'zone'>, rejoins: boolean): UpstreamPlan {
	const position = zones.findIndex(place => place.zone === zone);
	return {
		service: 'bermrand/schedule', name: `viewer-${zone}`, region, zone, checksFence: position % 2 === 0, rejoins,
	};
}

/** Starts the upstream of a place. */
export function startViewer(deployment: Deployment, place: Pick<InstancePlan, 'region' | 'zone'>): void {
	deployment.startUpstream(viewerPlan(place, false));
}

async function begin(deployment: Deployment, folder: string, rejoins: boolean): Promise<void> {
	await deployment.ready();
	await applyTrial(deployment, folder);
	await deployment.startUpstreams(zones.map(place => viewerPlan(place, rejoins)));
	await settled(deployment, zones.length);
}

/** Waits until each wanted key was served for a request sent after a moment. Throws `deadlineExceeded`. */
export async function served(watcher: Watcher, since: MonotonicTime, wanted = keys): Promise<void> {
	await eventually('every key is served again', patience, () => {
		const again = new Set(watcher.sightings.filter(({sentAt, status}) => sentAt > since && status === 200).map(({key}) => key));
		return wanted.every(key => again.has(key));
	});
}

/** The availability zone of an upstream of a trial. */
export function zoneOf(upstream: string): string {
	return upstream.replace('viewer-', '');
}

/** Whether an upstream served the request well. */
export function isServed({status, upstream}: Sighting): boolean {
	return status === 200 && upstream !== '';
}

/** The keys that the upstream of a zone served last. */
export function homeKeys(sightings: readonly Sighting[], zone: string): readonly string[] {
	const homes = new Map(sightings.filter(sighting => isServed(sighting)).map(({key, upstream}) => [key, zoneOf(upstream)]));
	return keys.filter(key => homes.get(key) === zone);
}

/** Waits until every instance has served every key, for requests sent after a moment. Throws `deadlineExceeded`. */
export async function servedEverywhere(watcher: Watcher, instances: readonly TrialInstance[], since: MonotonicTime): Promise<void> {
	await eventually('every instance serves every key', patience, () => {
		const again = new Set(watcher.sightings.filter(sighting => sighting.sentAt > since && isServed(sighting)).map(({instance, key}) => `${instance} ${key}`));
		return again.size === instances.length * keys.length;
	});
}

/** A trial: what is started, and what happens then. */
export type TrialCase = {
	readonly name: string;
	/** Default: one instance in each zone. */
	readonly instances?: readonly InstancePlan[];
	/** The team's folder under `trial`. Default: `bermrand`. */
	readonly folder?: string;
	/** Whether upstreams that were judged to be gone come back as a later incarnation. Default: no. */
	readonly rejoins?: boolean;
	readonly run: (deployment: Deployment) => Promise<void>;
};

/** Describes how many slots each upstream has in each phase, and the status, as each instance that runs knows it. */
async function describeOwners(deployment: Deployment): Promise<readonly string[]> {
	return Promise.all(deployment.instances.filter(({child}) => child.running()).map(async instance => {
		try {
			const all = await owners(deployment, instance);
			const names = all.map(({phase, upstream = 'nobody'}) => `${phase} by ${upstream}`);
			const counts = [...new Set(names)].map(name => `${name}: ${names.filter(other => other === name).length}`);
			const status = await deployment.read(instance, '/operator/status');
			return `${instance.name}: ${counts.join(', ')}; ${JSON.stringify(status)}`;
		} catch {
			return `${instance.name} does not answer`;
		}
	}));
}

/** Makes a test of each case; a failed one prints the last lines of every process, and what each instance knows with the error. */
export function runTrials(title: string, cases: readonly TrialCase[]): void {
	for (const {
		name, run, instances = plans, folder = 'bermrand', rejoins = false,
	} of cases) {
		test(`${title}: ${name}`, {timeout: 180_000}, async () => {
			const deployment = await startDeployment(instances);
			try {
				await begin(deployment, folder, rejoins);
				await run(deployment);
			} catch (error) {
				// A report may show nothing but the error.
				const described = await describeOwners(deployment);
				for (const child of [...deployment.instances.map(instance => instance.child), ...deployment.upstreams.values()]) {
					console.log(child.output().split('\n').filter(line => !line.includes('event=request-failed')).slice(-25).join('\n'));
				}

				console.log(error);
				const {kind, detail} = toFailure(error);
				throw new FailureError(failure(kind, `${detail}\n${described.join('\n')}`));
			} finally {
				await deployment.close();
			}
		});
	}
}
