/**
 * What a server for other instances does with bad calls, over real gRPC: each
 * is refused with a kind, reaches no handler, and the next good call is answered.
 */
import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {after, before, test} from 'node:test';
import {FailureKind} from '@dogwooddeck/model/failure';
import {
	Client, compressionAlgorithms, credentials, Metadata, type ServiceError,
} from '@grpc/grpc-js';
import {ok} from 'true-myth/result';
import {createPeerClients, largestMessageBytes} from '@dogwooddeck/wire/client';
import {PeerService} from '@dogwooddeck/wire/generated/peer';
import {type PeerCall} from '@dogwooddeck/wire/methods';
import {type PeerHandlers, type PeerServer, startPeerServer} from '@dogwooddeck/wire/server';
import {failureOfStatus} from '@dogwooddeck/wire/status';
import {envelopeToWire} from '@dogwooddeck/wire/translate-consensus';

const key = 'peer-key-of-the-test-0123456789';
const callMilliseconds = 10_000;
const handled: PeerCall[] = [];
let server: PeerServer;

const handlers = Object.fromEntries(Object.keys(PeerService).map(call => [call, async () => {
	handled.push(call as PeerCall);
	return ok(call === 'collect' ? 'here' : undefined);
}])) as unknown as PeerHandlers;

before(async () => {
	const started = await startPeerServer('127.0.0.1:0', key, handlers);
	assert.ok(started.isOk);
	server = started.value;
});

after(async () => server.close());

type Sent = {
	readonly call: PeerCall | 'unheardOf';
	readonly bytes: Buffer;
	readonly authorization?: string | undefined;
	readonly gzipped?: boolean;
};

/** Sends bytes as they are; gives the kind of the refusal. */
async function refusalOf({call, bytes, authorization, gzipped = false}: Sent): Promise<{readonly kind: string; readonly detail: string}> {
	const client = new Client(server.address, credentials.createInsecure(), {
		'grpc.max_send_message_length': -1,
		...(gzipped ? {'grpc.default_compression_algorithm': compressionAlgorithms.gzip} : {}),
	});
	const metadata = new Metadata();
	if (authorization !== undefined) {
		metadata.set('authorization', authorization);
	}

	const path = call === 'unheardOf' ? '/dogwooddeck.peer.Peer/UnheardOf' : PeerService[call].path;
	return new Promise(resolve => {
		client.makeUnaryRequest(path, (sent: Buffer) => sent, (answer: Buffer) => answer, bytes, metadata, {deadline: Date.now() + callMilliseconds}, (error: ServiceError | null) => {
			client.close();
			resolve(error === null ? {kind: 'answered', detail: ''} : failureOfStatus(error));
		});
	});
}

async function goodCall(): Promise<string> {
	const clients = createPeerClients(key);
	const answer = await clients.call(server.address, 'collect', 'member', callMilliseconds);
	clients.close();
	return answer.unwrapOr('');
}

const authorization = `Bearer ${key}`;

function encoded<Call extends PeerCall>(call: Call, request: unknown): Buffer {
	return PeerService[call].requestSerialize(request as never);
}

const instance = {
	name: 'entry-1',
	incarnation: 7,
	region: 'noord',
	zone: 'noord-a',
	peerAddress: '127.0.0.1:1',
	callerAddress: '127.0.0.1:2',
	operatorAddress: '127.0.0.1:3',
};
const identity = {name: 'entry-1', incarnation: 7};
const voter = {name: 'entry-1', folder: 'folder-1'};
const report = {
	announcements: [], evidence: [], slotLoads: [], keyLoads: [], demands: [],
};
const upstream = {service: 'bermrand/schedule', name: 'viewer-1', incarnation: 1};
const evidence = {
	upstream, answered: 1, failed: 0, timedOut: 0, shed: 0, inFlight: 0, meanLatencyMilliseconds: 1.5, seenBy: identity,
};
const announcement = {
	...upstream, region: 'noord', zone: 'noord-a', address: '127.0.0.1:9', leaving: false, load: 0.5,
};
const demand = {
	service: 'bermrand/schedule', limit: 'viewings', caller: '', divider: 'zone', wanted: 1, holder: 'entry-1#7', sequence: 1, held: 0, usable: 0,
};
const envelope = envelopeToWire({
	from: voter,
	to: {name: 'entry-2', folder: 'folder-2'},
	message: {
		kind: 'appendRequested', term: 3, previousIndex: 1, previousTerm: 1, committed: 0, round: 0, entries: [{index: 2, term: 3, body: {kind: 'command', payload: '[]'}}],
	},
});
const lease = {
	instance, applied: 1, drained: 1, report,
};
const delegation = {
	zone: 'noord-a', steward: identity, applied: 1, drained: 1, report, holders: [identity],
};

