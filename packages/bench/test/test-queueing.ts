import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	highLatency, meanLatency, type Server, waitingAt,
} from '@dogwooddeck/bench/queueing';

function server(rate: number, slots: number, remoteShare = 0): Server {
	return {
		rate, slots, serviceMilliseconds: 20, remoteShare, localMilliseconds: 2, remoteMilliseconds: 60,
	};
}

const cases: ReadonlyArray<{readonly name: string; readonly given: Server; readonly chance: number; readonly mean: number}> = [
	{
		name: 'one slot, half busy: Erlang gives 1/2, and a mean wait of one service time', given: server(25, 1), chance: 0.5, mean: 42,
	},
	{
		name: 'two slots, half busy: Erlang gives 1/3', given: server(50, 2), chance: 1 / 3, mean: 22 + (20 / 3),
	},
	{
		name: 'idle', given: server(0, 3), chance: 0, mean: 0,
	},
];

for (const {name, given, chance, mean} of cases) {
	test(`waiting: ${name}`, () => {
		assert.ok(Math.abs(waitingAt(given).chance - chance) < 1e-9);
		assert.ok(Math.abs(meanLatency([given]) - mean) < 1e-9);
	});
}

test('an upstream refuses what is more than it can carry', () => {
	assert.equal(Math.round(waitingAt(server(200, 3)).refusedPerSecond * 10) / 10, 57.5);
});

test('the high latency of a mixture lies at that of its slow part, once it is more than 1 in 100', () => {
	assert.ok(highLatency([server(1, 3, 0.5)]) > 79);
	assert.ok(highLatency([server(1, 3, 0.005)]) < 30);
});
