/**
 * Records what data in short pieces takes of the loop.
 */
import {monotonicNow} from '@dogwooddeck/clock/monotonic';
import {type PiecesRecord} from '@dogwooddeck/loop-share/paced-reading';
import {EventName} from '@dogwooddeck/telemetry/event';
import {LineBudget} from '@dogwooddeck/telemetry/line-budget';
import {type Log} from '@dogwooddeck/telemetry/log';
import {MeasureName, type Measures} from '@dogwooddeck/telemetry/measure';

const linesPerSecond = 10;

/** Records the time that pieces take, and the peers that are held: a counter, and log lines that are limited to a number a second. */
export function createPiecesRecord(log: Log, measures: Measures): PiecesRecord {
	const lines = new LineBudget(linesPerSecond);
	const time = measures.counter(MeasureName.piecesTime, {});
	const held = measures.counter(MeasureName.peersHeld, {});
	return {
		onTime(milliseconds) {
			time.value += milliseconds;
		},
		onHeld({address}) {
			held.value += 1;
			if (lines.take(monotonicNow())) {
				log.warning(EventName.peerHeld, {peer: address, held: held.value});
			}
		},
	};
}
