/**
 * Runs a voter of the replicated log: passes messages, requests and timer ticks to its
 * state machine, and carries out the effects by a lookup table.
 */
import {voterDueAt} from '@dogwooddeck/consensus/due';
import {
	type ConsensusEffect, type ConsensusEvent, type ConsensusOptions, Role, type SavedState,
} from '@dogwooddeck/consensus/voter-interface';
import {
	type ConsensusEnvelope, type LogEntry, type VoterIdentity, type VoterSet,
} from '@dogwooddeck/consensus/message';
import {isValidEnvelope} from '@dogwooddeck/consensus/validation';
import {sameVoter} from '@dogwooddeck/consensus/voter-set';
import {
	committedIndex, createVoter, knownCommittedIndex, leaderOf, type MemberPosition, memberPositions, quorumContactAt, roleOf, stepVoter, voterSetOf,
} from '@dogwooddeck/consensus/voter';
import {startDueTimer} from '@dogwooddeck/clock/due';
import {monotonicNow} from '@dogwooddeck/clock/monotonic';
import {failure, type Failure, FailureKind} from '@dogwooddeck/model/failure';
import {type InstanceName, type LogIndex, type MonotonicTime} from '@dogwooddeck/model/identifiers';
import {dispatch, type HandlerTable} from '@dogwooddeck/model/transition';
import {type Storage} from '@dogwooddeck/storage/folder';
import {EventName} from '@dogwooddeck/telemetry/event';
import {type Log} from '@dogwooddeck/telemetry/log';
import {err, ok, type Result} from 'true-myth/result';
import {emptyPayload, type StateHolder} from './state-holder.js';

/** The log index of a committed entry, and the results of its commands. */
export type Committed<Accepted> = {readonly index: LogIndex; readonly answers: ReadonlyArray<Result<Accepted, Failure>>};

/** A running voter. */
export type VoterRunner<Accepted> = {
	/** Handles a message of another voter. Fails with `notFound` if it is for another folder, and with `malformed` if it is invalid. */
	readonly receive: (envelope: ConsensusEnvelope) => Result<undefined, Failure>;
	/** Resolves when the payload is committed and applied here, or rejected. */
	readonly propose: (payload: string) => Promise<Result<Committed<Accepted>, Failure>>;
	/** Resolves when all entries that were accepted before the call are applied here. */
	readonly read: () => Promise<Result<LogIndex, Failure>>;
	readonly changeVoters: (voterSet: VoterSet) => Promise<Result<LogIndex, Failure>>;
	/** Starts a leadership transfer. */
	readonly handOver: () => void;
	readonly isLeader: () => boolean;
	readonly leader: () => InstanceName | undefined;
	/** The last contact with a majority, if this voter is the leader. */
	readonly quorumContactAt: (now: MonotonicTime) => MonotonicTime | undefined;
	/** This voter's last contact with a leader. */
	readonly leaderContactAt: () => MonotonicTime;
	readonly voterSet: () => VoterSet;
	readonly committed: () => LogIndex;
	/** The highest index that is known to be committed, whether its entry has arrived here or not. */
	readonly knownCommitted: () => LogIndex;
	/** The replication positions of the other members, if this voter is the leader. */
	readonly memberPositions: () => readonly MemberPosition[];
	readonly stop: () => Promise<void>;
};

/** What a voter needs from its process. */
export type VoterDependencies<State, Accepted> = {
	readonly options: ConsensusOptions;
	readonly saved: SavedState;
	readonly storage: Storage;
	readonly holder: StateHolder<State, Accepted>;
	readonly log: Log;
	/** Resolves when the message has arrived or has been given up: see `deliveryTimeout`. */
	readonly send: (envelope: ConsensusEnvelope) => Promise<Result<unknown, Failure>>;
	readonly roleChanged: (role: Role) => void;
	/** Called when the durable state can't be written: the process has to exit. */
	readonly storageFailed: (failed: Failure) => void;
};

type Settle<Accepted> = (result: Result<Committed<Accepted>, Failure>) => void;
type PlacedProposal<Accepted> = {readonly term: number; readonly settle: Settle<Accepted>};

const unknownOutcome = failure(FailureKind.outcomeUnknown, 'another leader was elected before the change was known to be accepted');

/** A snapshot that can't be decoded must not replace the state on disk. */
function hasDecodableSnapshot({message}: ConsensusEnvelope, canDecode: (data: string) => boolean): boolean {
	return message.kind !== 'snapshotSent' || canDecode(message.snapshot.data);
}

function checkEnvelope(envelope: ConsensusEnvelope, self: VoterIdentity, canDecode: (data: string) => boolean): Result<undefined, Failure> {
	if (!sameVoter(envelope.to, self)) {
		return err(failure(FailureKind.notFound, `the message is for the folder ${envelope.to.folder} of ${envelope.to.name}, which this instance doesn't have`));
	}

	return isValidEnvelope(envelope, self) && hasDecodableSnapshot(envelope, canDecode)
		? ok(undefined)
		: err(failure(FailureKind.malformed, `a message of kind ${envelope.message.kind} is invalid`));
}

