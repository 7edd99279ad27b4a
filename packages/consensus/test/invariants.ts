/**
 * Safety invariants, checked at each step of a simulation.
 */
import assert from 'node:assert/strict';
import {type SimulatedNode} from './faults.js';
import {type ConsensusEffect, type ConsensusEvent, Role} from '@dogwooddeck/consensus/voter-interface';
import {voterDueAt} from '@dogwooddeck/consensus/due';
import {entryAt} from '@dogwooddeck/consensus/log';
import {
	quorumContactAt, roleOf, termOf, voterSetOf, type VoterState,
} from '@dogwooddeck/consensus/voter';
import {type ConsensusEnvelope, type LogEntry} from '@dogwooddeck/consensus/message';

/** An entry that a member confirms is the same as the leader's of that term. */
function checkConfirmedEntry(message: ConsensusEnvelope['message'], node: SimulatedNode, nodes: readonly SimulatedNode[]): void {
	const leader = nodes.find(({voter}) => voter !== undefined && roleOf(voter) === Role.leader && termOf(voter) === message.term);
	if (message.kind === 'appendAnswered' && message.accepted && leader !== undefined) {
		const confirmed = node.disk.entries.find(({index}) => index === message.index);
		const expected = entryAt(leader.voter!.log, message.index);
		assert.ok(confirmed === undefined || expected === undefined || confirmed.term === expected.term, 'a member confirmed an entry that the leader does not have');
	}
}

/** A vote, a term or a confirmation of entries is sent only after it is synced. */
export function checkSynced({message}: ConsensusEnvelope, node: SimulatedNode, nodes: readonly SimulatedNode[]): void {
	const {hardState, entries, snapshot} = node.disk;
	const claimsVote = message.kind === 'voteRequested' || (message.kind === 'voteAnswered' && message.granted);
	assert.ok(message.kind === 'preVoteRequested' || message.kind === 'preVoteAnswered' || hardState.term >= message.term, 'a term is sent before it is synced');
	assert.ok(!claimsVote || hardState.term > message.term || hardState.vote !== undefined, 'a vote is sent before it is synced');
	checkConfirmedEntry(message, node, nodes);
	const confirmedIndex = message.kind === 'appendAnswered' && message.accepted && hardState.term === message.term ? message.index : 0;
	assert.ok(confirmedIndex <= (entries.at(-1)?.index ?? snapshot?.index ?? 0), 'entries are confirmed before they are synced');
}

/** No leader relies on a quorum that has elected another leader in a later term. */
export function checkLeases(elected: SimulatedNode, nodes: readonly SimulatedNode[], now: number): void {
	for (const {name, voter} of nodes) {
		const contactAt = voter === undefined || termOf(voter) >= termOf(elected.voter!) ? undefined : quorumContactAt(voter, now);
		assert.equal(contactAt, undefined, `${name} relies on a quorum that has elected ${elected.name}`);
	}
}

/** An accepted entry is on the disks of a majority, not counting folders that were lost since. */
export function checkMajority({index, term}: LogEntry, leader: SimulatedNode, nodes: readonly SimulatedNode[]): void {
	const {voters} = voterSetOf(leader.voter!);
	const votersWithEntry = voters.filter(voter => {
		const {identity, disk} = nodes.find(({name}) => name === voter.name)!;
		const lost = identity.folder !== voter.folder;
		return lost || index <= (disk.snapshot?.index ?? 0) || disk.entries.some(entry => entry.index === index && entry.term === term);
	});
	assert.ok(votersWithEntry.length * 2 > voters.length, `entry ${index} was accepted before a majority had synced it`);
}

/** A tick has no effect before the time that `voterDueAt` returned. */
export function checkDue(voter: VoterState, event: ConsensusEvent, effects: readonly ConsensusEffect[]): void {
	const dueAt = voterDueAt(voter);
	assert.ok(event.kind !== 'ticked' || effects.length === 0 || event.now >= dueAt, `a tick at ${event.now} had effects that were due at ${dueAt}`);
}
