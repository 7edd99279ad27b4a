/**
 * The leader's side of log replication: sends entries, snapshots and heartbeats to
 * each member, and handles the answers.
 */
import {type LogIndex, type MonotonicTime} from '@dogwooddeck/model/identifiers';
import {applyCommitted} from './commit.js';
import {type Delivery, hasWindowRoom, isInFlight} from './delivery.js';
import {
	addEffects, updateState, sendTracked, sendImmediately, writeEntries, type Draft,
} from './draft.js';
import {entriesBetween, latestVoterSet, termAt} from './log.js';
import {
	charactersOf, type ConsensusMessage, type EntryBody, type LogEntry, messageCharacters, type VoterIdentity,
} from './message.js';
import {answeredRound, ownTermCommitted, syncedByMajority} from './quorum.js';
import {type Leadership, type Progress} from './state.js';
import {membersOf, sameVoter} from './voter-set.js';

const maxEntriesPerMessage = 256;
/** Longer messages would delay the member's confirmation, and all messages queued behind them. */
const maxCharactersPerMessage = 131_072;

type AppendAnswer = Extract<ConsensusMessage, {readonly kind: 'appendAnswered'}>;

/** Returns the draft with some fields of the leadership replaced; unchanged on a voter that isn't the leader. */
export function changeLeadership(draft: Draft, fields: Partial<Leadership>): Draft {
	const {leadership} = draft.state;
	return leadership === undefined ? draft : updateState(draft, {leadership: {...leadership, ...fields}});
}

/** The replication progress that the leader assumes for a member before its first answer. */
export function newProgress(peer: VoterIdentity, lastIndex: LogIndex, contactAt: MonotonicTime): Progress {
	return {
		peer, nextIndex: lastIndex + 1, matchIndex: 0, probing: true, answeredRound: 0, contactAt, snapshotSentAt: undefined, inFlight: [], lastArrival: undefined,
	};
}

function changeProgress(draft: Draft, changed: Progress): Draft {
	const progress = draft.state.leadership?.progress.map(one => sameVoter(one.peer, changed.peer) ? changed : one);
	return progress === undefined ? draft : changeLeadership(draft, {progress});
}

function progressOf(draft: Draft, peer: VoterIdentity): Progress | undefined {
	return draft.state.leadership?.progress.find(one => sameVoter(one.peer, peer));
}

function limitToMessageSize(entries: readonly LogEntry[]): readonly LogEntry[] {
	let characters = 0;
	const end = entries.findIndex(entry => {
		characters += charactersOf(entry);
		return characters > maxCharactersPerMessage;
	});
	return end === -1 ? entries : entries.slice(0, Math.max(1, end));
}

/** Sends a message whose outcome the transport reports, and records it as in flight. */
function sendInFlight(draft: Draft, progress: Progress, message: ConsensusMessage, content: Omit<Delivery, 'number'>): Draft {
	const number = draft.state.deliveryCount + 1;
	const updated = changeProgress(updateState(draft, {deliveryCount: number}), {...progress, inFlight: [...progress.inFlight, {number, ...content}]});
	return sendTracked(updated, progress.peer, message, number);
}

function createAppend(draft: Draft, previousIndex: LogIndex, entries: readonly LogEntry[]): ConsensusMessage {
	const {state} = draft;
	return {
		kind: 'appendRequested',
		term: state.hardState.term,
		previousIndex,
		previousTerm: termAt(state.log, previousIndex) ?? 0,
		entries,
		committed: state.committed,
		round: state.leadership!.round,
	};
}

/** Sends the snapshot, or a heartbeat while other messages are in flight or a snapshot was sent less than an election timeout ago. */
function sendSnapshot(draft: Draft, progress: Progress): Draft {
	const {state, now} = draft;
	const {snapshot} = state.log;
	if (snapshot === undefined) {
		return draft;
	}

	const isRecentlySent = progress.snapshotSentAt !== undefined && now - progress.snapshotSentAt < state.options.electionMilliseconds;
	if (isRecentlySent || progress.inFlight.length > 0) {
		return sendImmediately(draft, progress.peer, createAppend(draft, snapshot.index, []));
	}

	const message = {
		kind: 'snapshotSent', term: state.hardState.term, snapshot, round: state.leadership!.round,
	} as const;
	return sendInFlight(draft, {...progress, nextIndex: snapshot.index + 1, snapshotSentAt: now}, message, {first: 0, last: snapshot.index, characters: snapshot.data.length});
}

