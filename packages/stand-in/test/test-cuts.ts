/**
 * Availability zones and regions that lose each other, with real processes. Cut
 * are the links between instances; those from instances to upstreams stay, so
 * that a second owner could be reached.
 */
import assert from 'node:assert/strict';
import {monotonicNow} from '@dogwooddeck/clock/monotonic';
import {pause} from '@dogwooddeck/clock/pause';
import {FailureKind} from '@dogwooddeck/model/failure';
import {type Milliseconds, type MonotonicTime} from '@dogwooddeck/model/identifiers';
import {
	isServed, keys, nine, onePerZone, runTrials, servedEverywhere, settled, type TrialCase, write, zoneOf, zones,
} from './trial.js';
import {limit, mostInWindow, windowMilliseconds} from './limit-window.js';
import {type Deployment, type InstancePlan, type TrialInstance} from '@dogwooddeck/stand-in/deployment';
import {
	doubleOwners, type Sighting, startWatcher,
} from '@dogwooddeck/stand-in/watcher';

const cutMilliseconds = 18_000;
const callerPauseMilliseconds = 100;
/** From the cut on until both sides have settled. */
const settlingMilliseconds = 8000;

const Policy = {hold: 'bermrand', takeOver: 'taken'} as const;

type Seen = Readonly<Record<string, readonly string[]>>;

/** What each side does for which keys once both have settled. */
const expected: Readonly<Record<(typeof Policy)[keyof typeof Policy], Seen>> = {
	[Policy.hold]: {
		'inside: its own zone': ['served'],
		'inside: another zone': ['no-lease'],
		'outside: a zone inside': ['served'],
		'outside: a zone outside': ['served'],
	},
	[Policy.takeOver]: {
		'inside: its own zone': ['no-lease'],
		'inside: another zone': ['no-lease'],
		'outside: a zone inside': ['served'],
		'outside: a zone outside': ['served'],
	},
};

type Cut = {
	readonly name: string;
	readonly folder: (typeof Policy)[keyof typeof Policy];
	readonly instances: readonly InstancePlan[];
	/** The zones on the side without a majority of the voters. */
	readonly inside: readonly string[];
	/** With `takeOver`: every key of the cut side is served by others within this time. */
	readonly takenOverMilliseconds?: Milliseconds;
	/** Every instance serves every key within this time of the healing. */
	readonly healedMilliseconds: Milliseconds;
};

const zuid = ['zuid-a', 'zuid-b'];
const noord = ['noord-a', 'noord-b'];

const cuts: readonly Cut[] = [
	{
		name: 'regions lose each other, "hold", nine instances', folder: Policy.hold, instances: nine, inside: zuid, healedMilliseconds: 5000,
	},
	{
		name: 'regions lose each other, "take-over", nine instances',
		folder: Policy.takeOver,
		instances: nine,
		inside: zuid,
		takenOverMilliseconds: 5000,
		healedMilliseconds: 5000,
	},
	{
		name: 'regions lose each other, "take-over", the leader on the smaller side',
		folder: Policy.takeOver,
		instances: onePerZone([0, 2, 3]),
		inside: noord,
		takenOverMilliseconds: 8000,
		healedMilliseconds: 5000,
	},
	{
		name: 'an availability zone is cut off, "take-over"',
		folder: Policy.takeOver,
		instances: onePerZone([0, 1, 2]),
		inside: ['zuid-b'],
		takenOverMilliseconds: 5000,
		healedMilliseconds: 5000,
	},
];

/** The zone that owned each key when the cut began. */
function homes(sightings: readonly Sighting[], cutAt: MonotonicTime): ReadonlyMap<string, string> {
	return new Map(sightings.filter(sighting => isServed(sighting) && sighting.endedAt < cutAt).map(({key, upstream}) => [key, zoneOf(upstream)]));
}

function cellOf(inside: readonly string[], zone: string, home: string): string {
	return inside.includes(zone)
		? `inside: ${zone === home ? 'its own zone' : 'another zone'}`
		: `outside: a zone ${inside.includes(home) ? 'inside' : 'outside'}`;
}

