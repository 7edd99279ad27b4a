/**
 * Translation of the replicated log's messages between the model's types and
 * protobuf. What comes from outside is checked: a message of an unknown kind
 * is a typed failure.
 */
import {
	type ConsensusEnvelope, type ConsensusMessage, type EntryBody, type LogEntry, type Snapshot, type VoterIdentity, type VoterSet,
} from '@dogwooddeck/consensus/message';
import {failure, type Failure, FailureKind} from '@dogwooddeck/model/failure';
import {dispatch, type HandlerTable} from '@dogwooddeck/model/transition';
import {err, ok, type Result} from 'true-myth/result';
import type * as generated from './generated/peer.js';

type EnvelopeFields = Partial<generated.ConsensusEnvelope>;

const emptyVoterSet: VoterSet = {voters: [], learners: []};

const bodyToWire: HandlerTable<EntryBody, [], Pick<generated.LogEntry, 'payload' | 'voterSet'>> = {
	leaderStarted: () => ({payload: '', voterSet: undefined}),
	command: body => ({payload: body.payload, voterSet: undefined}),
	votersChanged: body => ({payload: '', voterSet: body.voterSet}),
};

const bodyFromWire: Readonly<Record<string, (entry: generated.LogEntry) => EntryBody>> = {
	leaderStarted: () => ({kind: 'leaderStarted'}),
	command: entry => ({kind: 'command', payload: entry.payload}),
	votersChanged: entry => ({kind: 'votersChanged', voterSet: entry.voterSet ?? emptyVoterSet}),
};

function entryToWire(entry: LogEntry): generated.LogEntry {
	return {
		index: entry.index, term: entry.term, kind: entry.body.kind, ...dispatch(bodyToWire, entry.body),
	};
}

function entryFromWire(entry: generated.LogEntry): LogEntry | undefined {
	const body = Object.hasOwn(bodyFromWire, entry.kind) ? bodyFromWire[entry.kind]!(entry) : undefined;
	return body === undefined ? undefined : {index: entry.index, term: entry.term, body};
}

function snapshotFromWire(snapshot: generated.Snapshot | undefined): Snapshot | undefined {
	return snapshot === undefined ? undefined : {...snapshot, voterSet: snapshot.voterSet ?? emptyVoterSet};
}

const messageToWire: HandlerTable<ConsensusMessage, [], EnvelopeFields> = {
	preVoteRequested: message => message,
	preVoteAnswered: message => message,
	voteRequested: message => message,
	voteAnswered: message => message,
	appendRequested: message => ({...message, entries: message.entries.map(entry => entryToWire(entry))}),
	appendAnswered: message => message,
	snapshotSent: message => message,
	electionInvited: message => message,
};

type MessageReader = (wire: generated.ConsensusEnvelope) => ConsensusMessage | undefined;

const messageFromWire: Readonly<Record<string, MessageReader>> = {
	preVoteRequested: ({term, lastIndex, lastTerm}) => ({
		kind: 'preVoteRequested', term, lastIndex, lastTerm,
	}),
	preVoteAnswered: ({term, granted}) => ({kind: 'preVoteAnswered', term, granted}),
	voteRequested: ({term, lastIndex, lastTerm, invited}) => ({
		kind: 'voteRequested', term, lastIndex, lastTerm, ...(invited ? {invited: true} : {}),
	}),
	voteAnswered: ({term, granted}) => ({kind: 'voteAnswered', term, granted}),
	appendRequested(wire) {
		const entries = wire.entries.map(entry => entryFromWire(entry));
		if (entries.includes(undefined)) {
			return undefined;
		}

		return {
			kind: 'appendRequested',
			term: wire.term,
			previousIndex: wire.previousIndex,
			previousTerm: wire.previousTerm,
			entries: entries as LogEntry[],
			committed: wire.committed,
			round: wire.round,
		};
	},
	appendAnswered: ({term, accepted, index, round}) => ({
		kind: 'appendAnswered', term, accepted, index, round,
	}),
	snapshotSent(wire) {
		const snapshot = snapshotFromWire(wire.snapshot);
		return snapshot === undefined
			? undefined
			: {
				kind: 'snapshotSent', term: wire.term, snapshot, round: wire.round,
			};
	},
	electionInvited: ({term}) => ({kind: 'electionInvited', term}),
};

/** An envelope as protobuf takes it. */
export function envelopeToWire(envelope: ConsensusEnvelope): generated.ConsensusEnvelope {
	return {
		term: 0,
		lastIndex: 0,
		lastTerm: 0,
		granted: false,
		previousIndex: 0,
		previousTerm: 0,
		entries: [],
		committed: 0,
		round: 0,
		accepted: false,
		index: 0,
		snapshot: undefined,
		invited: false,
		...dispatch(messageToWire, envelope.message),
		kind: envelope.message.kind,
		from: envelope.from,
		to: envelope.to,
	};
}

function identityFrom(identity: VoterIdentity | undefined): VoterIdentity | undefined {
	return identity === undefined || identity.name === '' || identity.folder === '' ? undefined : identity;
}

/** An envelope from protobuf. Fails with `malformed` where a part is missing or of an unknown kind. */
export function envelopeFromWire(wire: generated.ConsensusEnvelope): Result<ConsensusEnvelope, Failure> {
	const from = identityFrom(wire.from);
	const to = identityFrom(wire.to);
	const message = Object.hasOwn(messageFromWire, wire.kind) ? messageFromWire[wire.kind]!(wire) : undefined;
	if (from === undefined || to === undefined || message === undefined) {
		return err(failure(FailureKind.malformed, `a consensus message of kind ${JSON.stringify(wire.kind)} can't be read`));
	}

	return ok({from, to, message});
}