function sendEntries(draft: Draft, progress: Progress, entries: readonly LogEntry[]): Draft {
	const message = createAppend(draft, progress.nextIndex - 1, entries);
	const last = entries.at(-1)?.index;
	return last === undefined
		? sendImmediately(draft, progress.peer, message)
		: sendInFlight(draft, {...progress, nextIndex: last + 1}, message, {first: progress.nextIndex, last, characters: messageCharacters(message)});
}

/** Sends a member the entries that it lacks before those in flight, which it would reject otherwise. */
function sendMissing(draft: Draft, progress: Progress, entries: readonly LogEntry[]): Draft {
	const [first, last] = [entries[0]!.index, entries.at(-1)!.index];
	const message = createAppend(draft, first - 1, entries);
	return sendInFlight(draft, progress, message, {first, last, characters: messageCharacters(message)});
}

function canSendFrom(draft: Draft, nextIndex: LogIndex): boolean {
	const {log} = draft.state;
	return nextIndex >= log.firstIndex && termAt(log, nextIndex - 1) !== undefined;
}

/** Sends a member the next entries, or a heartbeat if there are none or the in-flight window has no room for them. */
export function replicateTo(draft: Draft, peer: VoterIdentity): Draft {
	const progress = progressOf(draft, peer);
	if (progress === undefined) {
		return draft;
	}

	if (!canSendFrom(draft, progress.nextIndex)) {
		return sendSnapshot(draft, progress);
	}

	const entries = limitToMessageSize(entriesBetween(draft.state.log, progress.nextIndex, progress.nextIndex + maxEntriesPerMessage - 1));
	const characters = entries.reduce((sum, entry) => sum + charactersOf(entry), 0);
	return sendEntries(draft, progress, hasWindowRoom(progress.inFlight, characters) ? entries : []);
}

function sendHeartbeat(draft: Draft, progress: Progress): Draft {
	return canSendFrom(draft, progress.nextIndex) ? sendEntries(draft, progress, []) : sendSnapshot(draft, progress);
}

/** Sends to every member at once: new entries to those whose position is confirmed, a heartbeat to those that are probed. */
export function broadcast(draft: Draft): Draft {
	const progress = draft.state.leadership?.progress ?? [];
	return progress.reduce((result, one) => one.probing ? sendHeartbeat(result, one) : replicateTo(result, one.peer), draft);
}

/** Starts a round: a request to every member, whose answers confirm that leadership lasted at least until now. */
export function startRound(draft: Draft): Draft {
	const {leadership, options} = draft.state;
	if (leadership === undefined) {
		return draft;
	}

	const round = leadership.round + 1;
	const answered = answeredRound(draft.state, leadership);
	return broadcast(changeLeadership(draft, {
		round,
		rounds: [...leadership.rounds.filter(one => one.round >= answered), {round, sentAt: draft.now}],
		heartbeatAt: draft.now + options.heartbeatMilliseconds,
	}));
}

/** Appends an entry of the current term to the leader's log. */
export function appendLeaderEntry(draft: Draft, body: EntryBody): Draft {
	const {log, hardState} = draft.state;
	return writeEntries(draft, [{index: log.lastIndex + 1, term: hardState.term, body}]);
}

/** Updates the list of members that the leader replicates to from the newest voter set. */
export function refreshMembers(draft: Draft): Draft {
	const {log, options, leadership} = draft.state;
	const peers = membersOf(latestVoterSet(log)).filter(member => !sameVoter(member, options.self));
	const progress = peers.map(peer => leadership?.progress.find(one => sameVoter(one.peer, peer)) ?? newProgress(peer, log.lastIndex, draft.now));
	return changeLeadership(draft, {progress});
}

/** Commits the entries that a majority has synced, provided that the last of them is of the current term. */
export function advanceCommit(draft: Draft): Draft {
	const {state} = draft;
	const {leadership} = state;
	const index = leadership === undefined ? 0 : syncedByMajority(state, leadership);
	if (leadership === undefined || index <= state.committed || termAt(state.log, index) !== state.hardState.term) {
		return draft;
	}

	const proposals = leadership.proposals.filter(proposal => proposal.index > index);
	return answerReads(broadcast(applyCommitted(changeLeadership(draft, {proposals}), index)));
}

/** Answers the reads whose round a majority has answered, and starts a round for later ones. */
export function answerReads(draft: Draft): Draft {
	const {state} = draft;
	const {leadership} = state;
	if (leadership === undefined || leadership.reads.length === 0 || !ownTermCommitted(state)) {
		return draft;
	}

	const answered = answeredRound(state, leadership);
	const ready = leadership.reads.filter(read => read.round <= answered);
	const reads = leadership.reads.filter(read => read.round > answered);
	const effects = ready.map(({request}) => ({kind: 'readReady', request, index: state.committed} as const));
	const answeredDraft = addEffects(changeLeadership(draft, {reads}), ...effects);
	return reads.some(read => read.round > leadership.round) && answered === leadership.round ? answerReads(startRound(answeredDraft)) : answeredDraft;
}

