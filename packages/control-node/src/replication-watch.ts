/**
 * Watches how far the copies of the directory are: this instance's own, and on
 * the leader those of the other voters and learners.
 */
import {monotonicNow} from '@dogwooddeck/clock/monotonic';
import {type VoterIdentity} from '@dogwooddeck/consensus/message';
import {type Milliseconds} from '@dogwooddeck/model/identifiers';
import {LagMonitor} from '@dogwooddeck/replica/lag-monitor';
import {type Log} from '@dogwooddeck/telemetry/log';
import {MeasureName, type Measures} from '@dogwooddeck/telemetry/measure';
import {type DirectoryHolder, type DirectoryVoter} from './directory-voter.js';

/** How often the copies are looked at. */
const watchMilliseconds: Milliseconds = 200;

/** What is watched. */
export type ReplicationWatchParts = {
	readonly holder: DirectoryHolder;
	readonly voter: DirectoryVoter;
	readonly log: Log;
	readonly measures: Measures;
};

function nameOf({name, folder}: VoterIdentity): string {
	return `${name} ${folder}`;
}

/** A watch that runs. */
export type ReplicationWatch = {
	/** For how long this instance's copy has lacked something that is known to be committed. */
	readonly ownLag: () => Milliseconds;
	readonly stop: () => void;
};

/** Starts to watch. */
export function startReplicationWatch({holder, voter, log, measures}: ReplicationWatchParts): ReplicationWatch {
	const own = new LagMonitor(log);
	let members = new Map<string, LagMonitor>();

	function ownLag(): Milliseconds {
		return own.record(holder.state().applied, voter.knownCommitted(), monotonicNow());
	}

	function watch(): void {
		const now = monotonicNow();
		const committed = voter.knownCommitted();
		ownLag();
		measures.set(MeasureName.applied, holder.state().applied);
		measures.set(MeasureName.committed, committed);
		const positions = voter.memberPositions();
		members = new Map(positions.map(({member}) => [nameOf(member), members.get(nameOf(member)) ?? new LagMonitor(log, {member: member.name})]));
		for (const {member, index} of positions) {
			members.get(nameOf(member))!.record(index, committed, now);
		}
	}

	const watching = setInterval(watch, watchMilliseconds);
	return {
		ownLag,
		stop() {
			clearInterval(watching);
		},
	};
}
