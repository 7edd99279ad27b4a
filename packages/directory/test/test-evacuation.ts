/** Orders to evacuate and restore zones: the commands, the snapshot, and the plan of keys. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createGrantingState, recordContact} from '@dogwooddeck/key-lease/granting';
import {keyCount, type KeyRange} from '@dogwooddeck/key-lease/range';
import {planDirectory} from '@dogwooddeck/directory/directory-plan';
import {
	applyDirectoryEntry, decodeDirectory, type DirectoryCommand, type DirectoryState, emptyDirectory, encodeCommands, encodeDirectory,
} from '@dogwooddeck/directory/state';
import {UpstreamState, type UpstreamRecord} from '@dogwooddeck/directory/upstream';
import {ZoneTimes} from '@dogwooddeck/directory/zone-times';

const evacuate = (seen: number, zone = 'a'): DirectoryCommand => ({kind: 'zoneEvacuated', zone, seen});
const restore = (seen: number, zone = 'a'): DirectoryCommand => ({kind: 'zoneRestored', zone, seen});
const warm = (restoredAt: number, zone = 'a'): DirectoryCommand => ({kind: 'zoneWarmed', zone, restoredAt});

/** Each command is an entry of its own, from index 1 on. */
const orders: ReadonlyArray<{readonly name: string; readonly commands: readonly DirectoryCommand[]; readonly evacuated: Readonly<Record<string, number>>; readonly restored?: DirectoryState['restoredZones']; readonly refused?: readonly number[]}> = [
	{name: 'an evacuation', commands: [evacuate(0)], evacuated: {a: 1}},
	{name: 'an evacuation that is sent again', commands: [evacuate(0), evacuate(1)], evacuated: {a: 1}},
	{name: 'two zones', commands: [evacuate(0), evacuate(1, 'b')], evacuated: {a: 1, b: 2}},
	{name: 'a restoration of a zone that was never evacuated', commands: [restore(0)], evacuated: {}},
	{
		name: 'a restoration', commands: [evacuate(0), restore(1)], evacuated: {}, restored: {a: {index: 2, isWarm: false}},
	},
	{
		name: 'a restoration that is sent again', commands: [evacuate(0), restore(1), restore(2)], evacuated: {}, restored: {a: {index: 2, isWarm: false}},
	},
	{name: 'a further evacuation', commands: [evacuate(0), restore(1), evacuate(2)], evacuated: {a: 3}},
	{
		name: 'an evacuation that was received before the restoration and arrives after it', commands: [evacuate(0), restore(1), evacuate(0)], evacuated: {}, restored: {a: {index: 2, isWarm: false}}, refused: [3],
	},
	{
		name: 'a restoration that was received before a further evacuation and arrives after it', commands: [evacuate(0), restore(1), evacuate(2), restore(1)], evacuated: {a: 3}, refused: [4],
	},
	{
		name: 'the end of a return', commands: [evacuate(0), restore(1), warm(2)], evacuated: {}, restored: {a: {index: 2, isWarm: true}},
	},
	{name: 'the end of a return after a further evacuation', commands: [evacuate(0), restore(1), evacuate(2), warm(2)], evacuated: {a: 3}},
	{
		name: 'the end of an earlier return', commands: [evacuate(0), restore(1), evacuate(2), restore(3), warm(2)], evacuated: {}, restored: {a: {index: 4, isWarm: false}},
	},
	{name: 'a zone with the name of a property of all objects', commands: [restore(0, 'constructor'), evacuate(0, 'constructor')], evacuated: {constructor: 2}},
];

for (const {name, commands, evacuated, restored = {}, refused = []} of orders) {
	test(`evacuation: ${name}`, () => {
		let state = emptyDirectory;
		const failed: number[] = [];
		for (const [position, command] of commands.entries()) {
			const applied = applyDirectoryEntry(state, encodeCommands([command]), position + 1);
			state = applied.state;
			if (applied.answers.some(answer => answer.isErr)) {
				failed.push(position + 1);
			}
		}

		assert.deepEqual({evacuated: {...state.evacuatedZones}, restored: {...state.restoredZones}, refused: failed}, {evacuated, restored, refused});
		assert.deepEqual(decodeDirectory(encodeDirectory(state)).unwrapOr(emptyDirectory), state);
	});
}

