/**
 * The leases of cold upstreams that an entry reads from the stream of a control instance.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type FollowMessage} from '@dogwooddeck/mesh/calls';
import {type FollowListener, type MeshClients} from '@dogwooddeck/mesh/client';
import {failure, FailureKind} from '@dogwooddeck/model/failure';
import {type Log} from '@dogwooddeck/telemetry/log';
import {err} from 'true-myth/result';
import {followDirectory} from '@dogwooddeck/entry/directory-follower';

type FollowCase = {
	readonly name: string;
	/** What each message names, and how long before its receipt it was sent. */
	readonly messages: ReadonlyArray<{readonly cold?: FollowMessage['cold']; readonly lateness?: number}>;
	readonly fraction: number;
	readonly logged: readonly string[];
};

const named = {cold: {e: ['u', 'v']}};

const cases: readonly FollowCase[] = [
	{
		name: 'nothing is cold', messages: [{}], fraction: 0, logged: [],
	},
	{
		name: 'this entry is named', messages: [named, named], fraction: 1, logged: ['cold-lease-gained u,v'],
	},
	{
		name: 'another entry is named', messages: [{cold: {other: ['u']}}], fraction: 0, logged: [],
	},
	{
		name: 'this entry is no longer named', messages: [named, {}], fraction: 0, logged: ['cold-lease-gained u,v', 'cold-lease-lost u,v'],
	},
	{
		name: 'the last message is old', messages: [{}, {...named, lateness: 700}], fraction: 0, logged: [],
	},
];

for (const {
	name, messages, fraction, logged,
} of cases) {
	test(`cold leases of a stream: ${name}`, context => {
		context.mock.timers.enable({apis: ['setInterval']});
		const listeners: FollowListener[] = [];
		const clients: MeshClients = {
			call: async () => err(failure(FailureKind.unreachable, 'nobody listens')),
			follow(_address, _request, listener) {
				listeners.push(listener);
				return {stop: listener.onEnd};
			},
			reopen: () => undefined,
			close: () => undefined,
		};
		const lines: string[] = [];
		const log: Log = {
			event(event, fields) {
				lines.push(`${event} ${String(fields?.upstreams)}`);
			},
			warning: () => undefined,
			error: () => undefined,
		};
		const follower = followDirectory({
			name: 'e', zone: 'z', regions: {z: 'r'}, seeds: ['c'], clients, log,
		});
		const send = (sentAt: number, cold: FollowMessage['cold']) => {
			listeners.at(-1)!.onMessage({
				fresh: true, committed: 0, zone: 'z', members: ['c'], entryCount: 1, shares: [], sentAt, ...(cold === undefined ? {} : {cold}),
			});
		};

		send(performance.now(), undefined);
		context.mock.timers.tick(200);
		for (const {cold, lateness = 0} of messages) {
			send(performance.now() - lateness, cold);
		}

		assert.equal(follower.coldFractionOf('u', 'z', performance.now()), fraction);
		assert.equal(follower.coldFractionOf('u', 'y', performance.now()), 0, 'an upstream of another zone');
		assert.ok(performance.now() - follower.contactAt() < 500);
		assert.deepEqual(lines.filter(line => line.startsWith('cold-')), logged);
		follower.stop();
	});
}
