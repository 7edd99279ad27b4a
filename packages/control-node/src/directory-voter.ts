/**
 * The voter of this instance: opens its data folder, exchanges messages with the
 * other voters, and applies the log to the directory. The instance reports the
 * identity of its voter to the leader, which decides who votes.
 */
import {bootstrapCluster} from '@dogwooddeck/consensus/bootstrap';
import {type Role, type SavedState} from '@dogwooddeck/consensus/voter-interface';
import {
	type ConsensusEnvelope, type ConsensusMessage, messageCharacters, type VoterIdentity,
} from '@dogwooddeck/consensus/message';
import {membersOf} from '@dogwooddeck/consensus/voter-set';
import {type DirectoryAccepted, type DirectoryState} from '@dogwooddeck/directory/state';
import {type MeshClients} from '@dogwooddeck/mesh/client';
import {FailureError, type Failure} from '@dogwooddeck/model/failure';
import {type Milliseconds} from '@dogwooddeck/model/identifiers';
import {deliveryTimeout} from '@dogwooddeck/replica/delivery-timeout';
import {type StateHolder} from '@dogwooddeck/replica/state-holder';
import {startVoter, type VoterRunner} from '@dogwooddeck/replica/voter-runner';
import {FolderLocking, openFolder, type OpenFolder} from '@dogwooddeck/storage/folder';
import {type Log} from '@dogwooddeck/telemetry/log';
import {MeasureName, type Measures} from '@dogwooddeck/telemetry/measure';
import {err, ok, type Result} from 'true-myth/result';
import {PiggybackedAnswers} from './piggybacked-answers.js';
import {type ControlSettings} from './settings.js';

/** Holds this process's copy of the directory. */
export type DirectoryHolder = StateHolder<DirectoryState, DirectoryAccepted>;

/** The voter whose log drives the directory. */
export type DirectoryVoter = VoterRunner<DirectoryAccepted> & {
	readonly identity: VoterIdentity;
	/** Delivers a message to this voter and waits briefly for its answer. */
	readonly deliver: (envelope: ConsensusEnvelope) => Promise<Result<{readonly envelope?: ConsensusEnvelope}, Failure>>;
	/** The addresses of all known control instances, including this one. */
	readonly members: () => readonly string[];
};

/** The collaborators and settings of the voter. */
export type VoterDependencies = {
	readonly settings: ControlSettings;
	readonly holder: DirectoryHolder;
	readonly clients: MeshClients;
	readonly log: Log;
	readonly measures: Measures;
	readonly roleChanged: (role: Role) => void;
	/** Called when the durable state can't be written: the process has to exit. */
	readonly failed: (failure: Failure) => void;
};

/** Longer than a round trip between regions (60 ms) plus a delayed turn of the event loop. */
const electionMilliseconds: Milliseconds = 750;
const heartbeatMilliseconds: Milliseconds = 150;

/** The election timeout after the start, short for a restart after the loss of all voters: two round trips between regions, plus a slow start of the others. */
const firstElectionMilliseconds: Milliseconds = 250;

const entriesBeforeSnapshot = 1000;
const seedCount = 2 ** 31;

/** How the recipient treats a message: as a request to answer, as an answer, or as a notification without an answer. */
const MessageRole = {request: 'question', answer: 'answer', notification: 'word'} as const;
type MessageRole = (typeof MessageRole)[keyof typeof MessageRole];

const messageRoles: Readonly<Record<ConsensusMessage['kind'], MessageRole>> = {
	preVoteRequested: MessageRole.request,
	preVoteAnswered: MessageRole.answer,
	voteRequested: MessageRole.request,
	voteAnswered: MessageRole.answer,
	appendRequested: MessageRole.request,
	appendAnswered: MessageRole.answer,
	snapshotSent: MessageRole.request,
	electionInvited: MessageRole.notification,
};

function seedOf(text: string): number {
	return [...text].reduce((sum, character) => ((sum * 31) + character.codePointAt(0)!) % seedCount, Date.now() % seedCount);
}

async function savedState({settings}: VoterDependencies, folder: OpenFolder, isBootstrapSeed: boolean): Promise<SavedState> {
	if (!folder.fresh || !isBootstrapSeed) {
		return folder.saved;
	}

	const bootstrapped = bootstrapCluster(settings.seeds);
	const persisted = await folder.storage.persist({hardState: bootstrapped.hardState, entries: bootstrapped.entries});
	if (persisted.isErr) {
		throw new FailureError(persisted.error);
	}

	return bootstrapped;
}

/** Opens the data folder and starts the voter. Throws a `FailureError` if the folder can't be opened or written. */
export async function startDirectoryVoter(dependencies: VoterDependencies): Promise<DirectoryVoter> {
	const {
		settings, holder, clients, log, measures,
	} = dependencies;

	const piggybackedAnswers = new PiggybackedAnswers();

	async function send(envelope: ConsensusEnvelope): Promise<Result<unknown, Failure>> {
		const {kind} = envelope.message;
		if (messageRoles[kind] === MessageRole.answer && piggybackedAnswers.deliver(envelope)) {
			measures.counter(MeasureName.replicationMessages, {kind, outcome: 'rode'}).value += 1;
			return ok(undefined);
		}

		measures.counter(MeasureName.replicationCharacters, {kind}).value += messageCharacters(envelope.message);
		const sent = await clients.call(envelope.to.name, 'deliver', envelope, deliveryTimeout(envelope.message));
		measures.counter(MeasureName.replicationMessages, {kind, outcome: sent.isOk ? 'taken' : sent.error.kind}).value += 1;
		if (sent.isOk && sent.value.envelope !== undefined) {
			voter.receive(sent.value.envelope);
		}

		return sent;
	}

	const isBootstrapSeed = settings.founding && settings.seeds.includes(settings.address);
	const opened = await openFolder(settings.dataFolder, {found: isBootstrapSeed, locking: FolderLocking.byOthers});
	if (opened.isErr) {
		throw new FailureError(opened.error);
	}

	const folder = opened.value;
	const saved = await savedState(dependencies, folder, isBootstrapSeed);
	if (saved.snapshot !== undefined) {
		holder.restore(saved.snapshot.index, saved.snapshot.data);
	}

	const identity = {name: settings.address, folder: folder.folderIdentity};
	const voter = startVoter({
		options: {
			self: identity,
			electionMilliseconds,
			heartbeatMilliseconds,
			firstElectionMilliseconds,
			startupVoteDelayMilliseconds: 0,
			entriesBeforeSnapshot,
			seed: seedOf(settings.address),
		},
		saved,
		storage: folder.storage,
		holder,
		log,
		send,
		roleChanged: dependencies.roleChanged,
		storageFailed: dependencies.failed,
	});
	return {
		...voter,
		identity,
		async deliver(envelope) {
			if (messageRoles[envelope.message.kind] !== MessageRole.request) {
				return voter.receive(envelope).map(() => ({}));
			}

			const waitingCall = piggybackedAnswers.waitForAnswer(envelope.from.name);
			const received = voter.receive(envelope);
			if (received.isErr) {
				waitingCall.complete();
				return err(received.error);
			}

			const answer = await waitingCall.answer;
			return ok(answer === undefined ? {} : {envelope: answer});
		},
		members: () => [...new Set([...membersOf(voter.voterSet()).map(({name}) => name), settings.address])],
	};
}