const good: ReadonlyArray<readonly [PeerCall, unknown]> = [
	['deliver', envelope],
	['renewLease', {
		...lease, report: {
			announcements: [announcement],
			evidence: [evidence],
			slotLoads: [{service: 'bermrand/schedule', slot: 65_536, requests: 3}],
			keyLoads: [{service: 'bermrand/schedule', key: 'k'.repeat(16_384), requests: 3}],
			demands: [demand],
		},
		supportRenewal: {steward: identity, askedAt: 12.5},
	}],
	['support', {zone: 'noord-a', candidate: identity, applied: 0}],
	['delegate', delegation],
	['seat', {instance, applied: 0, leaving: false}],
	['fetchState', {applied: 0}],
	['notify', {applied: Number.MAX_SAFE_INTEGER}],
	['joinVoters', {joining: voter}],
	['claim', {body: ''}],
];

for (const [call, request] of good) {
	test(`a good call reaches its handler: ${call}`, async () => {
		handled.length = 0;
		await refusalOf({call, bytes: encoded(call, request), authorization});
		assert.deepEqual(handled, [call]);
	});
}

const long = 'a'.repeat(64);
const withReport = (part: object) => ({...lease, report: {...report, ...part}});

const fields: ReadonlyArray<readonly [name: string, call: PeerCall, request: unknown]> = [
	['no instance', 'renewLease', {...lease, instance: undefined}],
	['an instance without a name', 'seat', {instance: {...instance, name: ''}, applied: 0, leaving: false}],
	['a name too long', 'seat', {instance: {...instance, name: long}, applied: 0, leaving: false}],
	['a name of another form', 'support', {zone: 'noord-a', candidate: {...identity, name: 'entry 1'}, applied: 0}],
	['a zone that every object has', 'delegate', {...delegation, zone: 'constructor'}],
	['a zone too long', 'support', {zone: long, candidate: identity, applied: 0}],
	['no zone', 'delegate', {...delegation, zone: ''}],
	['an address that is none', 'seat', {instance: {...instance, peerAddress: 'file:///etc'}, applied: 0, leaving: false}],
	['no callers\' address', 'renewLease', {...lease, instance: {...instance, callerAddress: ''}}],
	['a negative incarnation', 'support', {zone: 'noord-a', candidate: {...identity, incarnation: -1}, applied: 0}],
	['a negative index', 'fetchState', {applied: -1}],
	['a negative notice', 'notify', {applied: -1}],
	['a negative drained index', 'delegate', {...delegation, drained: -5}],
	['a holder without a name', 'delegate', {...delegation, holders: [{name: '', incarnation: 1}]}],
	['a slot out of range', 'renewLease', withReport({slotLoads: [{service: 'bermrand/schedule', slot: 131_073, requests: 1}]})],
	['a negative slot', 'renewLease', withReport({slotLoads: [{service: 'bermrand/schedule', slot: -1, requests: 1}]})],
	['a negative load', 'renewLease', withReport({slotLoads: [{service: 'bermrand/schedule', slot: 1, requests: -9}]})],
	['a key too long', 'renewLease', withReport({keyLoads: [{service: 'bermrand/schedule', key: 'k'.repeat(16_385), requests: 1}]})],
	['a service of another form', 'renewLease', withReport({keyLoads: [{service: '__proto__', key: 'k', requests: 1}]})],
	['evidence of nobody', 'renewLease', withReport({evidence: [{...evidence, seenBy: undefined}]})],
	['a latency that is no number', 'renewLease', withReport({evidence: [{...evidence, meanLatencyMilliseconds: Number.NaN}]})],
	['negative evidence', 'renewLease', withReport({evidence: [{...evidence, answered: -3}]})],
	['an endless demand', 'renewLease', withReport({demands: [{...demand, wanted: Infinity}]})],
	['a demand to nobody', 'renewLease', withReport({demands: [{...demand, divider: ''}]})],
	['a negative demand', 'renewLease', withReport({demands: [{...demand, held: -1}]})],
	['a renewal of nobody\'s support', 'renewLease', {...lease, supportRenewal: {steward: undefined, askedAt: 1}}],
	['a renewal asked for at no time', 'renewLease', {...lease, supportRenewal: {steward: identity, askedAt: Number.NaN}}],
	['a renewal asked for before all time', 'renewLease', {...lease, supportRenewal: {steward: identity, askedAt: -1}}],
	['an announced load over 1', 'renewLease', withReport({announcements: [{...announcement, load: 2}]})],
	['an announced address that is none', 'renewLease', withReport({announcements: [{...announcement, address: 'localhost'}]})],
	['an unknown kind of message', 'deliver', {...envelope, kind: 'coronation'}],
	['a kind that every object has', 'deliver', {...envelope, kind: 'constructor'}],
	['a kind that is a prototype', 'deliver', {...envelope, kind: '__proto__'}],
	['a kind of a megabyte', 'deliver', {...envelope, kind: 'k'.repeat(1_000_000)}],
	['a negative term', 'deliver', {...envelope, term: -1}],
	['a negative index of an entry', 'deliver', {...envelope, entries: [{...envelope.entries[0], index: -2}]}],
	['an entry of an unknown kind', 'deliver', {...envelope, entries: [{...envelope.entries[0], kind: 'decree'}]}],
	['an entry of a kind that every object has', 'deliver', {...envelope, entries: [{...envelope.entries[0], kind: 'constructor'}]}],
	['a snapshot that is missing', 'deliver', {...envelope, kind: 'snapshotSent'}],
	['a snapshot with a negative index', 'deliver', {
		...envelope, kind: 'snapshotSent', snapshot: {
			index: -1, term: 1, voterSet: undefined, data: '{}',
		},
	}],
	['a sender without a folder', 'deliver', {...envelope, from: {name: 'entry-1', folder: ''}}],
	['a folder too long', 'joinVoters', {joining: {name: 'entry-1', folder: 'f'.repeat(65)}}],
	['a voter without a name', 'joinVoters', {joining: {name: '', folder: 'folder-1'}}],
	['a subject of a megabyte', 'collect', {subject: 's'.repeat(1_000_000)}],
	['a payload too long', 'propose', {payload: 'p'.repeat(16_777_217)}],
];

