import assert from 'node:assert/strict';
import {test} from 'node:test';
import {PeerMemory, peerLimitsOf} from '@dogwooddeck/gateway/peer-memory';

const megabyte = 1_048_576;
const machines = [150, 210, 250, 350].map(megabytes => ({memoryBytes: megabytes * megabyte, descriptors: 3000}));

for (const machine of machines) {
	test(`peer memory: a machine of ${machine.memoryBytes / megabyte} MB is never promised whole`, () => {
		const {connections, largestBodyBytes, ...bytes} = peerLimitsOf(machine);
		const held = Object.values(bytes).reduce((sum, part) => sum + part, 0);
		assert.ok(held > 0 && held + (100 * megabyte) < machine.memoryBytes, `${held / megabyte} MB`);
		assert.ok(largestBodyBytes + (100 * megabyte) < machine.memoryBytes);
		assert.ok(connections < machine.descriptors);
	});
}

test('peer memory: a machine with memory to spare gives no more than one without limits', () => {
	assert.deepEqual({...peerLimitsOf({memoryBytes: 4096 * megabyte, descriptors: 4096}), connections: Infinity, largestBodyBytes: Infinity}, peerLimitsOf(undefined));
});

const maximumBytes = 1000;

const memoryCases: ReadonlyArray<{readonly name: string; readonly held: Readonly<Record<string, number>>; readonly closed: readonly string[]}> = [
	{name: 'what fits', held: {a: 600, b: 400}, closed: []},
	{name: 'one that is greedy', held: {a: 100, b: 900, c: 100}, closed: ['b']},
	{
		name: 'two that are greedy', held: {
			a: 100, b: 900, c: 1200, d: 200,
		}, closed: ['c', 'b'],
	},
	{name: 'many that hold the same', held: Object.fromEntries(Array.from({length: 12}, (_, position) => [`${position}`, 100])), closed: []},
	{name: 'many that hold the same, and one more', held: {...Object.fromEntries(Array.from({length: 12}, (_, position) => [`${position}`, 100])), greedy: 300}, closed: ['greedy']},
];

for (const {name, held, closed} of memoryCases) {
	test(`peer memory: ${name}`, () => {
		const memory = new PeerMemory<string>(maximumBytes);
		for (const [owner, bytes] of Object.entries(held)) {
			memory.add(owner, bytes);
		}

		const taken: string[] = [];
		for (let owner = memory.takeGreediest(); owner !== undefined; owner = memory.takeGreediest()) {
			taken.push(owner);
		}

		assert.deepEqual(taken, closed);
		for (const [owner, bytes] of Object.entries(held)) {
			memory.release(owner, bytes);
		}

		assert.equal(memory.bytes, 0);
	});
}

test('peer memory: requests of one connection', () => {
	const memory = new PeerMemory<string>(Infinity);
	const taken = Array.from({length: 300}, () => memory.tryAddRequest('a', 10)).filter(Boolean).length;
	assert.equal(taken, 256);
	assert.equal(memory.bytes, 2560);
	assert.ok(memory.tryAddRequest('b', 10));
	memory.releaseRequest('a', 10);
	assert.ok(memory.tryAddRequest('a', 10));
	memory.forget('a');
	memory.releaseRequest('a', 10);
	assert.equal(memory.bytes, 10);
});
