/**
 * The messages that a follower sends, step by step, in cases that random schedules
 * rarely reach.
 */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type ConsensusEvent} from '@dogwooddeck/consensus/voter-interface';
import {type ConsensusMessage, type LogEntry, type VoterIdentity} from '@dogwooddeck/consensus/message';
import {
	createVoter, bootstrapCluster, bootstrapFolder, stepVoter,
} from '@dogwooddeck/consensus/voter';

const [a, b, c] = ['a', 'b', 'c'].map(name => ({name, folder: bootstrapFolder})) as [VoterIdentity, VoterIdentity, VoterIdentity];

function received(now: number, from: VoterIdentity, message: ConsensusMessage): ConsensusEvent {
	return {kind: 'received', now, envelope: {from, to: a, message}};
}

function append(term: number, previousIndex: number, previousTerm: number, terms: readonly number[], committed = 0): ConsensusMessage {
	const entries: LogEntry[] = terms.map((entryTerm, offset) => ({index: previousIndex + 1 + offset, term: entryTerm, body: {kind: 'leaderStarted'}}));
	return {
		kind: 'appendRequested', term, previousIndex, previousTerm, entries, committed, round: 1,
	};
}

function persisted(now: number, ticket: number): ConsensusEvent {
	return {kind: 'persisted', now, ticket};
}

const voteOfTerm3: ConsensusMessage = {
	kind: 'voteRequested', term: 3, lastIndex: 9, lastTerm: 2,
};
const snapshotOfTerm3: ConsensusMessage = {
	kind: 'snapshotSent', term: 3, round: 1, snapshot: {
		index: 1, term: 1, voterSet: {voters: [a, b, c], learners: []}, data: '',
	},
};

const cases: ReadonlyArray<{readonly name: string; readonly events: readonly ConsensusEvent[]; readonly expected: ReadonlyArray<Partial<ConsensusMessage>>}> = [
	{
		name: 'entries are not confirmed before they are synced',
		events: [received(1, b, append(2, 1, 1, [2, 2]))],
		expected: [],
	},
	{
		name: 'entries are confirmed once they are synced',
		events: [received(1, b, append(2, 1, 1, [2, 2])), persisted(2, 1)],
		expected: [{kind: 'appendAnswered', accepted: true, index: 3}],
	},
	{
		name: 'a vote is sent once it is synced',
		events: [received(1000, c, voteOfTerm3), persisted(1001, 1)],
		expected: [{kind: 'voteAnswered', term: 3, granted: true}],
	},
	{
		name: 'a replaced entry that was synced does not confirm the unsynced one in its place',
		events: [
			received(1, b, append(2, 1, 1, [2, 2, 2])),
			received(1000, c, voteOfTerm3),
			received(1001, c, append(3, 1, 1, [3])),
			persisted(1002, 2),
			received(1003, c, append(3, 2, 3, [])),
		],
		expected: [{kind: 'appendAnswered', accepted: true, index: 1}],
	},
	{
		name: 'a voter in contact with its leader grants no vote, even in its own term',
		events: [
			received(1000, b, append(2, 1, 1, [])),
			received(1001, c, {kind: 'preVoteAnswered', term: 3, granted: false}),
			persisted(1002, 2),
			received(1003, c, voteOfTerm3),
			persisted(1004, 3),
		],
		expected: [],
	},
	{
		name: 'a snapshot behind the local log confirms only the entries that it covers',
		events: [
			received(1, b, append(2, 1, 1, [2, 2], 1)),
			received(1000, c, snapshotOfTerm3),
			persisted(1001, 2),
			received(1002, c, snapshotOfTerm3),
		],
		expected: [{kind: 'appendAnswered', accepted: true, index: 1}],
	},
	{
		name: 'a stale leader is sent the later term',
		events: [received(1, c, append(3, 1, 1, [])), persisted(2, 1), received(3, b, append(2, 1, 1, []))],
		expected: [{kind: 'appendAnswered', term: 3, accepted: false}],
	},
	{
		name: 'an election invitation from a voter that is not the leader is ignored',
		events: [received(1, c, append(3, 1, 1, [])), persisted(2, 1), received(3, b, {kind: 'electionInvited', term: 3})],
		expected: [],
	},
];

for (const {name, events, expected} of cases) {
	test(`follower: ${name}`, () => {
		let state = createVoter({
			self: a, electionMilliseconds: 300, heartbeatMilliseconds: 50, entriesBeforeSnapshot: 100, seed: 1,
		}, bootstrapCluster(['a', 'b', 'c']), 0);
		let sent: ConsensusMessage[] = [];
		for (const event of events) {
			const step = stepVoter(state, event);
			state = step.state;
			sent = step.effects.flatMap(effect => effect.kind === 'send' ? [effect.envelope.message] : []);
		}

		assert.equal(sent.length, expected.length, JSON.stringify(sent));
		for (const [position, fields] of expected.entries()) {
			assert.deepEqual({...sent[position], ...fields}, sent[position]);
		}
	});
}