test('evacuation: a snapshot that was written before there were orders has none', () => {
	const {evacuatedZones: _evacuatedZones, restoredZones: _restoredZones, ...earlier} = {...emptyDirectory, applied: 7};
	assert.deepEqual(decodeDirectory(JSON.stringify(earlier)).unwrapOr(emptyDirectory), {...emptyDirectory, applied: 7});
});

const zones = ['a', 'b', 'c'];
const upstreamsOfZone = 4;
const options = {holdMilliseconds: 5000, clockDrift: 0.02};
const coldMilliseconds = 4000;

/** Upstreams of the zones; those of `holderZones` hold as many keys each. */
function deployed(orderCommands: readonly DirectoryCommand[], holderZones: readonly string[] = zones, cold: readonly string[] = []): DirectoryState {
	const upstreams = zones.flatMap(zone => Array.from({length: upstreamsOfZone}, (_, number): UpstreamRecord => ({
		id: `${zone}${number}`, born: 1, service: 's', address: `10.0.${zones.indexOf(zone)}.${number}:80`, zone, slots: 3, state: UpstreamState.ready, cold: cold.includes(zone),
	})));
	const holders = upstreams.filter(({zone}) => holderZones.includes(zone));
	const width = keyCount / holders.length;
	const ranges = holders.map(({id}, position): KeyRange => ({
		from: Math.floor(position * width), to: Math.floor((position + 1) * width) - 1, fence: 1, holder: {id, born: 1}, told: true, handover: '',
	}));
	const state: DirectoryState = {
		...emptyDirectory,
		items: {...emptyDirectory.items, service: {s: {version: 1, value: {keyed: true, maxConnections: 10, coldCapacity: {milliseconds: coldMilliseconds, requestsPerSecond: 5}}}}},
		upstreams: Object.fromEntries(upstreams.map(upstream => [upstream.id, upstream])),
		keys: {s: ranges},
	};
	return orderCommands.reduce((before, command, position) => applyDirectoryEntry(before, encodeCommands([command]), position + 1).state, state);
}

/** Requests for evenly spread keys. */
const rates = Array.from({length: 1024}, (_, number) => ({key: number * 64, rate: 5}));

/** Plans `age` ms after the orders were first seen. */
function planAt(state: DirectoryState, age: number): readonly DirectoryCommand[] {
	const zoneTimes = new ZoneTimes();
	zoneTimes.update(state, 1000);
	const now = 1000 + age;
	zoneTimes.update(state, now);
	const granting = Object.values(state.upstreams).reduce((noted, {id, born}) => recordContact(noted, {id, born}, now, options), createGrantingState(now));
	return planDirectory({
		state, granting, options, now, joinedAt: 0, mostRanges: 150, zoneTimes, workOf: () => ({rates, countedMilliseconds: 8000, relativeSpeedOf: () => 1}),
	});
}

function holdersIn(commands: readonly DirectoryCommand[], kind: 'keysGranted' | 'keysRecalled'): readonly string[] {
	return [...new Set(commands.flatMap(command => command.kind === kind ? command.rows.map(({holder}) => holder.id) : []))].sort();
}

const recalls: ReadonlyArray<{readonly name: string; readonly orders: readonly DirectoryCommand[]; readonly age: number; readonly recalled: readonly string[]}> = [
	{
		name: 'at once from the first upstream', orders: [evacuate(0)], age: 0, recalled: ['a0'],
	},
	{
		name: 'from half of the upstreams after half a second', orders: [evacuate(0)], age: 500, recalled: ['a0', 'a1', 'a2'],
	},
	{
		name: 'from all within a second', orders: [evacuate(0)], age: 1000, recalled: ['a0', 'a1', 'a2', 'a3'],
	},
	{
		name: 'from no more once the zone is restored', orders: [evacuate(0), restore(1)], age: 1000, recalled: [],
	},
	{
		name: 'from all zones if all are evacuated', orders: zones.map((zone, seen) => evacuate(seen, zone)), age: 1000, recalled: ['a', 'b', 'c'].flatMap(zone => [0, 1, 2, 3].map(number => `${zone}${number}`)),
	},
];

