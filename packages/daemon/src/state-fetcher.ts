/**
 * Fetches the control state that this instance has not applied yet from another
 * instance.
 */
import {type PeerClients} from '@dogwooddeck/wire/client';
import {type ControlHolder} from './control-holder.js';
import {peerTimeoutMilliseconds} from './zone-dependencies.js';

/** Runs one fetch at a time. */
export type StateFetcher = {
	/** Fetches from the instance at an address. Does nothing while another fetch is running, or without an address. */
	readonly fetchFrom: (address: string | undefined) => Promise<void>;
};

/** Creates a fetcher that applies what it fetches to a holder. */
export function createStateFetcher(holder: ControlHolder, clients: PeerClients): StateFetcher {
	let fetching = false;
	return {
		async fetchFrom(address) {
			if (address === undefined || fetching) {
				return;
			}

			fetching = true;
			const answer = await clients.call(address, 'fetchState', holder.state().applied, peerTimeoutMilliseconds);
			fetching = false;
			if (answer.isOk) {
				holder.catchUp(answer.value);
			}
		},
	};
}
