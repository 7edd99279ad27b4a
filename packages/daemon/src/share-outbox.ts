/**
 * Queues the shares of limits that control granted until their holders send the next
 * request.
 */
import {type InstanceIdentity, incarnationKey} from '@dogwooddeck/model/identifiers';
import {type LimitShare} from '@dogwooddeck/model/share';

/** The queued shares of all holders. */
export type ShareOutbox = {
	/** Queues each share for its holder. */
	readonly enqueue: (shares: readonly LimitShare[]) => void;
	/** Removes and returns the shares that are queued for an instance. */
	readonly take: (instance: InstanceIdentity) => readonly LimitShare[];
};

/** The maximum number of shares that are queued for an instance; the oldest are dropped. */
const maximumSharesPerHolder = 4096;

/** Creates an empty outbox. */
export function createShareOutbox(): ShareOutbox {
	const sharesByHolder = new Map<string, readonly LimitShare[]>();
	return {
		enqueue(shares) {
			for (const share of shares) {
				const queued = sharesByHolder.get(share.holder) ?? [];
				sharesByHolder.set(share.holder, [...queued, share].slice(-maximumSharesPerHolder));
			}
		},
		take(instance) {
			const holder = incarnationKey(instance);
			const shares = sharesByHolder.get(holder) ?? [];
			sharesByHolder.delete(holder);
			return shares;
		},
	};
}