for (const {name, orders: given, age, recalled} of recalls) {
	test(`evacuation: keys are recalled ${name}`, () => {
		assert.deepEqual(holdersIn(planAt(deployed(given), age), 'keysRecalled'), recalled);
	});
}

/** All keys have been given up by their holders. */
function withVacantKeys(state: DirectoryState): DirectoryState {
	return {...state, keys: {s: state.keys.s!.map(({holder: _holder, ...range}) => ({...range, told: false}))}};
}

const grants: ReadonlyArray<{readonly name: string; readonly orders: readonly DirectoryCommand[]; readonly age: number; readonly cold?: readonly string[]; readonly granted: readonly string[]}> = [
	{
		name: 'to all zones without orders', orders: [], age: 0, granted: zones,
	},
	{
		name: 'to other zones at once', orders: [evacuate(0)], age: 0, granted: ['b', 'c'],
	},
	{
		name: 'to other zones while theirs is evacuated', orders: [evacuate(0)], age: 60_000, granted: ['b', 'c'],
	},
	{
		name: 'to cold upstreams if the warm ones are evacuated', orders: [evacuate(0)], age: 60_000, cold: ['b', 'c'], granted: ['b', 'c'],
	},
	{
		name: 'to nobody if all zones are evacuated', orders: zones.map((zone, seen) => evacuate(seen, zone)), age: 60_000, granted: [],
	},
	{
		name: 'to other zones while a restored one may be cold', orders: [evacuate(0), restore(1)], age: coldMilliseconds - 1, granted: ['b', 'c'],
	},
	{
		name: 'to all zones after the return', orders: [evacuate(0), restore(1)], age: coldMilliseconds + 5000, granted: zones,
	},
	{
		name: 'to restored zones if there are no others', orders: zones.flatMap((zone, position) => [evacuate(position * 2, zone), restore((position * 2) + 1, zone)]), age: 0, granted: zones,
	},
];

for (const {name, orders: given, age, cold, granted} of grants) {
	test(`evacuation: unassigned keys are granted ${name}`, () => {
		const holders = holdersIn(planAt(withVacantKeys(deployed(given, zones, cold)), age), 'keysGranted');
		assert.deepEqual([...new Set(holders.map(([zone]) => zone))], granted);
	});
}

/** After the withdrawal all keys are with the other zones, and the balance moves some back: one upstream of the zone after the other accepts them. */
const returns: ReadonlyArray<{readonly age: number; readonly isMoving: boolean; readonly isEnding: boolean}> = [
	{age: 0, isMoving: false, isEnding: false},
	{age: coldMilliseconds - 1, isMoving: false, isEnding: false},
	{age: coldMilliseconds, isMoving: true, isEnding: false},
	{age: coldMilliseconds + 4999, isMoving: true, isEnding: false},
	{age: coldMilliseconds + 5000, isMoving: true, isEnding: true},
];

for (const {age, isMoving, isEnding} of returns) {
	test(`evacuation: ${age} ms after the withdrawal keys ${isMoving ? 'come back' : 'stay'}`, () => {
		const commands = planAt(deployed([evacuate(0), restore(1)], ['b', 'c']), age);
		assert.equal(holdersIn(commands, 'keysRecalled').length > 0, isMoving);
		assert.deepEqual(commands.filter(({kind}) => kind === 'zoneWarmed'), isEnding ? [warm(2)] : []);
	});
}

test('evacuation: the end of a return is planned once', () => {
	assert.deepEqual(planAt(deployed([evacuate(0), restore(1), warm(2)]), 60_000), []);
});
