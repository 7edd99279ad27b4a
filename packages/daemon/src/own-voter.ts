/**
 * This instance's voter: its data folder, its way to the other voters, and its
 * joining for as long as the voter set doesn't name its folder.
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

/** What the voter works with. */
export type OwnVoterSurroundings = {
	readonly settings: InstanceSettings;
	readonly self: InstanceIdentity;
	readonly holder: ControlHolder;
	readonly control: ControlRunner;
	readonly clients: PeerClients;
	readonly log: Log;
	/** The durable state can't be written: the process has to end. */
	readonly failed: (failure: Failure) => void;
};

const electionMilliseconds: Milliseconds = 800;
const heartbeatMilliseconds: Milliseconds = 80;
const joinMilliseconds: Milliseconds = 300;
const entriesBeforeSnapshot = 1000;
const seeds = 2 ** 31;

function createSend({settings, clients}: OwnVoterSurroundings): (envelope: ConsensusEnvelope) => Promise<Result<unknown, Failure>> {
	const addresses = new Map(settings.control.voters.map(({name, peerAddress}) => [name, peerAddress]));
	return async envelope => {
		const {name} = envelope.to;
		const address = addresses.get(name);
		return address === undefined
			? err(failure(FailureKind.notFound, `the settings give no address of the voter ${name}`))
			: clients.call(address, 'deliver', envelope, deliveryTimeout(envelope.message));
	};
}

/**
 * Opens the data folder and starts the voter with what it holds. Throws a
 * `FailureError` where the folder is held by another process, damaged or not
 * to be read.
 */
export async function startOwnVoter(surroundings: OwnVoterSurroundings): Promise<ControlVoter> {
	const {settings, self, holder, control, log, failed} = surroundings;
	const folder = unwrapOrThrow(await openFolder(settings.control.dataFolder!));
	if (folder.saved.snapshot !== undefined) {
		unwrapOrThrow(holder.restore(folder.saved.snapshot.index, folder.saved.snapshot.data));
	}

	const identity = {name: settings.name, folder: folder.folderIdentity};
	const voter = startVoter({
		options: {
			self: identity, electionMilliseconds, heartbeatMilliseconds, entriesBeforeSnapshot, seed: self.incarnation % seeds,
		},
		saved: folder.saved,
		storage: folder.storage,
		holder,
		log,
		send: createSend(surroundings),
		roleChanged() {
			control.roleChanged();
		},
		storageFailed: failed,
	});
	const joining = setInterval(() => {
		if (!includesVoter(voter.voterSet().voters, identity)) {
			void control.callLeader('joinVoters', identity);
		}
	}, joinMilliseconds);
	return {
		...voter,
		async stop() {
			clearInterval(joining);
			await voter.stop();
		},
	};
}