/** The `applied` of a support request as 2^63 - 1, which no number holds. */
const hugeApplied = Buffer.from([0x18, 0xFF, 0xFF, 0xFF, 0xFF, 0xFF, 0xFF, 0xFF, 0xFF, 0x7F]);
const supporting = encoded('support', {zone: 'noord-a', candidate: identity, applied: 0});
const noise = Buffer.from(Array.from({length: 256}, (_, position) => (position * 167) % 256));
const whole = encoded('renewLease', lease);

const cases: ReadonlyArray<{readonly name: string; readonly sent: Sent; readonly kind: string}> = [
	...fields.map(([name, call, request]) => ({name, sent: {call, bytes: encoded(call, request), authorization}, kind: FailureKind.malformed})),
	{name: 'bytes that are no message', sent: {call: 'deliver', bytes: noise, authorization}, kind: FailureKind.malformed},
	{name: 'a message that is cut short', sent: {call: 'renewLease', bytes: whole.subarray(0, -3), authorization}, kind: FailureKind.malformed},
	{name: 'a message with a number past all bounds', sent: {call: 'support', bytes: Buffer.concat([supporting, hugeApplied]), authorization}, kind: FailureKind.malformed},
	{name: 'a length past the end', sent: {call: 'claim', bytes: Buffer.from([0x0A, 0xFF, 0xFF, 0xFF, 0xFF, 0x07, 0x41]), authorization}, kind: FailureKind.malformed},
	{name: 'no bytes where a message is needed', sent: {call: 'seat', bytes: Buffer.alloc(0), authorization}, kind: FailureKind.malformed},
	{name: 'a message over the bound', sent: {call: 'claim', bytes: Buffer.alloc(largestMessageBytes + 1), authorization}, kind: FailureKind.tooLarge},
	{
		name: 'a message that is over the bound once it is unpacked', sent: {
			call: 'claim', bytes: Buffer.alloc(largestMessageBytes + 1), authorization, gzipped: true,
		}, kind: FailureKind.tooLarge,
	},
	{name: 'no key', sent: {call: 'fetchState', bytes: encoded('fetchState', {applied: 0})}, kind: FailureKind.unauthenticated},
	{name: 'a wrong key', sent: {call: 'fetchState', bytes: encoded('fetchState', {applied: 0}), authorization: `Bearer ${key}x`}, kind: FailureKind.unauthenticated},
	{name: 'the key without its scheme', sent: {call: 'fetchState', bytes: encoded('fetchState', {applied: 0}), authorization: key}, kind: FailureKind.unauthenticated},
	{name: 'no key, and bytes that are no message', sent: {call: 'deliver', bytes: noise}, kind: FailureKind.unauthenticated},
	{name: 'a method that does not exist', sent: {call: 'unheardOf', bytes: Buffer.alloc(0), authorization}, kind: FailureKind.notFound},
];

for (const {name, sent, kind} of cases) {
	test(`a bad call is refused: ${name} (${sent.call})`, async () => {
		handled.length = 0;
		const refusal = await refusalOf(sent);
		assert.equal(refusal.kind, kind, refusal.detail);
		assert.ok(refusal.detail.length < 1000);
		assert.deepEqual(handled, []);
		assert.equal(await goodCall(), 'here');
	});
}