/** How requests of a window went, by who asked for whose keys. */
function observe({instances, inside}: Cut, sightings: readonly Sighting[], home: ReadonlyMap<string, string>): Seen {
	const zoneOfInstance = new Map(instances.map(({name, zone}) => [name, zone]));
	const cells = new Map<string, Set<string>>();
	for (const sighting of sightings) {
		const cell = cellOf(inside, zoneOfInstance.get(sighting.instance)!, home.get(sighting.key)!);
		const how = isServed(sighting) ? 'served' : sighting.failureKind;
		cells.set(cell, new Set([...cells.get(cell) ?? [], how]));
	}

	return Object.fromEntries([...cells].map(([cell, how]) => [cell, [...how].sort()]));
}

type TakeOver = {readonly lastBefore: MonotonicTime; readonly firstAfter: MonotonicTime};

/** For each key of the cut side: when its old owner served last, and when another one first. */
function takeOvers({inside}: Cut, during: readonly Sighting[], home: ReadonlyMap<string, string>): readonly TakeOver[] {
	return keys.filter(key => inside.includes(home.get(key)!)).map(key => {
		const all = during.filter(sighting => sighting.key === key && isServed(sighting));
		const before = all.filter(({upstream}) => inside.includes(zoneOf(upstream))).map(({endedAt}) => endedAt);
		const after = all.filter(({upstream}) => !inside.includes(zoneOf(upstream))).map(({endedAt}) => endedAt);
		return {lastBefore: Math.max(...before), firstAfter: Math.min(...after)};
	});
}

function checkTakeOver(cut: Cut, during: readonly Sighting[], home: ReadonlyMap<string, string>, cutAt: MonotonicTime): void {
	const taken = takeOvers(cut, during, home);
	const longest = Math.max(...taken.map(({firstAfter}) => firstAfter - cutAt));
	const stopped = Math.max(...taken.map(({lastBefore}) => lastBefore - cutAt));
	const gap = Math.min(...taken.map(({lastBefore, firstAfter}) => firstAfter - lastBefore));
	console.log(`${taken.length} keys taken over: old owners served until ${Math.round(stopped)} ms after the cut, all served by others after ${
		Math.round(longest)} ms, smallest gap of a key ${Math.round(gap)} ms`);
	assert.ok(taken.length > 0);
	assert.ok(gap > 0, 'the cut side has stopped before others serve its keys');
	assert.ok(longest < cut.takenOverMilliseconds!, `others serve the keys within ${cut.takenOverMilliseconds} ms`);
}

/** Prints what is known of requests that were refused as too much work, where none should be. */
function showOverloads(sightings: readonly Sighting[], since: MonotonicTime): void {
	const overloads = sightings.filter(({failureKind}) => failureKind === FailureKind.overloaded);
	for (const {instance, key, sentAt, endedAt, failureDetail} of overloads.slice(0, 10)) {
		console.log(`overloaded: ${key} at ${instance}, ${Math.round(sentAt - since)} ms after settling, for ${Math.round(endedAt - sentAt)} ms: ${failureDetail}`);
	}

	console.log(`${overloads.length} of ${sightings.length} requests overloaded`);
}

