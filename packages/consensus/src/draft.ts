/**
 * A draft of one step of the state machine: the state so far, the effects for the
 * caller to carry out, and what has to be persisted first.
 */
import {type Failure} from '@dogwooddeck/model/failure';
import {type LogIndex, type MonotonicTime} from '@dogwooddeck/model/identifiers';
import {type Transition} from '@dogwooddeck/model/transition';
import {appendEntries, entriesBetween, truncateAfter} from './log.js';
import {type ConsensusEffect, type HardState} from './voter-interface.js';
import {
	type ConsensusEnvelope, type ConsensusMessage, type LogEntry, type Snapshot, type VoterIdentity,
} from './message.js';
import {roleOf, type DiskProgress, type VoterState} from './state.js';

/** What the step has changed in the durable state. */
export type UnsavedChanges = {
	readonly hardState: boolean;
	readonly firstIndex: LogIndex | undefined;
	readonly snapshot: Snapshot | undefined;
};

/** The intermediate result of a step. */
export type Draft = {
	readonly state: VoterState;
	readonly now: MonotonicTime;
	readonly effects: readonly ConsensusEffect[];
	/** Messages that are sent only after all earlier writes are synced. */
	readonly deferred: readonly ConsensusEnvelope[];
	readonly unsaved: UnsavedChanges;
};

/** Begins a step. */
export function beginStep(state: VoterState, now: MonotonicTime): Draft {
	return {
		state, now, effects: [], deferred: [], unsaved: {hardState: false, firstIndex: undefined, snapshot: undefined},
	};
}

/** Returns the draft with some fields of the state replaced. */
export function updateState(draft: Draft, fields: Partial<VoterState>): Draft {
	return {...draft, state: {...draft.state, ...fields}};
}

/** Adds effects for the caller to carry out. */
export function addEffects(draft: Draft, ...effects: readonly ConsensusEffect[]): Draft {
	return {...draft, effects: [...draft.effects, ...effects]};
}

/** Rejects proposals or reads with a failure. */
export function rejectRequests(draft: Draft, requests: ReadonlyArray<{readonly request: string}>, failure: Failure): Draft {
	return addEffects(draft, ...requests.map(({request}) => ({kind: 'refused', request, failure} as const)));
}

/** Sends a message that doesn't depend on any unsynced write. */
export function sendImmediately(draft: Draft, to: VoterIdentity, message: ConsensusMessage): Draft {
	return addEffects(draft, {kind: 'send', envelope: {from: draft.state.options.self, to, message}});
}

/** Sends a message that doesn't depend on any unsynced write, and whose outcome the transport has to report. */
export function sendTracked(draft: Draft, to: VoterIdentity, message: ConsensusMessage, delivery: number): Draft {
	return addEffects(draft, {kind: 'send', envelope: {from: draft.state.options.self, to, message}, delivery});
}

/** Sends a message once all earlier writes are synced. */
export function sendAfterSync(draft: Draft, to: VoterIdentity, message: ConsensusMessage): Draft {
	return {...draft, deferred: [...draft.deferred, {from: draft.state.options.self, to, message}]};
}

/** Sets the term and vote, to be persisted at the end of the step. */
export function setHardState(draft: Draft, hardState: HardState): Draft {
	return {...updateState(draft, {hardState}), unsaved: {...draft.unsaved, hardState: true}};
}

/** Writes entries to the log, replacing all existing ones from the first one's index on. */
export function writeEntries(draft: Draft, entries: readonly LogEntry[]): Draft {
	const first = entries[0];
	if (first === undefined) {
		return draft;
	}

	const {log, disk} = draft.state;
	const precedingLog = first.index <= log.lastIndex ? truncateAfter(log, first.index - 1) : log;
	const firstIndex = Math.min(draft.unsaved.firstIndex ?? first.index, first.index);
	return {
		...updateState(draft, {
			log: appendEntries(precedingLog, entries),
			disk: {...disk, syncedIndex: Math.min(disk.syncedIndex, first.index - 1)},
		}),
		unsaved: {...draft.unsaved, firstIndex},
	};
}

/** Marks a snapshot, which the log already begins with, to be persisted at the end of the step. */
export function markSnapshotUnsaved(draft: Draft, snapshot: Snapshot): Draft {
	return {...draft, unsaved: {...draft.unsaved, snapshot}};
}

/** Marks the log from an index on as unsynced, after a snapshot replaced entries. */
export function markUnsyncedFrom(draft: Draft, index: LogIndex): Draft {
	const {disk} = draft.state;
	return {
		...updateState(draft, {disk: {...disk, syncedIndex: Math.min(disk.syncedIndex, index - 1)}}),
		unsaved: {...draft.unsaved, firstIndex: index},
	};
}

function hasUnsavedChanges(unsaved: UnsavedChanges): boolean {
	return unsaved.hardState || unsaved.firstIndex !== undefined || unsaved.snapshot !== undefined;
}

function persist(draft: Draft): Draft {
	const {state, unsaved, deferred} = draft;
	const {log, disk} = state;
	const ticket = disk.nextTicket;
	const first = unsaved.firstIndex ?? log.lastIndex + 1;
	const nextDisk: DiskProgress = {
		...disk,
		nextTicket: ticket + 1,
		hardStateTicket: unsaved.hardState ? ticket : disk.hardStateTicket,
		writes: [...disk.writes, {
			ticket, first, last: log.lastIndex, deferred,
		}],
	};
	const effect: ConsensusEffect = {
		kind: 'persist',
		ticket,
		hardState: state.hardState,
		entries: entriesBetween(log, Math.max(first, (unsaved.snapshot?.index ?? 0) + 1), log.lastIndex),
		...(unsaved.snapshot === undefined ? {} : {snapshot: unsaved.snapshot}),
	};
	return {...updateState(draft, {disk: nextDisk}), effects: [effect, ...draft.effects], deferred: []};
}

function deferToLastWrite(draft: Draft): Draft {
	const {disk} = draft.state;
	const last = disk.writes.at(-1);
	if (last === undefined) {
		const sendEffects = draft.deferred.map(envelope => ({kind: 'send', envelope} as const));
		return {...addEffects(draft, ...sendEffects), deferred: []};
	}

	const writes = [...disk.writes.slice(0, -1), {...last, deferred: [...last.deferred, ...draft.deferred]}];
	return {...updateState(draft, {disk: {...disk, writes}}), deferred: []};
}

function addRoleChange(draft: Draft, before: VoterState): Draft {
	const {state} = draft;
	const isUnchanged = roleOf(before) === roleOf(state) && before.hardState.term === state.hardState.term && before.leader === state.leader;
	if (isUnchanged) {
		return draft;
	}

	const leader = state.leader === undefined ? {} : {leader: state.leader};
	return addEffects(draft, {
		kind: 'roleChanged', role: roleOf(state), term: state.hardState.term, ...leader,
	});
}

/** Ends a step: issues one write for all durable changes, and sends messages at once or attaches them to the write that they wait for. */
export function endStep(draft: Draft, before: VoterState): Transition<VoterState, ConsensusEffect> {
	const saved = hasUnsavedChanges(draft.unsaved) ? persist(draft) : (draft.deferred.length === 0 ? draft : deferToLastWrite(draft));
	const {state, effects} = addRoleChange(saved, before);
	return {state, effects};
}