/** Starts a voter. */
export function startVoter<State extends {readonly applied: LogIndex}, Accepted>(dependencies: VoterDependencies<State, Accepted>): VoterRunner<Accepted> {
	const {holder, log, storage} = dependencies;
	let state = createVoter(dependencies.options, dependencies.saved, monotonicNow());
	let requests = 0;
	let writing: Promise<void> = Promise.resolve();
	let stopped = false;
	const proposals = new Map<string, Settle<Accepted>>();
	const placed = new Map<LogIndex, PlacedProposal<Accepted>>();
	const reads: Array<{readonly index: LogIndex; readonly settle: Settle<Accepted>}> = [];

	function settleReads(): void {
		const {applied} = holder.state();
		const ready = reads.filter(({index}) => index <= applied);
		for (const read of ready) {
			reads.splice(reads.indexOf(read), 1);
			read.settle(ok({index: applied, answers: []}));
		}
	}

	function applyOne(entry: LogEntry): void {
		const payload = entry.body.kind === 'command' ? entry.body.payload : emptyPayload;
		const answers = holder.apply(entry.index, payload) ?? [];
		const proposal = placed.get(entry.index);
		if (proposal !== undefined) {
			placed.delete(entry.index);
			proposal.settle(proposal.term === entry.term ? ok({index: entry.index, answers}) : err(unknownOutcome));
		}
	}

	function settle(request: string, result: Result<Committed<Accepted>, Failure>): void {
		proposals.get(request)?.(result);
		proposals.delete(request);
	}

	async function write(effect: Extract<ConsensusEffect, {readonly kind: 'persist'}>): Promise<void> {
		const persisted = await storage.persist(effect);
		if (persisted.isErr) {
			dependencies.storageFailed(persisted.error);
			return;
		}

		step({kind: 'persisted', now: monotonicNow(), ticket: effect.ticket});
	}

	async function send(envelope: ConsensusEnvelope, delivery: number | undefined): Promise<void> {
		const sent = await dependencies.send(envelope);
		if (delivery !== undefined) {
			step({
				kind: 'deliveryEnded', now: monotonicNow(), delivery, arrived: sent.isOk,
			});
		}
	}

	async function writeAfter(previous: Promise<void>, next: Promise<void>): Promise<void> {
		await previous;
		await next;
	}

	const effectHandlers: HandlerTable<ConsensusEffect, [], void> = {
		persist(effect) {
			writing = writeAfter(writing, write(effect));
		},
		send({envelope, delivery}) {
			void send(envelope, delivery);
		},
		apply({entries}) {
			for (const entry of entries) {
				applyOne(entry);
			}

			settleReads();
		},
		restore({snapshot}) {
			const restored = holder.restore(snapshot.index, snapshot.data);
			log.event(EventName.stateRestored, {index: snapshot.index, taken: restored.isOk && restored.value});
			settleReads();
		},
		placed({request, index, term}) {
			const settlePlaced = proposals.get(request);
			if (settlePlaced !== undefined) {
				placed.set(index, {
					term,
					settle(result) {
						settle(request, result);
					},
				});
			}
		},
		refused({request, failure: refusal}) {
			settle(request, err(refusal));
		},
		readReady({request, index}) {
			reads.push({
				index,
				settle(result) {
					settle(request, result);
				},
			});
			settleReads();
		},
		snapshotWanted() {
			const {applied} = holder.state();
			if (applied <= committedIndex(state)) {
				queueMicrotask(() => {
					step({
						kind: 'snapshotTaken', now: monotonicNow(), index: applied, data: holder.catchUpAfter(-1).state!.data,
					});
				});
			}
		},
		roleChanged({role, term, leader}) {
			log.event(EventName.roleChanged, {role, term, leader: leader?.name});
			dependencies.roleChanged(role);
		},
	};

	function step(event: ConsensusEvent): void {
		if (stopped) {
			return;
		}

		const next = stepVoter(state, event);
		state = next.state;
		for (const effect of next.effects) {
			dispatch(effectHandlers, effect);
		}

		tickTimer.arm();
	}

	async function submitRequest(event: (request: string) => ConsensusEvent): Promise<Result<Committed<Accepted>, Failure>> {
		requests += 1;
		const request = `${dependencies.options.self.name}-${requests}`;
		return new Promise(resolve => {
			proposals.set(request, resolve);
			step(event(request));
		});
	}

	const tickTimer = startDueTimer({
		dueAt: () => voterDueAt(state),
		run() {
			step({kind: 'ticked', now: monotonicNow()});
		},
	});

	return {
		receive(envelope) {
			const checked = checkEnvelope(envelope, dependencies.options.self, holder.canDecode);
			if (checked.isOk) {
				step({kind: 'received', now: monotonicNow(), envelope});
			}

			return checked;
		},
		propose: async payload => submitRequest(request => ({
			kind: 'proposed', now: monotonicNow(), request, payload,
		})),
		async read() {
			const answer = await submitRequest(request => ({kind: 'readRequested', now: monotonicNow(), request}));
			return answer.map(({index}) => index);
		},
		async changeVoters(voterSet) {
			const answer = await submitRequest(request => ({
				kind: 'voterChangeProposed', now: monotonicNow(), request, voterSet,
			}));
			return answer.map(({index}) => index);
		},
		handOver() {
			step({kind: 'handOverRequested', now: monotonicNow()});
		},
		isLeader: () => roleOf(state) === Role.leader,
		leader: () => leaderOf(state)?.name,
		quorumContactAt: now => quorumContactAt(state, now),
		leaderContactAt: () => state.leaderContactAt,
		voterSet: () => voterSetOf(state),
		committed: () => committedIndex(state),
		knownCommitted: () => knownCommittedIndex(state),
		memberPositions: () => memberPositions(state),
		async stop() {
			stopped = true;
			tickTimer.stop();
			for (const pending of proposals.values()) {
				pending(err(unknownOutcome));
			}

			await writing;
			await storage.close();
		},
	};
}
