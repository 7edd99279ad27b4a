/**
 * Forwards notifications of new log entries: a steward sends them to the members
 * of its zone, and an instance that receives one fetches the entries.
 */
import {type InstanceName, type LogIndex} from '@dogwooddeck/model/identifiers';
import {seatedInstances} from '@dogwooddeck/ownership/table';
import {type StateFetcher} from './state-fetcher.js';
import {type StewardRunner} from './steward-runner.js';
import {peerTimeoutMilliseconds, type ZoneDependencies} from './zone-dependencies.js';
import {type ZoneView} from './zone-view.js';

/** Sends and receives notifications. */
export type ZoneNotices = {
	/** Notifies the zone's other members of this instance's applied index, if it is the steward. */
	readonly send: (applied: LogIndex) => void;
	/** Called with another instance's applied index. Fetches if this one is behind. */
	readonly receive: (applied: LogIndex) => void;
};

/** Collaborators beside the shared ones of the zone. */
export type ZoneNoticesDependencies = {
	readonly zone: ZoneView;
	readonly steward: StewardRunner;
	readonly fetcher: StateFetcher;
};

/** Creates the notifications of an instance that has sent none yet. */
export function createZoneNotices({holder, control, clients}: ZoneDependencies, {zone, steward, fetcher}: ZoneNoticesDependencies): ZoneNotices {
	const notifiedIndexes = new Map<InstanceName, LogIndex>();

	function leaderAddress(): string | undefined {
		const leader = control.leader();
		return seatedInstances(holder.state().ownership).find(({name}) => name === leader)?.peerAddress;
	}

	return {
		send(applied) {
			const behind = steward.isSteward() ? zone.others().filter(({name}) => (notifiedIndexes.get(name) ?? 0) < applied) : [];
			for (const {name, peerAddress} of behind) {
				notifiedIndexes.set(name, applied);
				void clients.call(peerAddress, 'notify', applied, peerTimeoutMilliseconds);
			}
		},
		receive(applied) {
			if (applied > holder.state().applied) {
				void fetcher.fetchFrom(steward.isSteward() ? leaderAddress() : zone.steward()?.peerAddress);
			}
		},
	};
}
