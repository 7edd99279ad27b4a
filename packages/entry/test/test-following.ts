import assert from 'node:assert/strict';
import {test} from 'node:test';
import {Distance} from '@dogwooddeck/gateway/upstream-selection';
import {type FollowListener, type MeshClients} from '@dogwooddeck/mesh/client';
import {failure, FailureKind} from '@dogwooddeck/model/failure';
import {type Log} from '@dogwooddeck/telemetry/log';
import {err} from 'true-myth/result';
import {
	followDirectory, type ControlStreamState, FollowMode, followModeOf,
} from '@dogwooddeck/entry/directory-follower';

const now = 10_000;

function control(distance: Distance | undefined, fields: Partial<ControlStreamState> = {}): ControlStreamState {
	return {
		...(distance === undefined ? {} : {distance}), isOpen: true, hasReceived: true, lastContactAt: now - 100, leaderContactAt: now - 100, ...fields,
	};
}

const own = control(Distance.sameZone);
const near = control(Distance.sameRegion);
const far = control(Distance.otherRegion);

const cases: ReadonlyArray<{readonly name: string; readonly control: ControlStreamState; readonly others: readonly ControlStreamState[]; readonly mode: FollowMode}> = [
	{
		name: 'one of the own zone', control: own, others: [near, far], mode: FollowMode.changes,
	},
	{
		name: 'one that has not reported its zone', control: control(undefined), others: [own], mode: FollowMode.presence,
	},
	{
		name: 'one of the region beside one of the own zone', control: near, others: [own], mode: FollowMode.nothing,
	},
	{
		name: 'one of the region where the own zone has none', control: near, others: [far], mode: FollowMode.changes,
	},
	{
		name: 'another region beside a near one', control: far, others: [near], mode: FollowMode.nothing,
	},
	{
		name: 'another region while the near one is unresponsive', control: far, others: [control(Distance.sameRegion, {lastContactAt: now - 2000})], mode: FollowMode.changes,
	},
	{
		name: 'another region while the near one has lost the leader', control: far, others: [control(Distance.sameRegion, {leaderContactAt: now - 800})], mode: FollowMode.changes,
	},
	{
		name: 'another region during a short election', control: far, others: [control(Distance.sameRegion, {leaderContactAt: now - 600})], mode: FollowMode.nothing,
	},
	{
		name: 'another region while the near one is not connected', control: far, others: [control(Distance.sameRegion, {isOpen: false})], mode: FollowMode.changes,
	},
	{
		name: 'another region while one of two near ones is well', control: far, others: [control(Distance.sameZone, {leaderContactAt: now - 800}), near], mode: FollowMode.nothing,
	},
];

for (const {name, control: tested, others, mode} of cases) {
	test(`following: ${name}: ${mode}`, () => {
		assert.equal(followModeOf(tested, [tested, ...others], now), mode);
	});
}

type OpenedStream = {readonly address: string; readonly wantsChanges: boolean; readonly listener: FollowListener};

/** Clients that record the streams that are opened, and send nothing. */
function recordingClients(opened: OpenedStream[]): MeshClients {
	return {
		call: async () => err(failure(FailureKind.unreachable, 'nobody listens')),
		follow(address, {wantsChanges}, listener) {
			opened.push({address, wantsChanges, listener});
			return {stop: listener.onEnd};
		},
		reopen: () => undefined,
		close: () => undefined,
	};
}

const silentLog: Log = {
	event: () => undefined, warning: () => undefined, error: () => undefined,
};

const confirmations: ReadonlyArray<{readonly name: string; readonly freshPresence: boolean; readonly freshChanges: boolean | undefined; readonly isConfirmed: boolean}> = [
	{
		name: 'presence without changes', freshPresence: true, freshChanges: undefined, isConfirmed: false,
	},
	{
		name: 'changes of one without contact with the leader', freshPresence: true, freshChanges: false, isConfirmed: false,
	},
	{
		name: 'changes of one with contact with the leader', freshPresence: false, freshChanges: true, isConfirmed: true,
	},
];

for (const {name, freshPresence, freshChanges, isConfirmed} of confirmations) {
	test(`following: ${name} ${isConfirmed ? 'confirms' : 'does not confirm'} the directory`, context => {
		context.mock.timers.enable({apis: ['setInterval']});
		const opened: OpenedStream[] = [];
		const follower = followDirectory({
			name: 'e', zone: 'z', regions: {z: 'r'}, seeds: ['c'], clients: recordingClients(opened), log: silentLog,
		});
		const message = {
			zone: 'z', members: ['c'], entryCount: 1, shares: [], committed: 0,
		};
		opened[0]!.listener.onMessage({...message, fresh: freshPresence});
		assert.deepEqual(opened.map(({wantsChanges}) => wantsChanges), [false, true]);
		if (freshChanges !== undefined) {
			opened[1]!.listener.onMessage({...message, fresh: freshChanges});
		}

		assert.equal(follower.isConfirmed(), isConfirmed);
		follower.stop();
	});
}
