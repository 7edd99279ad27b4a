/**
 * Fetches what this instance has not applied yet from another one.
 */
import {type PeerClients} from '@dogwooddeck/wire/client';
import {type ControlHolder} from './control-holder.js';
import {peerMilliseconds} from './zone-surroundings.js';

/** Fetches one state at a time. */
export type StateFetcher = {
	/** Fetches from the instance at an address. Nothing is done while another fetch lasts. */
	readonly fetchFrom: (address: string | undefined) => Promise<void>;
};

/** Makes a fetcher that brings a holder up to date. */
export function createStateFetcher(holder: ControlHolder, clients: PeerClients): StateFetcher {
	let fetching = false;
	return {
		async fetchFrom(address) {
			if (address === undefined || fetching) {
				return;
			}

			fetching = true;
			const answer = await clients.call(address, 'fetchState', holder.state().applied, peerMilliseconds);
			fetching = false;
			if (answer.isOk) {
				holder.catchUp(answer.value);
			}
		},
	};
}