async function losesEachOther(deployment: Deployment, cut: Cut): Promise<void> {
	const {instances} = deployment;
	const isInside = ({zone}: TrialInstance) => cut.inside.includes(zone);
	const [inner, outer] = [instances.find(instance => isInside(instance))!, instances.find(instance => !isInside(instance))!];
	const watcher = startWatcher(instances, keys, callerPauseMilliseconds);
	await servedEverywhere(watcher, instances, monotonicNow());
	await settled(deployment, zones.length);
	const cutAt = monotonicNow();
	deployment.cut((one, other) => isInside(one) && !isInside(other));
	await pause(settlingMilliseconds);
	const settledAt = monotonicNow();
	const wish = {service: 'bermrand/schedule', slot: 0, upstream: `viewer-${outer.zone}`};
	const refused = await write(inner, '/operator/move', {...wish, operation: 'asked-inside'});
	const accepted = await write(outer, '/operator/move', {...wish, operation: 'asked-outside'});
	await pause(cutMilliseconds - (monotonicNow() - cutAt));
	const healedAt = monotonicNow();
	deployment.heal();
	await servedEverywhere(watcher, instances, healedAt);
	const healedAfter = monotonicNow() - healedAt;
	await settled(deployment, zones.length);
	const sharedAfter = monotonicNow() - healedAt;
	await pause(2000);
	const sightings = await watcher.stop();
	const during = sightings.filter(({sentAt, endedAt}) => sentAt > cutAt && endedAt < healedAt);
	const home = homes(sightings, cutAt);
	const seen = observe(cut, during.filter(({sentAt}) => sentAt > settledAt), home);
	console.log(`${cut.name}: ${JSON.stringify(seen)}; changes inside ${JSON.stringify(refused)}, outside ${JSON.stringify(accepted)}; every key served everywhere ${
		Math.round(healedAfter)} ms after the healing, all upstreams own keys after ${Math.round(sharedAfter)} ms`);
	showOverloads(during.filter(({sentAt}) => sentAt > settledAt), settledAt);
	assert.deepEqual(doubleOwners(sightings), []);
	assert.deepEqual(seen, expected[cut.folder]);
	assert.equal(accepted.status, 200);
	assert.deepEqual(refused, {status: 504, kind: 'outcome-unknown'});
	assert.ok(healedAfter < cut.healedMilliseconds, `every key is served everywhere within ${cut.healedMilliseconds} ms of the healing`);
	if (cut.takenOverMilliseconds !== undefined) {
		checkTakeOver(cut, during, home, cutAt);
	}
}

const limitedCutMilliseconds = 30_000;
/** From here on, nothing is left of the shares that control gave before the cut. */
const afterSharesMilliseconds = 20_000;
/** A zone's steward waits this long before it divides its zone's reserve for the first time. */
const firstReserveMilliseconds = 32_000;
const limitedPauseMilliseconds = 400;

async function servesLimited(deployment: Deployment): Promise<void> {
	const alone = deployment.instances.find(({zone}) => zone === 'zuid-b')!;
	const watcher = startWatcher(deployment.instances, keys, limitedPauseMilliseconds);
	await pause(firstReserveMilliseconds);
	const cutAt = monotonicNow();
	deployment.cut((one, other) => one === alone && other !== alone);
	await pause(limitedCutMilliseconds);
	const healedAt = monotonicNow();
	deployment.heal();
	await pause(windowMilliseconds);
	const sightings = await watcher.stop();
	const admitted = sightings.filter(sighting => isServed(sighting));
	const late = sightings.filter(({instance, sentAt, endedAt}) => instance === alone.name && sentAt > cutAt + afterSharesMilliseconds && endedAt < healedAt);
	const own = late.filter(sighting => isServed(sighting));
	const others = [...new Set(late.filter(sighting => !isServed(sighting)).map(({failureKind}) => failureKind))].sort();
	console.log(`a limit of ${limit} in 10 s: at most ${mostInWindow(admitted)} admitted in any 10 s; the cut zone served ${
		own.length} of its own after second 20, refused others with ${JSON.stringify(others)}`);
	assert.deepEqual(doubleOwners(sightings), []);
	assert.ok(own.length > 0 && own.every(({upstream}) => zoneOf(upstream) === alone.zone), 'the cut zone goes on with its own keys');
	assert.ok(mostInWindow(admitted) <= limit);
}

const cases: readonly TrialCase[]
	= cuts.map(cut => ({
		name: cut.name, instances: cut.instances, folder: cut.folder, rejoins: true, run: async (deployment: Deployment) => losesEachOther(deployment, cut),
	}));
runTrials('cuts', [...cases, {name: 'an availability zone is cut off, with a contracted limit', folder: 'reserved', run: servesLimited}]);
