/**
 * What operators can do, against a real deployment: a zone is declared lost,
 * and a team gets its token.
 */
import assert from 'node:assert/strict';
import {writeFile} from 'node:fs/promises';
import path from 'node:path';
import {monotonicNow} from '@dogwooddeck/clock/monotonic';
import {pause} from '@dogwooddeck/clock/pause';
import {type Milliseconds, type MonotonicTime} from '@dogwooddeck/model/identifiers';
import {
	homeKeys, isServed, keys, owned, owners, patience, runTrials, served, servedEverywhere, settled, startViewer, type TrialCase, write, zoneOf, zones,
} from './trial.js';
import {eventually} from '@dogwooddeck/stand-in/child';
import {type Deployment, type TrialInstance} from '@dogwooddeck/stand-in/deployment';
import {doubleOwners, startWatcher, type Watcher} from '@dogwooddeck/stand-in/watcher';

const lostZone = 'zuid-b';
const confirmation = `the upstreams of ${lostZone} are stopped`;
const othersWithinMilliseconds = 8000;
const waitingMilliseconds = 8000;
/** From the loss on until others have settled. */
const settlingMilliseconds = 4000;

/** Gives the moment at which the right command began. */
async function declareLost(deployment: Deployment): Promise<MonotonicTime> {
	const wrong = await deployment.control('zone', 'declare-lost', lostZone, '--confirm', 'yes');
	assert.equal(wrong.code, 3, wrong.output);
	const unknown = await deployment.control('zone', 'declare-lost', 'elsewhere', '--confirm', 'the upstreams of elsewhere are stopped');
	assert.equal(unknown.code, 8, unknown.output);
	const parameters = ['zone', 'declare-lost', lostZone, '--confirm', confirmation, '--operation', 'zone-lost-1'];
	const since = monotonicNow();
	const accepted = await deployment.control(...parameters);
	assert.equal(accepted.code, 0, accepted.output);
	const again = await deployment.control(...parameters);
	assert.deepEqual(again, accepted, 'the same operation has the same answer');
	return since;
}

/** Waits until others own all slots, and gives the time from the declaration until they served all of the zone's keys. */
async function takenByOthers(deployment: Deployment, watcher: Watcher, wanted: readonly string[], since: MonotonicTime): Promise<Milliseconds> {
	const [first] = deployment.instances as [TrialInstance];
	await eventually('others own all slots', patience, async () => {
		const all = await owners(deployment, first);
		return all.every(({phase, zone}) => phase === 'granted' && zone !== lostZone);
	});
	await eventually('others serve the keys', patience, () => {
		const again = new Set(watcher.sightings
			.filter(sighting => sighting.sentAt > since && isServed(sighting) && zoneOf(sighting.upstream) !== lostZone)
			.map(({key}) => key));
		return wanted.every(key => again.has(key));
	});
	return monotonicNow() - since;
}

async function declaresDeadZone(deployment: Deployment): Promise<void> {
	const lost = deployment.instances.find(({zone}) => zone === lostZone)!;
	const others = deployment.instances.filter(instance => instance !== lost);
	const watcher = startWatcher(others, keys);
	await served(watcher, monotonicNow());
	await settled(deployment, zones.length);
	const theirs = homeKeys(watcher.sightings, lostZone);
	await Promise.all([lost.child.kill(), deployment.upstreams.get(`viewer-${lostZone}`)!.kill()]);
	const killedAt = monotonicNow();
	await pause(waitingMilliseconds);
	const waiting = watcher.sightings.filter(({sentAt, key}) => sentAt > killedAt && theirs.includes(key));
	const kinds = [...new Set(waiting.filter(({sentAt}) => sentAt > killedAt + settlingMilliseconds).map(({failureKind}) => failureKind))];
	const kept = await owned(deployment, others[0]!, `viewer-${lostZone}`);
	assert.ok(kept.length > 0 && kept.every(({phase}) => phase === 'granted'), 'a "hold" zone keeps its slots');
	assert.deepEqual(waiting.filter(sighting => isServed(sighting)), [], 'nobody else serves its keys');
	const declaredAt = await declareLost(deployment);
	const after = await takenByOthers(deployment, watcher, theirs, declaredAt);
	deployment.restart(lost);
	startViewer(deployment, lost);
	await deployment.ready();
	await settled(deployment, zones.length);
	const sightings = await watcher.stop();
	console.log(`dead zone: ${theirs.length} keys refused with ${kinds.join(', ')} until it was declared lost, served by others ${Math.round(after)} ms after that`);
	assert.ok(theirs.length > 0);
	assert.ok(after < othersWithinMilliseconds, `others serve the keys within ${othersWithinMilliseconds} ms`);
	assert.deepEqual(doubleOwners(sightings), []);
}

