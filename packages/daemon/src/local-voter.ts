/**
 * Starts this instance's voter: opens its data folder, sends its messages to the
 * other voters, and requests to join while the voter set doesn't list its folder.
 */
import {type ConsensusEnvelope} from '@dogwooddeck/consensus/message';
import {includesVoter} from '@dogwooddeck/consensus/voter-set';
import {failure, FailureKind, type Failure} from '@dogwooddeck/model/failure';
import {type InstanceIdentity, type Milliseconds} from '@dogwooddeck/model/identifiers';
import {openFolder} from '@dogwooddeck/storage/folder';
import {type Log} from '@dogwooddeck/telemetry/log';
import {type PeerClients} from '@dogwooddeck/wire/client';
import {deliveryTimeout} from '@dogwooddeck/replica/delivery-timeout';
import {startVoter} from '@dogwooddeck/replica/voter-runner';
import {err, type Result} from 'true-myth/result';
import {type ControlVoter} from './control-voter.js';
import {type ControlHolder} from './control-holder.js';
import {type ControlRunner} from './control-runner.js';
import {type InstanceSettings} from './settings.js';
import {unwrapOrThrow} from './unwrap-or-throw.js';

/** Collaborators of the voter. */
export type LocalVoterDependencies = {
	readonly settings: InstanceSettings;
	readonly self: InstanceIdentity;
	readonly holder: ControlHolder;
	readonly control: ControlRunner;
	readonly clients: PeerClients;
	readonly log: Log;
	/** Called when the durable state can't be written; the process has to exit. */
	readonly storageFailed: (failure: Failure) => void;
};

const electionMilliseconds: Milliseconds = 800;
const heartbeatMilliseconds: Milliseconds = 80;
const joinRetryMilliseconds: Milliseconds = 300;
const entriesBeforeSnapshot = 1000;
const seedLimit = 2 ** 31;

function createSend({settings, clients}: LocalVoterDependencies): (envelope: ConsensusEnvelope) => Promise<Result<unknown, Failure>> {
	const addresses = new Map(settings.control.voters.map(({name, peerAddress}) => [name, peerAddress]));
	return async envelope => {
		const {name} = envelope.to;
		const address = addresses.get(name);
		return address === undefined
			? err(failure(FailureKind.notFound, `the settings list no address for the voter ${name}`))
			: clients.call(address, 'deliver', envelope, deliveryTimeout(envelope.message));
	};
}

/**
 * Opens the data folder, restores its snapshot and starts the voter on its log.
 * Throws a `FailureError` if the folder is locked by another process, damaged
 * or unreadable.
 */
export async function startLocalVoter(dependencies: LocalVoterDependencies): Promise<ControlVoter> {
	const {settings, self, holder, control, log, storageFailed} = dependencies;
	const folder = unwrapOrThrow(await openFolder(settings.control.dataFolder!));
	if (folder.saved.snapshot !== undefined) {
		unwrapOrThrow(holder.restore(folder.saved.snapshot.index, folder.saved.snapshot.data));
	}

	const identity = {name: settings.name, folder: folder.folderIdentity};
	const voter = startVoter({
		options: {
			self: identity, electionMilliseconds, heartbeatMilliseconds, entriesBeforeSnapshot, seed: self.incarnation % seedLimit,
		},
		saved: folder.saved,
		storage: folder.storage,
		holder,
		log,
		send: createSend(dependencies),
		roleChanged() {
			control.roleChanged();
		},
		storageFailed,
	});
	const joinTimer = setInterval(() => {
		if (!includesVoter(voter.voterSet().voters, identity)) {
			void control.callLeader('joinVoters', identity);
		}
	}, joinRetryMilliseconds);
	return {
		...voter,
		async stop() {
			clearInterval(joinTimer);
			await voter.stop();
		},
	};
}
