/**
 * Malformed answers from a holder of claims: the claimant rejects the operation, and
 * no unhandled rejection ends the process.
 */
import assert from 'node:assert/strict';
import process from 'node:process';
import {after, before, test} from 'node:test';
import {emptyControl, type ControlState} from '@dogwooddeck/control/state';
import {FailureKind} from '@dogwooddeck/model/failure';
import {type ClaimDecision} from '@dogwooddeck/routing/claim';
import {loadTextHash} from '@dogwooddeck/routing/text-hash';
import {type PeerClients} from '@dogwooddeck/wire/client';
import {ok} from 'true-myth/result';
import {startClaimRunner} from '@dogwooddeck/daemon/claim-runner';
import {type ControlHolder} from '@dogwooddeck/daemon/control-holder';

const members = ['noord-a', 'zuid-a'].map((zone, number) => ({
	name: `entry-${number}`, incarnation: 1, region: 'noord', zone, peerAddress: '127.0.0.1:1', callerAddress: '127.0.0.1:1', operatorAddress: '127.0.0.1:1',
}));
const control: ControlState = {
	...emptyControl,
	seatings: [{index: 1, seats: members}],
	ownership: {
		...emptyControl.ownership,
		rosters: Object.fromEntries(members.map(member => [member.zone, {
			zone: member.zone, region: 'noord', members: [member], previousMembers: [], changedAt: 1,
		}])),
	},
};

function holder(): ControlHolder {
	return {
		state: () => control,
		listen(listener: (state: ControlState) => void) {
			queueMicrotask(() => {
				listener(control);
			});
		},
	} as unknown as ControlHolder;
}

const rejected: unknown[] = [];
const recordRejection = (error: unknown) => {
	rejected.push(error);
};

before(() => {
	process.on('unhandledRejection', recordRejection);
});

after(() => {
	process.off('unhandledRejection', recordRejection);
});

const answers: ReadonlyArray<readonly [name: string, answer: string]> = [
	['not JSON', '{'],
	['an empty answer', ''],
	['null', 'null'],
	['a number', '7'],
	['no verdict', '{"kind":"claim-answer"}'],
	['a verdict named as a property of every object', JSON.stringify({
		kind: 'claim-answer', token: {claimant: {name: 'entry-0', incarnation: 1}, sequence: 1}, holder: {name: 'entry-1', incarnation: 1}, verdict: 'constructor', rosterIndex: 1,
	})],
	['a taken claim without its status', JSON.stringify({
		kind: 'claim-answer', token: {claimant: {name: 'entry-0', incarnation: 1}, sequence: 1}, holder: {name: 'entry-1', incarnation: 1}, verdict: 'taken', rosterIndex: 1,
	})],
];

async function decisionWith(answer: string): Promise<ClaimDecision> {
	const clients = {call: async () => ok(answer)} as unknown as PeerClients;
	const claims = startClaimRunner({name: 'entry-0', incarnation: 1}, holder(), clients, await loadTextHash());
	await new Promise(resolve => {
		setImmediate(resolve);
	});
	const decision = await new Promise<ClaimDecision>(resolve => {
		claims.claim({operation: {service: 'a/b', key: 'k', operationKey: 'o'}, fingerprint: 'f', runsForMilliseconds: 1000}, resolve);
	});
	claims.stop();
	return decision;
}

for (const [name, answer] of answers) {
	test(`a bad answer to a claim: ${name}`, {timeout: 5000}, async () => {
		rejected.length = 0;
		const decision = await decisionWith(answer);
		assert.ok(decision.kind === 'refuse', decision.kind);
		assert.equal(decision.failure.kind, FailureKind.claimUnavailable);
		assert.equal(decision.outcome, 'unknown');
		assert.deepEqual(rejected, []);
	});
}
