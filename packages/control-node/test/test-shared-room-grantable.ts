import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type DirectoryState, emptyDirectory} from '@dogwooddeck/directory/state';
import {UpstreamState} from '@dogwooddeck/directory/upstream';
import {grantableUpstreams} from '@dogwooddeck/control-node/room-keepers';

type Case = {
	readonly name: string;
	readonly cold?: readonly string[];
	readonly draining?: readonly string[];
	readonly hasCapacity?: boolean;
	readonly evacuated?: readonly string[];
	readonly expected: readonly string[];
};

const cases: readonly Case[] = [
	{name: 'all that are ready', expected: ['1', '2']},
	{name: 'not one that is draining', draining: ['1'], expected: ['2']},
	{name: 'warm ones before cold ones', cold: ['1'], expected: ['2']},
	{name: 'cold ones if there are no others', cold: ['1', '2'], expected: ['1', '2']},
	{
		name: 'no cold ones that bear few requests', cold: ['1', '2'], hasCapacity: true, expected: [],
	},
	{name: 'none while the zone is evacuated', evacuated: ['z'], expected: []},
	{name: 'all while another zone is evacuated', evacuated: ['y'], expected: ['1', '2']},
];

function directoryOf({cold = [], draining = [], hasCapacity = false, evacuated = []}: Case): DirectoryState {
	const value = {keyed: false, maxConnections: 10, ...(hasCapacity ? {coldCapacity: {milliseconds: 3000, requestsPerSecond: 5}} : {})};
	const upstream = (id: string, zone: string) => [id, {
		id, born: 1, service: 's', address: `127.0.0.1:${id}`, zone, slots: 3, state: draining.includes(id) ? UpstreamState.draining : UpstreamState.ready, cold: cold.includes(id),
	}] as const;
	return {
		...emptyDirectory,
		items: {...emptyDirectory.items, service: {s: {version: 1, value}}},
		upstreams: Object.fromEntries([upstream('1', 'z'), upstream('2', 'z'), upstream('3', 'y')]),
		evacuatedZones: Object.fromEntries(evacuated.map(zone => [zone, 1])),
	};
}

for (const tested of cases) {
	test(`shared room, upstreams that a keeper grants: ${tested.name}`, () => {
		assert.deepEqual(grantableUpstreams(directoryOf(tested), 's', 'z').map(({id}) => id), tested.expected);
	});
}
