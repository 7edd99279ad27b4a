/**
 * Monitors the event-loop delay and the resource use of the process. A delay of
 * hundreds of milliseconds explains calls that time out, at the caller or at the
 * callee.
 */
import {monotonicNow} from '@dogwooddeck/clock/monotonic';
import {type Milliseconds} from '@dogwooddeck/model/identifiers';
import {EventName} from './event.js';
import {LineBudget} from './line-budget.js';
import {type Fields, type Log} from './log.js';
import {MeasureName, type Measures, recordDuration} from './measure.js';
import {measureProcess, processorTime} from './process-measures.js';

/** The interval between samples of the event-loop delay. */
const sampleIntervalMilliseconds: Milliseconds = 50;

/** Smaller delays are not logged: calls between instances may take several times as long. */
const minimumLoggedDelayMilliseconds: Milliseconds = 200;
const delayLinesPerSecond = 1;

/** The interval between log lines about the load. */
const reportIntervalMilliseconds: Milliseconds = 5000;

/** A running monitor. */
export type LoadWatch = {readonly stop: () => void};

/** Starts the monitor. `counted` returns additional fields for the log line about the load. */
export function startLoadWatch(log: Log, measures: Measures, additionalFields: () => Fields = () => ({})): LoadWatch {
	const delays = measures.histogram(MeasureName.loopDelay, {});
	const lineBudget = new LineBudget(delayLinesPerSecond);
	let dueAt = monotonicNow() + sampleIntervalMilliseconds;
	let maximumDelay: Milliseconds = 0;
	let reportedAt = monotonicNow();
	let reportedProcessorTime = processorTime();

	function sampleDelay(): void {
		const now = monotonicNow();
		const delay = Math.max(0, now - dueAt);
		dueAt = now + sampleIntervalMilliseconds;
		maximumDelay = Math.max(maximumDelay, delay);
		recordDuration(delays, delay);
		if (delay >= minimumLoggedDelayMilliseconds && lineBudget.take(now)) {
			log.warning(EventName.loopLate, {lateBy: Math.round(delay)});
		}
	}

	function reportLoad(): void {
		const now = monotonicNow();
		const currentProcessorTime = processorTime();
		measureProcess(measures);
		log.event(EventName.instanceLoad, {cores: ((currentProcessorTime - reportedProcessorTime) / (now - reportedAt)).toFixed(3), latestLoop: Math.round(maximumDelay), ...additionalFields()});
		maximumDelay = 0;
		reportedAt = now;
		reportedProcessorTime = currentProcessorTime;
	}

	const sampleTimer = setInterval(sampleDelay, sampleIntervalMilliseconds);
	const reportTimer = setInterval(reportLoad, reportIntervalMilliseconds);
	return {
		stop() {
			clearInterval(sampleTimer);
			clearInterval(reportTimer);
		},
	};
}