async function declaresLivingZone(deployment: Deployment): Promise<void> {
	const alive = deployment.instances.find(({zone}) => zone === lostZone)!;
	const watcher = startWatcher(deployment.instances, keys);
	await servedEverywhere(watcher, deployment.instances, monotonicNow());
	await settled(deployment, zones.length);
	const theirs = homeKeys(watcher.sightings, lostZone);
	deployment.cut((one, other) => one === alive && other !== alive);
	await pause(waitingMilliseconds);
	const declaredAt = await declareLost(deployment);
	const after = await takenByOthers(deployment, watcher, theirs, declaredAt);
	await pause(1000);
	const double = doubleOwners(watcher.sightings);
	const healedAt = monotonicNow();
	deployment.heal();
	await servedEverywhere(watcher, deployment.instances, healedAt);
	const servedAt = monotonicNow();
	await settled(deployment, zones.length);
	await pause(2000);
	const sightings = await watcher.stop();
	console.log(`living zone: others served its ${theirs.length} keys ${Math.round(after)} ms after it was declared lost, ${
		double.length} keys had two owners until the healing, every instance served every key ${Math.round(servedAt - healedAt)} ms after it`);
	assert.deepEqual(new Set(double), new Set(theirs), 'the words of the confirmation: exactly the keys of the living zone have two owners');
	assert.deepEqual(doubleOwners(sightings.filter(({sentAt}) => sentAt > servedAt)), [], 'none has two owners after the healing');
}

type Step = {readonly token: 'first' | 'second'; readonly parameters: readonly string[]; readonly code: number};

const teamFolder = 'packages/stand-in/trial/bermrand';

/** What a team's token allows once it is set, and after the second has replaced the first. */
const steps: Readonly<Record<string, readonly Step[]>> = {
	set: [
		{token: 'first', parameters: ['history', '--team', 'bermrand'], code: 0},
		{token: 'first', parameters: ['apply', teamFolder], code: 0},
		{token: 'first', parameters: ['move', 'bermrand/schedule', '0', 'viewer-zuid-a'], code: 0},
		{token: 'first', parameters: ['history', '--team', 'valbrembo'], code: 4},
		{token: 'first', parameters: ['apply', 'examples/valbrembo'], code: 4},
		{token: 'first', parameters: ['zone', 'declare-lost', lostZone, '--confirm', confirmation], code: 4},
		{token: 'second', parameters: ['history', '--team', 'bermrand'], code: 4},
	],
	replaced: [
		{token: 'first', parameters: ['history', '--team', 'bermrand'], code: 4},
		{token: 'second', parameters: ['history', '--team', 'bermrand'], code: 0},
	],
};

async function knowsToken(instance: TrialInstance, token: string): Promise<boolean> {
	const {kind} = await write(instance, '/operator/drain', {service: 'bermrand/schedule', upstream: 'nobody', operation: `drain-${token}`}, token);
	return kind === 'not-found';
}

async function setsToken(deployment: Deployment): Promise<void> {
	const tokens = {first: 'first-token-of-bermrand-0001', second: 'second-token-of-bermrand-002'};
	const fileOf = (name: Step['token']) => path.join(deployment.folder, `${name}-token`);
	const turns = [{name: 'first', run: steps.set!}, {name: 'second', run: steps.replaced!}] as const;
	await Promise.all(turns.map(async ({name}) => writeFile(fileOf(name), `${tokens[name]}\n`)));
	for (const {name, run} of turns) {
		const since = monotonicNow();
		const accepted = await deployment.control('token', '--team', 'bermrand', '--new-token-file', fileOf(name));
		assert.equal(accepted.code, 0, accepted.output);
		assert.ok(!accepted.output.includes(tokens[name]));
		for (const instance of deployment.instances) {
			await eventually(`${instance.name} knows the token`, patience, async () => knowsToken(instance, tokens[name]));
		}

		console.log(`token ${name}: in force on every instance ${Math.round(monotonicNow() - since)} ms after the command began`);
		for (const {token, parameters, code} of run) {
			const ended = await deployment.controlAs(fileOf(token), ...parameters);
			assert.equal(ended.code, code, `${parameters.join(' ')}: ${ended.output}`);
		}
	}
}

const cases: readonly TrialCase[] = [
	{name: 'a dead zone that holds is declared lost, and returns', run: declaresDeadZone},
	{name: 'a cut zone that lives is declared lost, and heals', rejoins: true, run: declaresLivingZone},
	{name: 'a team\'s token is set and replaced', run: setsToken},
];

runTrials('remedies', cases);
