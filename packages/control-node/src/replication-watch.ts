/**
 * Monitors the replica lag of the directory: that of this instance and, on the
 * leader, of the other voters and learners.
 */
import {monotonicNow} from '@dogwooddeck/clock/monotonic';
import {keyOfVoter} from '@dogwooddeck/consensus/voter-set';
import {type Milliseconds} from '@dogwooddeck/model/identifiers';
import {LagMonitor} from '@dogwooddeck/replica/lag-monitor';
import {type Log} from '@dogwooddeck/telemetry/log';
import {MeasureName, type Measures} from '@dogwooddeck/telemetry/measure';
import {type DirectoryHolder, type DirectoryVoter} from './directory-voter.js';

/** Interval of the lag checks. */
const watchMilliseconds: Milliseconds = 200;

/** The collaborators of the replication watch. */
export type ReplicationWatchDependencies = {
	readonly holder: DirectoryHolder;
	readonly voter: DirectoryVoter;
	readonly log: Log;
	readonly measures: Measures;
};

/** A running watch. */
export type ReplicationWatch = {
	/** How long this instance's replica has lacked an entry that is known to be committed. */
	readonly ownLag: () => Milliseconds;
	readonly stop: () => void;
};

/** Starts the watch. */
export function startReplicationWatch({holder, voter, log, measures}: ReplicationWatchDependencies): ReplicationWatch {
	const ownWatch = new LagMonitor(log);
	let memberWatches = new Map<string, LagMonitor>();

	function ownLag(): Milliseconds {
		return ownWatch.record(holder.state().applied, voter.knownCommitted(), monotonicNow());
	}

	function watch(): void {
		const now = monotonicNow();
		const committed = voter.knownCommitted();
		ownLag();
		measures.set(MeasureName.applied, holder.state().applied);
		measures.set(MeasureName.committed, committed);
		const positions = voter.memberPositions();
		memberWatches = new Map(positions.map(({member}) => [keyOfVoter(member), memberWatches.get(keyOfVoter(member)) ?? new LagMonitor(log, {member: member.name})]));
		for (const {member, index} of positions) {
			memberWatches.get(keyOfVoter(member))!.record(index, committed, now);
		}
	}

	const watchTimer = setInterval(watch, watchMilliseconds);
	return {
		ownLag,
		stop() {
			clearInterval(watchTimer);
		},
	};
}
