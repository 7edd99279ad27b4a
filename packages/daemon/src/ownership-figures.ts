/**
 * Computes the ownership figures of all services for the burn report from the changes
 * of their ownership tables.
 */
import {
	createFollowed, figuresOf, follow, type Followed, type SilenceOf,
} from '@dogwooddeck/burn/following';
import {type OwnershipFigures} from '@dogwooddeck/burn/report';
import {monotonicNow} from '@dogwooddeck/clock/monotonic';
import {upstreamOf} from '@dogwooddeck/membership/registry';
import {type ServiceAssignments} from '@dogwooddeck/model/assignment';
import {type ServiceName} from '@dogwooddeck/model/identifiers';
import {type ControlHolder} from './control-holder.js';

/** Tracks the figures of all services since this process started. */
export type OwnershipFiguresTracker = {
	readonly list: () => readonly OwnershipFigures[];
};

/** Starts to track the tables. */
export function createOwnershipFiguresTracker(holder: ControlHolder): OwnershipFiguresTracker {
	const tracked = new Map<ServiceName, {readonly table: ServiceAssignments; readonly state: Followed}>();

	holder.listen(({ownership, membership}) => {
		const timeWithoutContactOf: SilenceOf = owner => upstreamOf(membership, owner)?.silentMilliseconds ?? 0;
		for (const table of Object.values(ownership.services)) {
			const previous = tracked.get(table.service);
			if (previous?.table !== table) {
				const slots = ownership.policies[table.service]?.slots ?? table.assignments.length;
				const state = follow(previous?.state ?? createFollowed(table.service), {table, slots, silenceOf: timeWithoutContactOf}, monotonicNow());
				tracked.set(table.service, {table, state});
			}
		}
	});

	return {
		list: () => [...tracked.values()].map(({state}) => figuresOf(state, monotonicNow())),
	};
}
