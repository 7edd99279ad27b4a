/**
 * What a lease request and its answer carry comes across, over real gRPC.
 */
import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import {emptyReport, type LeaseAnswer, type LeaseRequest} from '@dogwooddeck/model/lease';
import {ok} from 'true-myth/result';
import {createPeerClients} from '@dogwooddeck/wire/client';
import {type PeerHandlers, type PeerServer, startPeerServer} from '@dogwooddeck/wire/server';

const key = 'peer-key-of-the-test-0123456789';
const callMilliseconds = 5000;
const steward = {name: 'entry-1', incarnation: 7};
const request: LeaseRequest = {
	instance: {
		...steward, region: 'noord', zone: 'noord-a', peerAddress: '127.0.0.1:1', callerAddress: '127.0.0.1:2', operatorAddress: '127.0.0.1:3',
	},
	applied: 3,
	drained: 2,
	report: emptyReport,
};
const answer: LeaseAnswer = {
	steward, holdMilliseconds: 900.5, controlMilliseconds: 0, shares: [],
};

const clients = createPeerClients(key);
let server: PeerServer;
let received: LeaseRequest | undefined;
let given = answer;

before(async () => {
	const handlers: Partial<PeerHandlers> = {
		async renewLease(taken) {
			received = taken;
			return ok({answer: given, catchUp: {entries: []}});
		},
	};
	const started = await startPeerServer('127.0.0.1:0', key, handlers as PeerHandlers);
	assert.ok(started.isOk);
	server = started.value;
});

after(async () => {
	clients.close();
	await server.close();
});

const cases: ReadonlyArray<{readonly name: string; readonly sent: LeaseRequest; readonly answered: LeaseAnswer}> = [
	{name: 'neither asked nor renewed', sent: request, answered: answer},
	{name: 'asked', sent: request, answered: {...answer, supportAskedAt: 12.25}},
	{name: 'asked when the clock began', sent: request, answered: {...answer, supportAskedAt: 0}},
	{name: 'renewed', sent: {...request, supportRenewal: {steward, askedAt: 12.25}}, answered: answer},
	{name: 'renewed and asked anew', sent: {...request, supportRenewal: {steward, askedAt: 0}}, answered: {...answer, supportAskedAt: 262.5}},
];

async function exchanged(sent: LeaseRequest, answered: LeaseAnswer): Promise<readonly unknown[]> {
	given = answered;
	const result = await clients.call(server.address, 'renewLease', sent, callMilliseconds);
	return [received, result.isOk && result.value.answer];
}

for (const {name, sent, answered} of cases) {
	test(`lease exchange: support is ${name}`, async () => {
		assert.deepEqual(await exchanged(sent, answered), [sent, answered]);
	});
}
