/**
 * One voter of the replicated log as a pure state machine: from a state and an event
 * it computes the next state and the effects that the caller carries out, in order.
 */
import {type MonotonicTime} from '@dogwooddeck/model/identifiers';
import {dispatch, type HandlerTable, type Transition} from '@dogwooddeck/model/transition';
import {
	beginStep, addEffects, updateState, endStep, type Draft,
} from './draft.js';
import {
	countOwnVoteIfSynced, drawElectionTimeout, receiveVote, receiveInvitation, receivePreVote, receivePreVoteRequest, receiveVoteRequest, adoptTerm, tick,
} from './election.js';
import {receiveAppend, receiveSnapshot} from './follower.js';
import {appendEntries, createLog} from './log.js';
import {
	Role, type ConsensusEffect, type ConsensusEvent, type ConsensusOptions, type SavedState,
} from './voter-interface.js';
import {type ConsensusMessage, type VoterIdentity} from './message.js';
import {advanceCommit, endDelivery, receiveAnswer} from './replication.js';
import {
	transferLeadership, propose, proposeVoterChange, requestRead, takeSnapshot,
} from './requests.js';
import {isValidEnvelope} from './validation.js';
import {type VoterState} from './state.js';

export {
	committedIndex, knownCommittedIndex, leaderOf, memberPositions, roleOf, termOf, voterSetOf, type MemberPosition, type VoterState,
} from './state.js';
export {quorumContactAt} from './quorum.js';
export {bootstrapCluster, bootstrapFolder, bootstrapVoterSet} from './bootstrap.js';

/**
 * Creates the state of a voter from its durable state. The caller has to restore the
 * state machine from the saved snapshot itself; entries are applied once they are
 * known to be committed.
 */
export function createVoter(options: ConsensusOptions, saved: SavedState, now: MonotonicTime): VoterState {
	const log = appendEntries(createLog(saved.snapshot), saved.entries);
	return {
		options,
		hardState: saved.hardState,
		log,
		committed: saved.snapshot?.index ?? 0,
		reportedCommitted: 0,
		role: Role.follower,
		leader: undefined,
		leaderContactAt: now - options.electionMilliseconds + (options.startupVoteDelayMilliseconds ?? options.electionMilliseconds),
		electionAt: now + drawElectionTimeout({...options, electionMilliseconds: options.firstElectionMilliseconds ?? options.electionMilliseconds}, 0),
		electionTimeoutDraws: 0,
		campaign: undefined,
		leadership: undefined,
		deliveryCount: 0,
		disk: {
			nextTicket: 1, writes: [], syncedIndex: log.lastIndex, hardStateTicket: 0, persistedTicket: 0,
		},
		snapshotRequestedIndex: 0,
	};
}

const messageHandlers: HandlerTable<ConsensusMessage, [Draft, VoterIdentity], Draft> = {
	preVoteRequested: (message, draft, from) => receivePreVoteRequest(draft, from, message),
	preVoteAnswered: (message, draft, from) => receivePreVote(draft, from, message),
	voteRequested: (message, draft, from) => receiveVoteRequest(draft, from, message),
	voteAnswered: (message, draft, from) => receiveVote(draft, from, message),
	appendRequested: (message, draft, from) => receiveAppend(draft, from, message),
	appendAnswered: (message, draft, from) => message.term > draft.state.hardState.term
		? adoptTerm(draft, message.term)
		: receiveAnswer(draft, from, message),
	electionInvited: (message, draft, from) => receiveInvitation(draft, from, message),
	snapshotSent: (message, draft, from) => receiveSnapshot(draft, from, message),
};

/** Handles a synced write: sends the messages that waited for it, and counts the voter's own vote and entries. */
function handlePersisted(draft: Draft, ticket: number): Draft {
	const {disk} = draft.state;
	const syncedWrites = disk.writes.filter(write => write.ticket <= ticket);
	const writes = disk.writes.filter(write => write.ticket > ticket);
	const syncedIndex = Math.min(syncedWrites.at(-1)?.last ?? disk.syncedIndex, ...writes.map(write => write.first - 1));
	const updated = updateState(draft, {
		disk: {
			...disk, writes, syncedIndex: Math.max(disk.syncedIndex, syncedIndex), persistedTicket: Math.max(disk.persistedTicket, ticket),
		},
	});
	const sendEffects = syncedWrites.flatMap(write => write.deferred.map(envelope => ({kind: 'send', envelope} as const)));
	return advanceCommit(countOwnVoteIfSynced(addEffects(updated, ...sendEffects)));
}

const eventHandlers: HandlerTable<ConsensusEvent, [Draft], Draft> = {
	ticked: (_event, draft) => tick(draft),
	received: ({envelope}, draft) => isValidEnvelope(envelope, draft.state.options.self)
		? dispatch(messageHandlers, envelope.message, draft, envelope.from)
		: draft,
	proposed: (event, draft) => propose(draft, event),
	voterChangeProposed: (event, draft) => proposeVoterChange(draft, event),
	readRequested: (event, draft) => requestRead(draft, event),
	persisted: ({ticket}, draft) => handlePersisted(draft, ticket),
	deliveryEnded: (event, draft) => endDelivery(draft, event),
	snapshotTaken: (event, draft) => takeSnapshot(draft, event),
	handOverRequested: (_event, draft) => transferLeadership(draft),
};

/** Handles one event. */
export function stepVoter(state: VoterState, event: ConsensusEvent): Transition<VoterState, ConsensusEffect> {
	return endStep(dispatch(eventHandlers, event, beginStep(state, event.now)), state);
}
