import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	applyDirectoryEntry, type DirectoryCommand, decodeDirectory, emptyDirectory, encodeDirectory,
} from '@dogwooddeck/directory/state';
import {isReplaced, UpstreamState, type UpstreamRecord} from '@dogwooddeck/directory/upstream';

function record(id: string, born: number, fields: Partial<UpstreamRecord> = {}): UpstreamRecord {
	return {
		id, born, service: 's', address: '10.0.0.1:1', zone: 'z', slots: 3, state: UpstreamState.ready, cold: false, ...fields,
	};
}

function announced(upstream: UpstreamRecord): DirectoryCommand {
	return {kind: 'upstreamAnnounced', upstream};
}

function departed(id: string, born: number): DirectoryCommand {
	return {kind: 'upstreamDeparted', life: {id, born}, at: 9};
}

const elsewhere = {address: '10.0.0.2:1'};

const cases: ReadonlyArray<{readonly name: string; readonly commands: readonly DirectoryCommand[]; readonly recorded: ReadonlyArray<readonly [string, number, UpstreamState]>; readonly rejections: number}> = [
	{
		name: 'a first incarnation', commands: [announced(record('a', 1))], recorded: [['a', 1, 'ready']], rejections: 0,
	},
	{
		name: 'a later incarnation with the same id', commands: [announced(record('a', 1)), announced(record('a', 2))], recorded: [['a', 2, 'ready']], rejections: 0,
	},
	{
		name: 'a delayed announcement of an earlier incarnation', commands: [announced(record('a', 2)), announced(record('a', 1))], recorded: [['a', 2, 'ready']], rejections: 1,
	},
	{
		name: 'another upstream with the same address', commands: [announced(record('a', 1)), announced(record('b', 2))], recorded: [['b', 2, 'ready']], rejections: 0,
	},
	{
		name: 'a delayed announcement of the upstream that had the address before', commands: [announced(record('a', 1)), announced(record('b', 2)), announced(record('a', 1))], recorded: [['b', 2, 'ready']], rejections: 1,
	},
	{
		name: 'a draining upstream can\'t become ready again', commands: [announced(record('a', 1, {state: UpstreamState.draining})), announced(record('a', 1))], recorded: [['a', 1, 'draining']], rejections: 1,
	},
	{
		name: 'a delayed announcement after the departure', commands: [announced(record('a', 1)), departed('a', 1), announced(record('a', 1))], recorded: [], rejections: 1,
	},
	{
		name: 'a new incarnation after the departure', commands: [announced(record('a', 1)), departed('a', 1), announced(record('a', 2))], recorded: [['a', 2, 'ready']], rejections: 0,
	},
	// DRAIN: the departure of an upstream was acknowledged, and a delayed announcement of what it replaced made its id or address available again.
	{
		name: 'a delayed announcement of an earlier incarnation after the departure of a later one',
		commands: [announced(record('a', 1)), announced(record('a', 2)), departed('a', 2), announced(record('a', 1))],
		recorded: [],
		rejections: 1,
	},
	{
		name: 'a delayed announcement of an earlier incarnation that had another address',
		commands: [announced(record('a', 1, elsewhere)), announced(record('a', 2)), departed('a', 2), announced(record('a', 1, elsewhere))],
		recorded: [],
		rejections: 1,
	},
	{
		name: 'a delayed announcement of the upstream that had the address of a departed one before',
		commands: [announced(record('a', 1)), announced(record('b', 2)), departed('b', 2), announced(record('a', 1))],
		recorded: [],
		rejections: 1,
	},
	{
		name: 'a later upstream at the address of a departed one',
		commands: [announced(record('a', 1)), departed('a', 1), announced(record('b', 2))],
		recorded: [['b', 2, 'ready']],
		rejections: 0,
	},
	{
		name: 'an earlier upstream at another address than a departed one',
		commands: [announced(record('b', 2)), departed('b', 2), announced(record('a', 1, elsewhere))],
		recorded: [['a', 1, 'ready']],
		rejections: 0,
	},
	{
		name: 'a delayed announcement of an earlier incarnation after the departure of another one between the two',
		commands: [announced(record('a', 2)), departed('a', 2), announced(record('a', 3)), {kind: 'upstreamRemoved', life: {id: 'a', born: 3}}, announced(record('a', 1))],
		recorded: [],
		rejections: 1,
	},
	// DRAIN: a draining upstream, removed for lack of contact, became ready again by an announcement from before it drained.
	{
		name: 'a draining upstream that was removed for lack of contact can\'t become ready again',
		commands: [announced(record('a', 1, {state: UpstreamState.draining})), {kind: 'upstreamRemoved', life: {id: 'a', born: 1}}, announced(record('a', 1))],
		recorded: [],
		rejections: 1,
	},
	{
		name: 'the removal of an earlier incarnation than the draining one',
		commands: [announced(record('a', 2, {state: UpstreamState.draining})), {kind: 'upstreamRemoved', life: {id: 'a', born: 1}}, announced(record('a', 3))],
		recorded: [['a', 3, 'ready']],
		rejections: 0,
	},
	{
		name: 'the departure of an earlier incarnation', commands: [announced(record('a', 2)), departed('a', 1)], recorded: [['a', 2, 'ready']], rejections: 0,
	},
	{
		name: 'an address that is not valid', commands: [announced(record('a', 1)), announced(record('b', 2, {address: '10.0.0.2:99999'}))], recorded: [['a', 1, 'ready']], rejections: 1,
	},
	{
		name: 'an upstream that was removed for lack of contact may return', commands: [announced(record('a', 1)), {kind: 'upstreamRemoved', life: {id: 'a', born: 1}}, announced(record('a', 1))], recorded: [['a', 1, 'ready']], rejections: 0,
	},
];

for (const {name, commands, recorded, rejections} of cases) {
	test(`upstreams: ${name}`, () => {
		const {state, answers} = applyDirectoryEntry(emptyDirectory, JSON.stringify(commands), 1);
		assert.deepEqual(Object.values(state.upstreams).map(({id, born, state: phase}) => [id, born, phase]), recorded);
		assert.equal(answers.filter(answer => answer.isErr).length, rejections);
		assert.deepEqual(decodeDirectory(encodeDirectory(state)).unwrapOr(emptyDirectory), state);
	});
}

test('upstreams: an incarnation is replaced by a later one with its id or address', () => {
	const {state} = applyDirectoryEntry(emptyDirectory, JSON.stringify([announced(record('a', 1)), announced(record('b', 2))]), 1);
	assert.equal(state.formerAddresses['a#1'], '10.0.0.1:1');
	assert.equal(isReplaced(state.upstreams, {id: 'a', born: 1}, state.formerAddresses['a#1']), true);
	assert.equal(isReplaced(state.upstreams, {id: 'b', born: 2}, '10.0.0.1:1'), false);
});

test('upstreams: the snapshot of an earlier version lists departed incarnations as text', () => {
	const {state} = applyDirectoryEntry(emptyDirectory, JSON.stringify([announced(record('a#b', 1)), departed('a#b', 1)]), 1);
	const {departures, ...others} = JSON.parse(encodeDirectory(state)) as Record<string, unknown>;
	assert.deepEqual(departures, [{id: 'a#b', born: 1, address: '10.0.0.1:1'}]);
	assert.deepEqual(decodeDirectory(JSON.stringify({...others, departed: ['a#b#1']})).unwrapOr(emptyDirectory), state);
});
