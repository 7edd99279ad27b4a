/**
 * Requests that ask the keeper of the zone's room for a place: granted, refused,
 * without a keeper, and with sharing off.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setTimeout as pause} from 'node:timers/promises';
import {startRoomKeepers} from '@dogwooddeck/control-node/room-keepers';
import {directoryMachine} from '@dogwooddeck/directory/state';
import {type MeshClients} from '@dogwooddeck/mesh/client';
import {failure, FailureKind} from '@dogwooddeck/model/failure';
import {createStateHolder} from '@dogwooddeck/replica/state-holder';
import {type Log} from '@dogwooddeck/telemetry/log';
import {createMeasures, MeasureName} from '@dogwooddeck/telemetry/measure';
import {err} from 'true-myth/result';
import {
	answer, type Behaviour, call, directoryOf, type Entry, hasHead, requestText, type Upstream, whole, withEntry,
} from './scenario.js';
import {type RequestDependencies} from '@dogwooddeck/entry/request-execution';
import {SharedRoom} from '@dogwooddeck/entry/shared-room';

const silent: Log = {event: () => undefined, warning: () => undefined, error: () => undefined};

const noClients: MeshClients = {
	call: async () => err(failure(FailureKind.unreachable, 'there are no others')),
	follow: () => ({stop: () => undefined}),
	reopen: () => undefined,
	close: () => undefined,
};

/** Which calls the control instance answers. */
const Control = {answers: 'answers', silent: 'silent', unreachable: 'unreachable'} as const;
type Control = (typeof Control)[keyof typeof Control];

type Shared = {readonly room: SharedRoom; readonly calls: string[]; readonly measures: ReturnType<typeof createMeasures>; control: Control};

/** Runs with shared room: the keepers are called directly, and `upstreams` are those of their directory. */
async function withSharedRoom(behaviours: readonly Behaviour[], use: (entry: Entry, shared: Shared, upstreams: readonly Upstream[]) => Promise<void>, entries = 13, overrides: Partial<RequestDependencies> = {}): Promise<void> {
	const holder = createStateHolder(directoryMachine);
	const calls: string[] = [];
	const measures = createMeasures();
	const dependencies = {log: silent, measures, queuePerSlot: 3};
	const keepers = startRoomKeepers({
		...dependencies, holder, zone: 'z', others: () => [], clients: noClients,
	});
	const clients = {
		async call(_address: string, name: 'askPlace' | 'updatePlaces', request: never) {
			calls.push(name);
			const handlers = {
				[Control.answers]: async () => keepers[name](structuredClone(request)),
				[Control.silent]: async () => new Promise<never>(() => {
					// It never answers.
				}),
				[Control.unreachable]: async () => err(failure(FailureKind.unreachable, 'no connection')),
			};
			return handlers[shared.control]();
		},
	} as unknown as MeshClients;
	const room = new SharedRoom({
		...dependencies, entry: 'entry', zone: 'z', controlOf: () => 'control', entryCount: () => entries, assumed: () => ({position: 0, count: 1}), clients,
	});
	const shared: Shared = {
		room, calls, measures, control: Control.answers,
	};
	try {
		await withEntry(behaviours, true, async (entry, upstreams) => {
			holder.restore(1, directoryMachine.encode(directoryOf(upstreams)));
			await use(entry, shared, upstreams);
		}, {sharedRoom: room, ...overrides});
	} finally {
		room.stop();
		keepers.stop();
	}
}

async function statusOf(port: number, identifier: string): Promise<string> {
	const received = await call(port, requestText('/safe/a', identifier), hasHead);
	return received.split('\r\n')[0]!;
}

/** The keepers know nothing of an earlier one, and grant nothing, for as long as the longest timeout of the directory. */
const settleMilliseconds = 1000;

type Case = {
	readonly name: string;
	readonly control: Control;
	readonly behaviour: Behaviour;
	readonly settles: boolean;
	readonly status: string;
	readonly answers: Readonly<Record<string, number>>;
};

const cases: readonly Case[] = [
	{
		name: 'granted', control: Control.answers, behaviour: whole, settles: true, status: 'HTTP/1.1 200 OK', answers: {grant: 1},
	},
	{
		name: 'the keeper has just begun', control: Control.answers, behaviour: whole, settles: false, status: 'HTTP/1.1 200 OK', answers: {unsettled: 1},
	},
	{
		name: 'the keeper is unreachable', control: Control.unreachable, behaviour: whole, settles: true, status: 'HTTP/1.1 200 OK', answers: {},
	},
	{
		name: 'the keeper is silent: a place that it does not grant is used', control: Control.silent, behaviour: whole, settles: true, status: 'HTTP/1.1 200 OK', answers: {},
	},
];

