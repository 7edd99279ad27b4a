/**
 * Calls between instances that must be rejected: each fails with its kind, the
 * replicated state doesn't change, and the instance stays ready.
 */
import assert from 'node:assert/strict';
import {after, before, test} from 'node:test';
import {type ConsensusMessage} from '@dogwooddeck/consensus/message';
import {FailureKind} from '@dogwooddeck/model/failure';
import {emptyReport} from '@dogwooddeck/model/lease';
import {type PeerCall, type PeerCalls} from '@dogwooddeck/wire/methods';
import {type OneInstance, operatorToken, startOne} from './one-instance.js';

let one: OneInstance;

before(async () => {
	one = await startOne();
});

after(async () => {
	await one.stop();
	assert.deepEqual(one.failures, []);
});

const callMilliseconds = 3000;
const stranger = {
	name: 'entry-9', incarnation: 1, region: 'noord', zone: 'noord-z', peerAddress: '127.0.0.1:1', callerAddress: '127.0.0.1:1', operatorAddress: '127.0.0.1:1',
};
const envelope = {
	from: {name: 'entry-9', folder: 'folder-9'}, to: {name: 'entry-1', folder: 'folder-1'}, message: {
		kind: 'preVoteRequested', term: 9, lastIndex: 9, lastTerm: 9,
	},
} as const;

type State = {readonly applied: number; readonly members: unknown; readonly revisions: unknown};

/** The state that a rejected call must not change. The applied index advances by itself. */
async function observedState(): Promise<State & {readonly leader: unknown}> {
	const status = await one.send('GET', '/operator/status', {token: operatorToken});
	const members = await one.send('GET', '/operator/members', {token: operatorToken});
	const {applied, leader, revisions} = status.body as {readonly applied: number; readonly leader: unknown; readonly revisions: unknown};
	const {instances} = members.body as {readonly instances: ReadonlyArray<{readonly name: string; readonly zone: string; readonly incarnation: number}>};
	return {
		applied, leader, revisions, members: instances.map(({name, zone, incarnation}) => [name, zone, incarnation]),
	};
}

function command(value: unknown): string {
	return JSON.stringify([value]);
}

type Case = {readonly [Call in PeerCall]: readonly [name: string, call: Call, request: PeerCalls[Call]['request'], kind: string]}[PeerCall];

const claim = {
	kind: 'claim-request', operation: {service: 'a/b', key: 'k', operationKey: 'o'}, holder: {name: 'entry-1', incarnation: 1}, token: {sequence: 1},
};

const claimEnd = {
	...claim, kind: 'claim-ended', token: {claimant: stranger, sequence: 1}, outcome: 'constructor',
};

