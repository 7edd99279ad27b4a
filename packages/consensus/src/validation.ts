/**
 * Validation of received messages. The voter ignores an invalid one.
 */
import {dispatch, type HandlerTable} from '@dogwooddeck/model/transition';
import {
	type ConsensusEnvelope, type ConsensusMessage, type LogEntry, type Snapshot, type VoterIdentity, type VoterSet,
} from './message.js';
import {sameVoter} from './voter-set.js';

function areNonNegativeIntegers(...values: readonly unknown[]): boolean {
	return values.every(value => Number.isSafeInteger(value) && (value as number) >= 0);
}

function isIdentity(value: VoterIdentity | undefined): boolean {
	return typeof value?.name === 'string' && typeof value.folder === 'string';
}

function areIdentities(list: readonly VoterIdentity[] | undefined): boolean {
	return Array.isArray(list) && (list as readonly VoterIdentity[]).every(member => isIdentity(member));
}

function isVoterSet(value: VoterSet | undefined): boolean {
	return areIdentities(value?.voters) && areIdentities(value?.learners);
}

const bodyValidators: HandlerTable<LogEntry['body'], [], boolean> = {
	leaderStarted: () => true,
	command: body => typeof body.payload === 'string',
	votersChanged: body => isVoterSet(body.voterSet),
};

function isEntryBody(body: LogEntry['body'] | undefined): boolean {
	return body !== undefined && Object.hasOwn(bodyValidators, body.kind) && dispatch(bodyValidators, body);
}

function areEntries(entries: readonly LogEntry[], previousIndex: number, previousTerm: number, term: number): boolean {
	return Array.isArray(entries) && entries.every((entry: LogEntry, offset) =>
		areNonNegativeIntegers(entry?.index, entry?.term)
		&& entry.index === previousIndex + 1 + offset
		&& entry.term >= (entries[offset - 1]?.term ?? previousTerm)
		&& entry.term <= term
		&& isEntryBody(entry.body));
}

function isSnapshot(snapshot: Snapshot | undefined): boolean {
	return areNonNegativeIntegers(snapshot?.index, snapshot?.term) && typeof snapshot?.data === 'string' && isVoterSet(snapshot.voterSet);
}

const messageValidators: HandlerTable<ConsensusMessage, [], boolean> = {
	preVoteRequested: message => areNonNegativeIntegers(message.lastIndex, message.lastTerm),
	preVoteAnswered: message => typeof message.granted === 'boolean',
	voteRequested: message => areNonNegativeIntegers(message.lastIndex, message.lastTerm),
	voteAnswered: message => typeof message.granted === 'boolean',
	appendRequested: message => areNonNegativeIntegers(message.previousIndex, message.previousTerm, message.committed, message.round)
		&& areEntries(message.entries, message.previousIndex, message.previousTerm, message.term),
	appendAnswered: message => areNonNegativeIntegers(message.index, message.round) && typeof message.accepted === 'boolean',
	electionInvited: () => true,
	snapshotSent: message => areNonNegativeIntegers(message.round) && isSnapshot(message.snapshot) && message.snapshot.term <= message.term,
};

/** Whether an envelope is well-formed, and addressed to exactly this folder of this instance. */
export function isValidEnvelope(envelope: ConsensusEnvelope, self: VoterIdentity): boolean {
	const {from, to, message} = envelope;
	return isIdentity(from)
		&& isIdentity(to)
		&& sameVoter(to, self)
		&& !sameVoter(from, self)
		&& Object.hasOwn(messageValidators, message?.kind)
		&& areNonNegativeIntegers(message.term)
		&& dispatch(messageValidators, message);
}
