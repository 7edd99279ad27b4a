/**
 * Records which instances recently requested a lease from a steward.
 */
import {
	type InstanceIdentity, type InstanceName, type Milliseconds, type MonotonicTime,
} from '@dogwooddeck/model/identifiers';

/** The instances that recently requested a lease. */
export type RecentHolders = {
	/** Records that an instance requested a lease. */
	readonly record: (instance: InstanceIdentity, now: MonotonicTime) => void;
	readonly list: (now: MonotonicTime) => readonly InstanceIdentity[];
};

/** How long an instance is listed after its request. */
const holderMilliseconds: Milliseconds = 2000;

/** Creates an empty record. */
export function createRecentHolders(): RecentHolders {
	const requests = new Map<InstanceName, {readonly instance: InstanceIdentity; readonly at: MonotonicTime}>();
	return {
		record(instance, now) {
			requests.set(instance.name, {instance, at: now});
		},
		list(now) {
			const recent = [...requests.values()].filter(({at}) => now - at < holderMilliseconds);
			return recent.map(({instance}) => ({name: instance.name, incarnation: instance.incarnation}));
		},
	};
}
