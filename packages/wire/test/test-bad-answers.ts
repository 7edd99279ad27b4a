/**
 * What a caller makes of bad answers, over real gRPC: a failure of a kind, never
 * a value.
 */
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {after, before, test} from 'node:test';
import {FailureKind} from '@dogwooddeck/model/failure';
import {emptyReport} from '@dogwooddeck/model/lease';
import {
	Server, ServerCredentials, type sendUnaryData, type ServiceDefinition,
} from '@grpc/grpc-js';
import {createPeerClients, type PeerClients} from '@dogwooddeck/wire/client';
import {PeerService} from '@dogwooddeck/wire/generated/peer';
import {type PeerCall} from '@dogwooddeck/wire/methods';

const callMilliseconds = 5000;
let answer: Buffer = Buffer.alloc(0);
let address = '';
let clients: PeerClients;
const server = new Server();

before(async () => {
	const methods = Object.entries(PeerService).map(([call, method]) => [call, {...method, responseSerialize: (bytes: Buffer) => bytes}]);
	const table = Object.fromEntries(Object.keys(PeerService).map(call => [call, (_received: unknown, respond: sendUnaryData<Buffer>) => {
		respond(null, answer);
	}]));
	server.addService(Object.fromEntries(methods) as ServiceDefinition, table);
	address = await new Promise((resolve, reject) => {
		server.bindAsync('127.0.0.1:0', ServerCredentials.createInsecure(), (error, port) => {
			if (error === null) {
				resolve(`127.0.0.1:${port}`);
			} else {
				reject(error);
			}
		});
	});
	clients = createPeerClients('peer-key-of-the-test-0123456789');
});

after(() => {
	clients.close();
	server.forceShutdown();
});

function encoded(call: PeerCall, value: unknown): Buffer {
	return PeerService[call].responseSerialize(value as never);
}

const steward = {name: 'entry-1', incarnation: 7};
const instance = {
	...steward, region: 'noord', zone: 'noord-a', peerAddress: '127.0.0.1:1', callerAddress: '127.0.0.1:2', operatorAddress: '127.0.0.1:3',
};
const catchUp = {entries: [], state: undefined};
const share = {
	service: 'bermrand/schedule', limit: 'viewings', caller: '', amount: 3, validMilliseconds: 15_000, holder: 'entry-1#7', sequence: 1,
};
const lease = {
	steward, holdMilliseconds: 900, controlMilliseconds: 0, shares: [share], catchUp, supportAskedAt: 12.5,
};
const delegation = {termMilliseconds: 1500, shares: [], catchUp};
const supporting = {
	granted: true, supporter: steward, applied: 3, supported: undefined,
};

const requests: Partial<Record<PeerCall, unknown>> = {
	renewLease: {
		instance, applied: 0, drained: 0, report: emptyReport,
	},
	delegate: {
		zone: 'noord-a', steward, applied: 0, drained: 0, report: emptyReport,
	},
	support: {zone: 'noord-a', candidate: steward, applied: 0},
	seat: {instance, applied: 0},
	fetchState: 0,
	collect: 'member',
};

const cases: ReadonlyArray<readonly [name: string, call: PeerCall, bytes: Buffer, kind: string]> = [
	['a good lease', 'renewLease', encoded('renewLease', lease), 'taken'],
	['a good delegation', 'delegate', encoded('delegate', delegation), 'taken'],
	['a good support', 'support', encoded('support', supporting), 'taken'],
	['a lease without a steward', 'renewLease', encoded('renewLease', {...lease, steward: undefined}), FailureKind.malformed],
	['a lease without end', 'renewLease', encoded('renewLease', {...lease, holdMilliseconds: Infinity}), FailureKind.malformed],
	['a lease of a day', 'renewLease', encoded('renewLease', {...lease, controlMilliseconds: 86_400_000}), FailureKind.malformed],
	['a lease of no number', 'renewLease', encoded('renewLease', {...lease, controlMilliseconds: Number.NaN}), FailureKind.malformed],
	['support asked for at no time', 'renewLease', encoded('renewLease', {...lease, supportAskedAt: Number.NaN}), FailureKind.malformed],
	['support asked for at the end of time', 'renewLease', encoded('renewLease', {...lease, supportAskedAt: Infinity}), FailureKind.malformed],
	['an endless share', 'renewLease', encoded('renewLease', {...lease, shares: [{...share, amount: Infinity}]}), FailureKind.malformed],
	['a negative share', 'delegate', encoded('delegate', {...delegation, shares: [{...share, amount: -1}]}), FailureKind.malformed],
	['a delegation without end', 'delegate', encoded('delegate', {...delegation, termMilliseconds: Infinity}), FailureKind.malformed],
	['a negative index', 'support', encoded('support', {...supporting, applied: -1}), FailureKind.malformed],
	['a supporter without a name', 'support', encoded('support', {...supporting, supporter: {name: '', incarnation: 1}}), FailureKind.malformed],
	['an entry with a negative index', 'fetchState', encoded('fetchState', {entries: [{index: -1, payload: '[]'}], state: undefined}), FailureKind.malformed],
	['a state with a negative index', 'seat', encoded('seat', {catchUp: {entries: [], state: {index: -1, data: '{}'}}}), FailureKind.malformed],
	['bytes that are no message', 'collect', Buffer.from([0xFF, 0xFF, 0xFF]), FailureKind.internal],
];

async function kindOf(call: PeerCall, bytes: Buffer): Promise<string> {
	answer = bytes;
	const result = await clients.call(address, call, requests[call] as never, callMilliseconds);
	return result.match({Ok: () => 'taken', Err: refusal => refusal.kind});
}

for (const [name, call, bytes, kind] of cases) {
	test(`a bad answer is no value: ${name} (${call})`, async () => {
		assert.equal(await kindOf(call, bytes), kind);
	});
}