const cases: readonly Case[] = [
	['a proposal that is not JSON', 'propose', '{', FailureKind.malformed],
	['a proposal that is not a list', 'propose', '{"kind":"tokenSet"}', FailureKind.malformed],
	['an empty proposal', 'propose', '[]', FailureKind.malformed],
	['a command of an unknown kind', 'propose', command({kind: 'coronation'}), FailureKind.forbidden],
	['a command whose kind is a property of every object', 'propose', command({kind: 'constructor'}), FailureKind.forbidden],
	['a command that is the leader\'s own decision', 'propose', command({kind: 'instanceSeated', record: stranger, changedAt: 0}), FailureKind.forbidden],
	['a leader\'s decision as an operator\'s', 'propose', command({kind: 'operatorAsked', operation: 'operation-0', command: {kind: 'assignmentsGranted'}}), FailureKind.forbidden],
	['a command without its fields', 'propose', command({kind: 'subtreeApplied'}), FailureKind.malformed],
	['an operator\'s command without the command', 'propose', command({kind: 'operatorAsked', operation: 'operation-1'}), FailureKind.malformed],
	['a move request without its fields', 'propose', command({kind: 'operatorAsked', operation: 'operation-2', command: {kind: 'moveWished'}}), FailureKind.notFound],
	['a zone named as a property of every object', 'propose', command({
		kind: 'operatorAsked', operation: 'operation-3', command: {kind: 'zoneReleased', zone: 'constructor', reason: 'declared-lost'},
	}), FailureKind.notFound],
	['a voter that the settings don\'t list', 'joinVoters', {name: 'entry-9', folder: 'folder-9'}, FailureKind.forbidden],
	['a consensus message for another folder', 'deliver', envelope, FailureKind.notFound],
	['a claim without its fields', 'claim', JSON.stringify(claim), FailureKind.malformed],
	['a claim that is not JSON', 'claim', 'claim', FailureKind.malformed],
	['a claim of an unknown kind', 'claim', JSON.stringify({...claim, kind: 'constructor'}), FailureKind.malformed],
	['the end of a claim with an unknown outcome', 'claim', JSON.stringify(claimEnd), FailureKind.malformed],
	['an unknown subject to collect', 'collect', 'toString', FailureKind.notFound],
	['a lease for an instance of another zone', 'renewLease', {
		instance: stranger, applied: 0, drained: 0, report: emptyReport,
	}, FailureKind.forbidden],
	['a delegation for a zone without a roster', 'delegate', {
		zone: 'noord-z', steward: stranger, applied: 0, drained: 0, report: emptyReport,
	}, FailureKind.forbidden],
	['a delegation for an earlier incarnation of the steward', 'delegate', {
		zone: 'noord-a', steward: {name: 'entry-1', incarnation: 1}, applied: 0, drained: 0, report: emptyReport,
	}, FailureKind.superseded],
	['support for a steward of another zone', 'support', {zone: 'noord-z', candidate: stranger, applied: 0}, FailureKind.forbidden],
	['a delegation with indexes past the log\'s end', 'delegate', {
		zone: 'noord-a', steward: {name: 'entry-1', incarnation: Number.MAX_SAFE_INTEGER}, applied: 2 ** 40, drained: 2 ** 40, report: emptyReport,
	}, FailureKind.malformed],
	['a lease for an earlier incarnation', 'renewLease', {
		instance: {...stranger, name: 'entry-1', zone: 'noord-a'}, applied: 0, drained: 0, report: emptyReport,
	}, FailureKind.superseded],
	['support for an earlier incarnation', 'support', {zone: 'noord-a', candidate: {name: 'entry-1', incarnation: 1}, applied: 0}, FailureKind.superseded],
	['a seat for an earlier incarnation', 'seat', {instance: {...stranger, name: 'entry-1', zone: 'noord-a'}, applied: 0}, FailureKind.superseded],
];

const gap = {
	kind: 'appendRequested', term: 9, previousIndex: 2, previousTerm: 1, committed: 9, round: 1, entries: [{index: 7, term: 9, body: {kind: 'leaderStarted'}}],
} as const;

function snapshotOf(data: string) {
	return {
		kind: 'snapshotSent', term: 9, round: 1, snapshot: {
			index: 90, term: 9, voterSet: {voters: [envelope.from], learners: []}, data,
		},
	} as const;
}

const messages: ReadonlyArray<readonly [name: string, message: ConsensusMessage]> = [
	['entries whose indexes are not consecutive', gap],
	['a snapshot that is not JSON', snapshotOf('{')],
	['a snapshot that is not a state', snapshotOf('7')],
	['a snapshot with a field of another type', snapshotOf('{"ownership":[]}')],
];

async function assertMessageRejected(name: string, message: ConsensusMessage): Promise<void> {
	await assertRejected([name, 'deliver', {...envelope, to: {name: 'entry-1', folder: one.folder}, message}, FailureKind.malformed]);
}

for (const [name, message] of messages) {
	test(`a bad call is rejected: ${name} (deliver)`, async () => assertMessageRejected(name, message));
}

async function assertRejected([name, call, request, kind]: Case): Promise<void> {
	const earlier = await observedState();
	const answer = await one.peers.call(one.addresses.peers, call, request, callMilliseconds);
	assert.equal(answer.match({Ok: value => JSON.stringify(value ?? 'accepted'), Err: error => error.kind}), kind, name);
	const later = await observedState();
	assert.deepEqual({...later, applied: 0}, {...earlier, applied: 0});
	assert.equal(await one.ready(), true);
}

for (const bad of cases) {
	test(`a bad call is rejected: ${bad[0]} (${bad[1]})`, async () => assertRejected(bad));
}
