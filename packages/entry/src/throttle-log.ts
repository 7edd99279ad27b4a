/**
 * Records what data in short pieces takes of the loop.
 */
import {monotonicNow} from '@dogwooddeck/clock/monotonic';
import {type ThrottleLog} from '@dogwooddeck/loop-share/read-throttle';
import {EventName} from '@dogwooddeck/telemetry/event';
import {LineBudget} from '@dogwooddeck/telemetry/line-budget';
import {type Log} from '@dogwooddeck/telemetry/log';
import {MeasureName, type Measures} from '@dogwooddeck/telemetry/measure';

const linesPerSecond = 10;

/** Records the time that pieces take, and the peers that are throttled: a counter, and log lines that are limited to a number a second. */
export function createThrottleLog(log: Log, measures: Measures): ThrottleLog {
	const lines = new LineBudget(linesPerSecond);
	const time = measures.counter(MeasureName.piecesTime, {});
	const throttled = measures.counter(MeasureName.peersThrottled, {});
	return {
		onPieces(milliseconds) {
			time.value = milliseconds;
		},
		onThrottled({address}) {
			throttled.value += 1;
			if (lines.take(monotonicNow())) {
				log.warning(EventName.peerThrottled, {peer: address, times: throttled.value});
			}
		},
	};
}
