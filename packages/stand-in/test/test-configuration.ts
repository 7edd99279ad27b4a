/**
 * Changes of configuration on nine real processes: how long until one is in
 * force on all of them, and a race of two operators while the leader is killed.
 */
import assert from 'node:assert/strict';
import path from 'node:path';
import {test} from 'node:test';
import {monotonicNow} from '@dogwooddeck/clock/monotonic';
import {pause} from '@dogwooddeck/clock/pause';
import {nine, patience} from './trial.js';
import {eventually} from '@dogwooddeck/stand-in/child';
import {
	type Deployment, repository, startDeployment, type TrialInstance,
} from '@dogwooddeck/stand-in/deployment';

const folders = ['bermrand', 'limited'].map(folder => path.join(repository, 'packages/stand-in/trial', folder));
const inForceMilliseconds = 2000;
/** With an election on the way. */
const inForceAfterLossMilliseconds = 10_000;
const quietChanges = 8;
/** From the start of the two command lines to the end of the leader: before, while and after they send. */
const killDelays = [0, 300, 600];

type Status = {readonly leader?: string; readonly revisions: ReadonlyArray<{readonly team: string; readonly revision: number}>};
type Entry = {readonly revision: number; readonly operation: string};
type Ended = {readonly code: number | undefined; readonly output: string};

async function statusOf(deployment: Deployment, instance: TrialInstance): Promise<Status> {
	return await deployment.read(instance, '/operator/status') as Status;
}

async function revisionAt(deployment: Deployment, instance: TrialInstance): Promise<number> {
	try {
		const {revisions} = await statusOf(deployment, instance);
		return revisions.find(({team}) => team === 'bermrand')?.revision ?? 0;
	} catch {
		return -1;
	}
}

/** The time from `since` until every instance has a revision after `base`. */
async function inForceAfter(deployment: Deployment, instances: readonly TrialInstance[], base: number, since: number): Promise<number> {
	await Promise.all(instances.map(async instance =>
		eventually(`a revision after ${base} is in force on ${instance.name}`, patience, async () => await revisionAt(deployment, instance) > base)));
	return monotonicNow() - since;
}

async function measuresQuiet(deployment: Deployment): Promise<void> {
	const commands: number[] = [];
	const instances: number[] = [];
	for (let change = 0; change < quietChanges; change++) {
		const base = await revisionAt(deployment, deployment.instances[0]!);
		const since = monotonicNow();
		const [applied, inForce] = await Promise.all([
			deployment.control('apply', folders[change % 2]!, '--wait'),
			inForceAfter(deployment, deployment.instances, base, since),
		]);
		assert.equal(applied.code, 0, applied.output);
		commands.push(Math.round(monotonicNow() - since));
		instances.push(Math.round(inForce));
	}

	console.log(`in force on all nine after ${instances.join(', ')} ms; apply --wait ended after ${commands.join(', ')} ms, its start as a process included`);
	assert.ok([...commands, ...instances].every(time => time < inForceMilliseconds), 'in force on all nine within 2 s');
}

/** Sends one operation until its outcome is known, as its operator would. */
async function applyThrough(deployment: Deployment, first: TrialInstance, folder: string, operation: string, base: number): Promise<Ended> {
	return eventually(`the outcome of ${operation} is known`, patience, async () => {
		const ended = await deployment.control('apply', folder, '--server', `http://${first.addresses.operators}`, '--operation', operation, '--base', String(base));
		return ended.code === 0 || ended.code === 5 ? ended : undefined;
	});
}

async function historyAt(deployment: Deployment, instance: TrialInstance): Promise<readonly Entry[]> {
	const {entries} = await deployment.read(instance, '/operator/history?team=bermrand') as {readonly entries: readonly Entry[]};
	return entries.map(({revision, operation}) => ({revision, operation}));
}

function checkRace(ended: readonly Ended[], operations: readonly string[], base: number, history: readonly Entry[]): Entry {
	const after = history.filter(({revision}) => revision > base);
	assert.equal(after.length, 1, 'one change was accepted');
	const [winner] = after as [Entry];
	const won = operations.indexOf(winner.operation);
	assert.equal(ended[won]!.code, 0, ended[won]!.output);
	assert.match(ended[won]!.output, new RegExp(`accepted as revision ${winner.revision}\\b`, 'v'));
	const lost = ended[1 - won]!;
	assert.equal(lost.code, 5, lost.output);
	assert.match(lost.output, new RegExp(`builds on revision ${base}, but revision ${winner.revision} of bermrand stands`, 'v'));
	return winner;
}

async function races(deployment: Deployment, killDelay: number): Promise<void> {
	const {leader: name} = await statusOf(deployment, deployment.instances[3]!);
	const leader = deployment.instances.find(instance => instance.name === name)!;
	const others = deployment.instances.filter(instance => instance !== leader);
	const through = [others[0]!, others.at(-1)!];
	const base = await revisionAt(deployment, others[0]!);
	const operations = folders.map((_, position) => `race-${killDelay}-${position}`);
	const sendAll = async () => Promise.all(through.map(async (first, position) => applyThrough(deployment, first, folders[position]!, operations[position]!, base)));
	const since = monotonicNow();
	const sending = sendAll();
	await pause(killDelay);
	await leader.child.kill();
	const [ended, inForce] = await Promise.all([sending, inForceAfter(deployment, others, base, since)]);
	const winner = checkRace(ended, operations, base, await historyAt(deployment, others[0]!));
	const again = await sendAll();
	assert.deepEqual(again.map(({code}) => code), ended.map(({code}) => code));
	checkRace(again, operations, base, await historyAt(deployment, others[0]!));
	const returned = monotonicNow();
	deployment.restart(leader);
	const onAll = await inForceAfter(deployment, deployment.instances, base, returned);
	console.log(`leader killed after ${killDelay} ms: ${winner.operation} won with revision ${winner.revision}, in force on the eight others after ${
		Math.round(inForce)} ms, on the ninth ${Math.round(onAll)} ms after its start`);
	assert.ok(inForce < inForceAfterLossMilliseconds && onAll < inForceAfterLossMilliseconds);
	await deployment.ready();
	const histories = await Promise.all(deployment.instances.map(async instance => historyAt(deployment, instance)));
	assert.ok(histories.every(history => JSON.stringify(history) === JSON.stringify(histories[0])), 'all nine have one history');
}

async function racesInTurn(deployment: Deployment): Promise<void> {
	for (const killDelay of killDelays) {
		await races(deployment, killDelay);
	}
}

const cases: ReadonlyArray<{readonly name: string; readonly run: (deployment: Deployment) => Promise<void>}> = [
	{name: 'a change is in force on nine instances', run: measuresQuiet},
	{name: 'two operators race on one base while the leader is killed', run: racesInTurn},
];

for (const {name, run} of cases) {
	test(`configuration: ${name}`, {timeout: 180_000}, async () => {
		const deployment = await startDeployment(nine);
		try {
			await deployment.ready();
			const first = await deployment.control('apply', folders[0]!, '--wait');
			assert.equal(first.code, 0, first.output);
			await run(deployment);
		} catch (error) {
			for (const {child} of deployment.instances) {
				console.log(child.output().split('\n').slice(-15).join('\n'));
			}

			throw error;
		} finally {
			await deployment.close();
		}
	});
}