function recordContact(draft: Draft, peer: VoterIdentity, round: number): Draft {
	const progress = progressOf(draft, peer);
	const current = draft.state.leadership?.round ?? 0;
	if (progress === undefined || round > current) {
		return draft;
	}

	return changeProgress(draft, {...progress, answeredRound: Math.max(round, progress.answeredRound), contactAt: draft.now});
}

function handleAccepted(draft: Draft, progress: Progress, answer: AppendAnswer): Draft {
	const matchIndex = Math.max(progress.matchIndex, Math.min(answer.index, draft.state.log.lastIndex));
	const isSnapshotPending = progress.snapshotSentAt !== undefined && matchIndex < (draft.state.log.snapshot?.index ?? 0);
	const updated = changeProgress(draft, {
		...progress,
		matchIndex,
		nextIndex: Math.max(progress.nextIndex, matchIndex + 1),
		probing: false,
		snapshotSentAt: isSnapshotPending ? progress.snapshotSentAt : undefined,
		inFlight: progress.inFlight.filter(({last}) => last > matchIndex),
	});
	const isLagging = Math.max(progress.nextIndex, matchIndex + 1) <= draft.state.log.lastIndex;
	return inviteSuccessor(advanceCommit(isLagging ? replicateTo(updated, progress.peer) : updated));
}

function handleRejected(draft: Draft, progress: Progress, answer: AppendAnswer): Draft {
	const {lastArrival, inFlight} = progress;
	const hasArrivedSince = lastArrival !== undefined && answer.index >= lastArrival.first && answer.round <= lastArrival.round;
	if (isInFlight(inFlight, answer.index) || hasArrivedSince) {
		return draft;
	}

	const nextIndex = Math.max(progress.matchIndex + 1, Math.min(answer.index, draft.state.log.lastIndex + 1));
	const firstInFlight = Math.min(...inFlight.map(({first}) => first));
	if (nextIndex < firstInFlight && firstInFlight < Infinity && canSendFrom(draft, nextIndex)) {
		return sendMissing(draft, progress, limitToMessageSize(entriesBetween(draft.state.log, nextIndex, firstInFlight - 1)));
	}

	if (progress.probing && nextIndex >= progress.nextIndex) {
		return draft;
	}

	return replicateTo(changeProgress(draft, {...progress, nextIndex, probing: true}), progress.peer);
}

/**
 * Handles the outcome of an in-flight message. One that was given up may still have
 * arrived: its content is sent again only after the member has answered a heartbeat.
 */
export function endDelivery(draft: Draft, {delivery, arrived}: {readonly delivery: number; readonly arrived: boolean}): Draft {
	const {leadership, log} = draft.state;
	const progress = leadership?.progress.find(({inFlight}) => inFlight.some(({number}) => number === delivery));
	if (leadership === undefined || progress === undefined) {
		return draft;
	}

	const {first} = progress.inFlight.find(({number}) => number === delivery)!;
	const withoutDelivery = {...progress, inFlight: progress.inFlight.filter(({number}) => number !== delivery)};
	if (!arrived) {
		return changeProgress(draft, {...withoutDelivery, nextIndex: Math.max(progress.matchIndex + 1, Math.min(progress.nextIndex, first)), probing: true});
	}

	const updated = changeProgress(draft, {...withoutDelivery, lastArrival: {first, round: leadership.round}});
	return !progress.probing && progress.nextIndex <= log.lastIndex ? replicateTo(updated, progress.peer) : updated;
}

/** Handles a member's answer to entries, a heartbeat or a snapshot. */
export function receiveAnswer(draft: Draft, from: VoterIdentity, answer: AppendAnswer): Draft {
	const recorded = recordContact(draft, from, answer.round);
	const progress = progressOf(recorded, from);
	if (progress === undefined || answer.term !== draft.state.hardState.term) {
		return draft;
	}

	const handled = answer.accepted ? handleAccepted(recorded, progress, answer) : handleRejected(recorded, progress, answer);
	return answerReads(handled);
}

/** Invites the successor in a leadership transfer to start its election, once it has the whole log. */
export function inviteSuccessor(draft: Draft): Draft {
	const {leadership, log, hardState} = draft.state;
	const successor = leadership?.transfer?.successor;
	const progress = successor === undefined ? undefined : progressOf(draft, successor);
	return progress?.matchIndex === log.lastIndex
		? sendImmediately(draft, progress.peer, {kind: 'electionInvited', term: hardState.term})
		: draft;
}
