import assert from 'node:assert/strict';
import {test} from 'node:test';
import {directoryMachine, type DirectoryState, emptyDirectory} from '@dogwooddeck/directory/state';
import {UpstreamState} from '@dogwooddeck/directory/upstream';
import {decodeMessage} from '@dogwooddeck/mesh/encoding';
import {type FollowMessage} from '@dogwooddeck/mesh/calls';
import {createStateHolder} from '@dogwooddeck/replica/state-holder';
import {ColdAssigner, type ColdAssignments} from '@dogwooddeck/control-node/cold-assigner';
import {createFollowers, heartbeatMilliseconds} from '@dogwooddeck/control-node/followers';

type Described = {readonly id: string; readonly service?: string; readonly zone?: string; readonly cold?: boolean; readonly born?: number; readonly state?: UpstreamState};

const coldCapacity = {milliseconds: 3000, requestsPerSecond: 5.2};

function directoryOf(upstreams: readonly Described[], evacuatedZones: readonly string[] = []): DirectoryState {
	const item = (keyed: boolean, hasCapacity: boolean) => ({version: 1, value: {keyed, maxConnections: 20, ...(hasCapacity ? {coldCapacity} : {})}});
	const state = {
		...emptyDirectory,
		items: {...emptyDirectory.items, service: {s: item(false, true), keyed: item(true, true), free: item(false, false)}},
		upstreams: Object.fromEntries(upstreams.map(({id, service = 's', zone = 'z', cold = true, born = 1, state: announced = UpstreamState.ready}) => [id, {
			id, born, service, address: `10.0.0.1:${id}`, zone, slots: 3, state: announced, cold,
		}])),
		evacuatedZones: Object.fromEntries(evacuatedZones.map(zone => [zone, 1])),
	};
	return state;
}

type Step = {readonly at: number; readonly directory: DirectoryState; readonly entries: readonly string[]; readonly expected: ColdAssignments | undefined};
type AssignerCase = {readonly name: string; readonly steps: readonly Step[]};

const one = directoryOf([{id: '1'}]);
const warm = directoryOf([{id: '1', cold: false}]);

const cases: readonly AssignerCase[] = [
	{
		name: 'nothing is cold', steps: [{
			at: 1000, directory: warm, entries: ['a'], expected: undefined,
		}],
	},
	{
		name: 'the lease of an earlier process may still be valid', steps: [
			{
				at: 899, directory: one, entries: ['a'], expected: undefined,
			},
			{
				at: 900, directory: one, entries: ['a'], expected: {a: ['1']},
			},
		],
	},
	{
		name: 'nobody follows', steps: [{
			at: 1000, directory: one, entries: [], expected: undefined,
		}],
	},
	{
		name: 'upstreams are spread over the entries', steps: [{
			at: 1000, directory: directoryOf([{id: '1'}, {id: '2'}, {id: '3'}]), entries: ['a', 'b'], expected: {a: ['1', '3'], b: ['2']},
		}],
	},
	{
		name: 'of another zone, with keys, without a cold capacity, draining, or warm', steps: [{
			at: 1000,
			directory: directoryOf([{id: '1', zone: 'y'}, {id: '2', service: 'keyed'}, {id: '3', service: 'free'}, {id: '4', state: UpstreamState.draining}, {id: '5', cold: false}, {id: '6'}]),
			entries: ['a'],
			expected: {a: ['6']},
		}],
	},
	{
		name: 'the entry leaves and another takes over once its lease has ended', steps: [
			{
				at: 1000, directory: one, entries: ['a', 'b'], expected: {a: ['1']},
			},
			{
				at: 1250, directory: one, entries: ['b'], expected: undefined,
			},
			{
				at: 1899, directory: one, entries: ['b'], expected: undefined,
			},
			{
				at: 1900, directory: one, entries: ['b'], expected: {b: ['1']},
			},
		],
	},
	{
		name: 'the entry leaves and comes back', steps: [
			{
				at: 1000, directory: one, entries: ['a', 'b'], expected: {a: ['1']},
			},
			{
				at: 1250, directory: one, entries: ['b'], expected: undefined,
			},
			{
				at: 1500, directory: one, entries: ['b', 'a'], expected: {a: ['1']},
			},
		],
	},
	{
		name: 'warm and soon cold again: the same entry', steps: [
			{
				at: 1000, directory: one, entries: ['a', 'b'], expected: {a: ['1']},
			},
			{
				at: 1250, directory: warm, entries: ['b', 'a'], expected: undefined,
			},
			{
				at: 1500, directory: one, entries: ['b', 'a'], expected: {a: ['1']},
			},
		],
	},
	{
		name: 'a new incarnation that says it is warm, for its cold time', steps: [
			{
				at: 1000, directory: warm, entries: ['a'], expected: undefined,
			},
			{
				at: 1250, directory: directoryOf([{id: '1', cold: false, born: 2}]), entries: ['a'], expected: {a: ['1']},
			},
			{
				at: 4249, directory: directoryOf([{id: '1', cold: false, born: 2}]), entries: ['a'], expected: {a: ['1']},
			},
			{
				at: 4250, directory: directoryOf([{id: '1', cold: false, born: 2}]), entries: ['a'], expected: undefined,
			},
		],
	},
	{
		name: 'the zone is in use again', steps: [
			{
				at: 1000, directory: directoryOf([{id: '1', cold: false}], ['z']), entries: ['a'], expected: undefined,
			},
			{
				at: 1250, directory: warm, entries: ['a'], expected: {a: ['1']},
			},
		],
	},
];

for (const {name, steps} of cases) {
	test(`cold assigner: ${name}`, () => {
		const assigner = new ColdAssigner('z', 0);
		for (const {at, directory, entries, expected} of steps) {
			assert.deepEqual(assigner.assign(directory, entries, at), expected, `at ${at}`);
		}
	});
}

/** The messages that a follower receives, with what the upstream's record says. */
const streamCases: ReadonlyArray<{readonly name: string; readonly wantsChanges: boolean; readonly cold: boolean; readonly expected: ColdAssignments | undefined}> = [
	{
		name: 'an entry that receives changes', wantsChanges: true, cold: true, expected: {a: ['1']},
	},
	{
		name: 'an entry that receives no changes', wantsChanges: false, cold: true, expected: undefined,
	},
	{
		name: 'while nothing is cold', wantsChanges: true, cold: false, expected: undefined,
	},
];

for (const {name, wantsChanges, cold, expected} of streamCases) {
	test(`cold assignments in the stream: ${name}`, context => {
		context.mock.timers.enable({apis: ['setInterval']});
		const holder = createStateHolder(directoryMachine);
		const assigner = new ColdAssigner('z', 0);
		const directory = directoryOf([{id: '1', cold}]);
		const received: FollowMessage[] = [];
		const followers = createFollowers(holder, () => {
			const assigned = assigner.assign(directory, followers.changeReceivers(), 1000);
			return {
				fresh: true, committed: 0, entryCount: 1, zone: 'z', shares: [], members: [], sentAt: 1000, ...(assigned === undefined ? {} : {cold: assigned}),
			};
		});
		followers.add({
			request: {entry: 'a', applied: 0, wantsChanges},
			send(message) {
				received.push(decodeMessage(message) as FollowMessage);
				return true;
			},
			onEnd: () => undefined,
		});
		context.mock.timers.tick(heartbeatMilliseconds);
		followers.stop();
		assert.deepEqual(received.map(message => message.cold), [expected, expected]);
		assert.equal('cold' in received[0]!, expected !== undefined);
	});
}
