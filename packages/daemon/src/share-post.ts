/**
 * Keeps the shares of limits that control gave until their holders ask again.
 */
import {type InstanceIdentity, incarnationKey} from '@dogwooddeck/model/identifiers';
import {type LimitShare} from '@dogwooddeck/model/share';

/** Shares on their way to instances. */
export type SharePost = {
	/** Keeps shares, each for its holder. */
	readonly put: (shares: readonly LimitShare[]) => void;
	/** Gives out what waits for an instance. */
	readonly take: (instance: InstanceIdentity) => readonly LimitShare[];
};

/** The shares that wait for an instance's next request; the oldest are dropped. */
const sharesAtMost = 4096;

/** Makes an empty post. */
export function createSharePost(): SharePost {
	const waitingShares = new Map<string, readonly LimitShare[]>();
	return {
		put(shares) {
			for (const share of shares) {
				const waiting = waitingShares.get(share.holder) ?? [];
				waitingShares.set(share.holder, [...waiting, share].slice(-sharesAtMost));
			}
		},
		take(instance) {
			const holder = incarnationKey(instance);
			const shares = waitingShares.get(holder) ?? [];
			waitingShares.delete(holder);
			return shares;
		},
	};
}
