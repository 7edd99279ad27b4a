/**
 * Remembers which instances asked a steward for a lease of late.
 */
import {
	type InstanceIdentity, type InstanceName, type Milliseconds, type MonotonicTime,
} from '@dogwooddeck/model/identifiers';

/** The instances that asked of late. */
export type RecentHolders = {
	/** An instance asked for a lease. */
	readonly note: (instance: InstanceIdentity, now: MonotonicTime) => void;
	readonly list: (now: MonotonicTime) => readonly InstanceIdentity[];
};

/** How long after its request an instance is listed. */
const holderMilliseconds: Milliseconds = 2000;

/** Starts with none. */
export function createRecentHolders(): RecentHolders {
	const askers = new Map<InstanceName, {readonly instance: InstanceIdentity; readonly at: MonotonicTime}>();
	return {
		note(instance, now) {
			askers.set(instance.name, {instance, at: now});
		},
		list(now) {
			const recent = [...askers.values()].filter(({at}) => now - at < holderMilliseconds);
			return recent.map(({instance}) => ({name: instance.name, incarnation: instance.incarnation}));
		},
	};
}
