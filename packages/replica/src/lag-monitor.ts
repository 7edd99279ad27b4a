/**
 * Logs when a copy of the replicated state falls behind and when it has caught up,
 * once each time.
 */
import {type LogIndex, type Milliseconds, type MonotonicTime} from '@dogwooddeck/model/identifiers';
import {EventName} from '@dogwooddeck/telemetry/event';
import {type Fields, type Log} from '@dogwooddeck/telemetry/log';
import {type Lag, lagMilliseconds, updateLag} from './lag.js';

/** A copy is reported as lagging after this long: several heartbeats and a round trip between regions. */
export const lagReportThresholdMilliseconds: Milliseconds = 1000;

/** Monitors the replica lag of one copy. Mutable. */
export class LagMonitor {
	readonly #log: Log;
	readonly #fields: Fields;
	#lag: Lag | undefined;
	#isReported = false;

	/** `fields` identify the copy in the log events. */
	constructor(log: Log, fields: Fields = {}) {
		this.#log = log;
		this.#fields = fields;
	}

	/** Records the applied and committed indexes; returns for how long the copy has been lagging. */
	record(applied: LogIndex, committed: LogIndex, now: MonotonicTime): Milliseconds {
		const behindFor = lagMilliseconds(this.#lag, now);
		this.#lag = updateLag(this.#lag, {applied, committed}, now);
		const milliseconds = lagMilliseconds(this.#lag, now);
		const fields = {...this.#fields, applied, committed};
		if (milliseconds >= lagReportThresholdMilliseconds && !this.#isReported) {
			this.#isReported = true;
			this.#log.warning(EventName.replicaBehind, {...fields, behindFor: Math.round(milliseconds)});
		} else if (milliseconds < lagReportThresholdMilliseconds && this.#isReported) {
			this.#isReported = false;
			this.#log.event(EventName.replicaCaughtUp, {...fields, behindFor: Math.round(behindFor)});
		}

		return milliseconds;
	}
}
