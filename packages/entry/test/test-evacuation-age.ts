/** Since when an entry instance counts an order: the last time at which its directory was known to be current. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {encodeCommands} from '@dogwooddeck/directory/state';
import {type FollowMessage} from '@dogwooddeck/mesh/calls';
import {type FollowListener} from '@dogwooddeck/mesh/client';
import {failure, FailureKind} from '@dogwooddeck/model/failure';
import {err} from 'true-myth/result';
import {followDirectory} from '@dogwooddeck/entry/directory-follower';

const intervalMilliseconds = 250;

/** A wait of `passes` ms, during which the process runs unless it `isFrozen`; then a message of a control instance, which has committed `committed` entries. */
type Step = {readonly passes: number; readonly isFrozen?: boolean; readonly fresh: boolean; readonly committed: number};

const steady = (count: number, fresh = true, committed = 0): readonly Step[] => Array.from({length: count}, () => ({passes: intervalMilliseconds, fresh, committed}));

/** The order arrives 250 ms after the last step, in the same turn if the process was frozen. */
const cases: ReadonlyArray<{readonly name: string; readonly steps: readonly Step[]; readonly isFrozenBefore?: boolean; readonly longest: number; readonly shortest: number}> = [
	{
		name: 'nothing was received before', steps: [], shortest: Infinity, longest: Infinity,
	},
	{
		name: 'the stream is steady', steps: steady(8), shortest: 250, longest: 700,
	},
	{
		name: 'the control instance had lost the leader for a second', steps: [...steady(8), ...steady(4, false)], shortest: 1250, longest: 1700,
	},
	{
		name: 'an entry was missing for a second', steps: [...steady(8), ...steady(4, true, 1)], shortest: 1250, longest: 1700,
	},
	{
		name: 'the process did not run for 8 s', steps: [...steady(8), {
			passes: 8000, isFrozen: true, fresh: true, committed: 0,
		}], isFrozenBefore: true, shortest: 8000, longest: 8700,
	},
];

for (const {name, steps, isFrozenBefore = false, shortest, longest} of cases) {
	test(`evacuation: the age of an order if ${name}`, context => {
		let now = 1000;
		context.mock.timers.enable({apis: ['setInterval']});
		context.mock.method(performance, 'now', () => now);
		const listeners: FollowListener[] = [];
		const follower = followDirectory({
			name: 'e',
			zone: 'z',
			regions: {z: 'r'},
			seeds: ['c'],
			clients: {
				call: async () => err(failure(FailureKind.unreachable, 'nobody listens')),
				follow(_address, _request, listener) {
					listeners.push(listener);
					return {stop: listener.onEnd};
				},
				reopen: () => undefined,
				close: () => undefined,
			},
			log: {event: () => undefined, warning: () => undefined, error: () => undefined},
		});

		function pass(milliseconds: number, isFrozen: boolean): void {
			for (let passed = 0; passed < milliseconds; passed += 10) {
				now += 10;
				if (!isFrozen) {
					context.mock.timers.tick(10);
				}
			}

			if (isFrozen) {
				context.mock.timers.tick(intervalMilliseconds);
			}
		}

		function receive(message: Pick<FollowMessage, 'fresh' | 'committed' | 'catchUp'>): void {
			listeners.at(-1)!.onMessage({
				zone: 'z', members: ['c'], entryCount: 1, shares: [], ...message,
			});
		}

		receive({fresh: true, committed: 0});
		for (const {passes, isFrozen = false, fresh, committed} of steps) {
			pass(passes, isFrozen);
			receive({fresh, committed});
		}

		const ages: number[] = [];
		follower.listen(() => {
			ages.push(now - follower.currentAt());
		});
		pass(isFrozenBefore ? 0 : intervalMilliseconds, false);
		receive({fresh: true, committed: 1, catchUp: {entries: [{index: 1, payload: encodeCommands([{kind: 'zoneEvacuated', zone: 'z', seen: 0}])}]}});
		follower.stop();
		assert.equal(ages.length, 1);
		assert.ok(ages[0]! >= shortest && ages[0]! <= longest, `${ages[0]} ms`);
	});
}
