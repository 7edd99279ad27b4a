/**
 * Passes on the notice that there is something new to fetch: a steward to the
 * members of its zone, and an instance that gets one fetches.
 */
import {type InstanceName, type LogIndex} from '@dogwooddeck/model/identifiers';
import {seatedInstances} from '@dogwooddeck/ownership/table';
import {type StateFetcher} from './state-fetcher.js';
import {type StewardRunner} from './steward-runner.js';
import {peerMilliseconds, type ZoneSurroundings} from './zone-surroundings.js';
import {type ZoneView} from './zone-view.js';

/** Takes and passes on notices. */
export type ZoneNotices = {
	/** This instance has applied this much: a steward tells its zone. */
	readonly send: (applied: LogIndex) => void;
	/** Another instance has applied this much. */
	readonly take: (applied: LogIndex) => void;
};

/** What notices need beside the surroundings. */
export type NoticeParts = {
	readonly zone: ZoneView;
	readonly steward: StewardRunner;
	readonly fetcher: StateFetcher;
};

/** Starts with nobody told. */
export function createZoneNotices({holder, control, clients}: ZoneSurroundings, {zone, steward, fetcher}: NoticeParts): ZoneNotices {
	const told = new Map<InstanceName, LogIndex>();

	function leaderAddress(): string | undefined {
		const leader = control.leader();
		return seatedInstances(holder.state().ownership).find(({name}) => name === leader)?.peerAddress;
	}

	return {
		send(applied) {
			const behind = steward.isSteward() ? zone.others().filter(({name}) => (told.get(name) ?? 0) < applied) : [];
			for (const {name, peerAddress} of behind) {
				told.set(name, applied);
				void clients.call(peerAddress, 'notify', applied, peerMilliseconds);
			}
		},
		take(applied) {
			if (applied > holder.state().applied) {
				void fetcher.fetchFrom(steward.isSteward() ? leaderAddress() : zone.steward()?.peerAddress);
			}
		},
	};
}
