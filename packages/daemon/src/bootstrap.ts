/**
 * Bootstraps a deployment. An operator does it explicitly, once, on one voter;
 * the other voters join that one.
 */
import {hashToken} from '@dogwooddeck/configuration/authority';
import {wallNow} from '@dogwooddeck/clock/monotonic';
import {encodeCommands} from '@dogwooddeck/control/command';
import {failure, type Failure, FailureKind} from '@dogwooddeck/model/failure';
import {type Milliseconds} from '@dogwooddeck/model/identifiers';
import {openFolder, type Storage} from '@dogwooddeck/storage/folder';
import {createPeerClients, type PeerClients} from '@dogwooddeck/wire/client';
import {err, ok, type Result} from 'true-myth/result';
import {type InstanceSettings, isVoter} from './settings.js';

const probeTimeoutMilliseconds: Milliseconds = 1000;
const bootstrapTerm = 1;

async function belongsToDeployment(clients: PeerClients, address: string): Promise<boolean> {
	const answer = await clients.call(address, 'fetchState', 0, probeTimeoutMilliseconds);
	return answer.isOk && (answer.value.entries.length > 0 || answer.value.state !== undefined);
}

async function rejectSecondBootstrap(settings: InstanceSettings): Promise<Result<undefined, Failure>> {
	const clients = createPeerClients(settings.keys.peer);
	const others = settings.control.voters.filter(({name}) => name !== settings.name);
	const belonging = await Promise.all(others.map(async ({peerAddress}) => belongsToDeployment(clients, peerAddress)));
	clients.close();
	const index = belonging.indexOf(true);
	return index === -1
		? ok(undefined)
		: err(failure(FailureKind.conflict, `${others[index]!.name} already belongs to a deployment; run this instance without the found command, and it joins`));
}

async function writeInitialEntries(storage: Storage, settings: InstanceSettings, folder: string, operatorToken: string): Promise<Result<undefined, Failure>> {
	const bootstrapCommand = {
		kind: 'founded' as const, operation: `found-${settings.name}-${folder}`.slice(0, 64), operatorTokenHash: hashToken(operatorToken), at: wallNow(),
	};
	const persisted = await storage.persist({
		hardState: {term: bootstrapTerm},
		entries: [
			{index: 1, term: bootstrapTerm, body: {kind: 'votersChanged', voterSet: {voters: [{name: settings.name, folder}], learners: []}}},
			{index: 2, term: bootstrapTerm, body: {kind: 'command', payload: encodeCommands([bootstrapCommand])}},
		],
	});
	await storage.close();
	return persisted;
}

/**
 * Bootstraps a deployment in an instance's empty data folder. The holder of the
 * operators' token has every right in it. Fails with `conflict` if the folder
 * or another voter already belongs to a deployment, and with `settingsInvalid`
 * if the instance isn't listed as a voter.
 */
export async function bootstrap(settings: InstanceSettings, operatorToken: string): Promise<Result<undefined, Failure>> {
	const {dataFolder} = settings.control;
	if (!isVoter(settings) || dataFolder === undefined) {
		return err(failure(FailureKind.settingsInvalid, `${settings.name} is not listed as a voter, so it can't bootstrap a deployment`));
	}

	const checked = await rejectSecondBootstrap(settings);
	if (checked.isErr) {
		return checked;
	}

	const opened = await openFolder(dataFolder);
	if (opened.isErr) {
		return err(opened.error);
	}

	const {storage, fresh, folderIdentity} = opened.value;
	if (!fresh) {
		await storage.close();
		return err(failure(FailureKind.conflict, `${dataFolder} already holds a deployment`));
	}

	return writeInitialEntries(storage, settings, folderIdentity, operatorToken);
}