for (const {
	name, control, behaviour, settles, status, answers,
} of cases) {
	test(`shared room, requests: ${name}`, async () => withSharedRoom([behaviour], async (entry, shared) => {
		await pause(settles ? settleMilliseconds : 0);
		shared.control = control;
		assert.equal(await statusOf(entry.port, 'a'), status);
		for (const kind of ['grant', 'refuse', 'elsewhere', 'unsettled']) {
			assert.equal(shared.measures.counter(MeasureName.roomAnswers, {service: 's', kind}).value, answers[kind] ?? 0, kind);
		}
	}));
}

test('shared room, requests: after a silent keeper, requests use the places that it does not grant', async () => withSharedRoom([whole], async (entry, shared) => {
	await pause(settleMilliseconds);
	shared.control = Control.silent;
	await statusOf(entry.port, 'a');
	await pause(settleMilliseconds);
	assert.equal(await statusOf(entry.port, 'b'), 'HTTP/1.1 200 OK');
	assert.ok(shared.measures.counter(MeasureName.roomUnkept, {service: 's'}).value > 0);
}));

test('shared room, requests: no more are at an upstream than the keeper grants, and the others are refused or wait', async () => {
	let running = 0;
	let most = 0;
	const slow: Behaviour = (socket, request) => {
		running += 1;
		most = Math.max(most, running);
		setTimeout(() => {
			running -= 1;
			answer(socket, request, 'slow');
		}, 100);
	};

	await withSharedRoom([slow], async entry => {
		await pause(settleMilliseconds);
		const statuses = await Promise.all(Array.from({length: 20}, async (_, position) => statusOf(entry.port, `r${position}`)));
		const served = statuses.filter(status => status === 'HTTP/1.1 200 OK').length;
		assert.ok(served >= 4, `${served} served`);
		assert.ok(statuses.every(status => status === 'HTTP/1.1 200 OK' || status === 'HTTP/1.1 503 Service Unavailable'));
		assert.ok(most <= 4, `${most} at once at an upstream with 3 slots`);
	});
});

test('shared room, requests: a place is free again after its answer, and after its caller has left', async () => {
	const stuck: Behaviour = () => undefined;
	const behaviours: Behaviour[] = [stuck];
	await withSharedRoom([(socket, request, received) => {
		(received < 3 ? behaviours[0]! : whole)(socket, request, received);
	}], async (entry, shared) => {
		await pause(settleMilliseconds);
		const left = [0, 1].map(async position => call(entry.port, requestText('/safe/a', `left${position}`), () => true));
		await pause(950);
		await Promise.all(left);
		assert.equal(await statusOf(entry.port, 'next'), 'HTTP/1.1 200 OK');
		assert.ok(shared.calls.includes('updatePlaces'));
	});
});

test('shared room, requests: with no more instances than an upstream can queue requests, no keeper is asked', async () => withSharedRoom([whole], async (entry, shared) => {
	assert.equal(await statusOf(entry.port, 'a'), 'HTTP/1.1 200 OK');
	assert.ok(!shared.calls.includes('askPlace'));
}, 12));

test('shared room, requests: without the setting, no keeper is asked', async () => withEntry([whole], true, async entry => {
	assert.equal(await statusOf(entry.port, 'a'), 'HTTP/1.1 200 OK');
}));

// LOST: requests that waited for a place when the instance was stopped were closed without an answer at its end.
test('shared room, requests: those that wait for a place are refused before the instance stops', async () => {
	const end = {at: Infinity};
	const unanswered: Behaviour = () => undefined;
	await withSharedRoom([unanswered], async (entry, {room}, [upstream]) => {
		await pause(settleMilliseconds);
		const statuses: string[] = [];
		const asking = Array.from({length: 16}, async (_, position) => {
			const received = await call(entry.port, requestText('/patient/a', String(position), 'POST', 'booking', 18_000), hasHead);
			statuses.push(received.split('\r\n')[0]!);
		});
		await pause(200);
		const sent = upstream!.requests.length;
		assert.ok(sent > 0 && sent < asking.length);
		end.at = performance.now() + 500;
		room.endWaits();
		await pause(500);
		assert.deepEqual(statuses, Array.from({length: asking.length - sent}, () => 'HTTP/1.1 503 Service Unavailable'));
		assert.equal(upstream!.requests.length, sent);
		entry.callers.closeAll();
		await Promise.all(asking);
	}, 13, {endsAt: () => end.at});
});
