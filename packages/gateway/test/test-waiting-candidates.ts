import assert from 'node:assert/strict';
import {test} from 'node:test';
import {WaitingQueue} from '@dogwooddeck/gateway/waiting';

type Case = {
	readonly name: string;
	/** The candidates of each waiting request, and whether there is room for it. */
	readonly requests: ReadonlyArray<readonly [candidates: string | undefined, hasRoom: boolean]>;
	/** Which requests were asked whether they can start. */
	readonly asked: readonly number[];
	readonly left: number;
};

const cases: readonly Case[] = [
	{
		name: 'no room: only the first is asked', requests: [['r', false], ['r', false], ['r', false]], asked: [0], left: 3,
	},
	{
		name: 'room for one', requests: [['r', true], ['r', false], ['r', false]], asked: [0, 1], left: 2,
	},
	{
		name: 'other candidates are asked', requests: [['r', false], ['q', true], ['r', false]], asked: [0, 1], left: 2,
	},
	{
		name: 'requests without a name are all asked', requests: [[undefined, false], ['r', false], [undefined, true]], asked: [0, 1, 2], left: 2,
	},
];

for (const {
	name, requests, asked, left,
} of cases) {
	test(`waiting for the same upstreams: ${name}`, () => {
		const queue = new WaitingQueue();
		const seen: number[] = [];
		for (const [position, [candidates, hasRoom]] of requests.entries()) {
			queue.add({
				priority: 0,
				turn: 0,
				key: undefined,
				upstream: undefined,
				candidates,
				timesOutAt: 1000,
				tryToStart() {
					seen.push(position);
					return hasRoom;
				},
				onTimeout: () => undefined,
			});
		}

		queue.advance(1);
		assert.deepEqual(seen, asked);
		assert.equal(queue.length, left);
		queue.advance(1000);
		assert.equal(queue.length, 0, 'requests that are not asked time out nevertheless');
	});
}
