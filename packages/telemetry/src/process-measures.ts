/**
 * The processor time and memory use of the process.
 */
import process from 'node:process';
import {type Milliseconds} from '@dogwooddeck/model/identifiers';
import {MeasureName, type Measures} from './measure.js';

const microsecondsInMillisecond = 1000;

/** Returns the user and system processor time that the process has used. */
export function processorTime(): Milliseconds {
	const {user, system} = process.cpuUsage();
	return (user + system) / microsecondsInMillisecond;
}

/** Updates the gauges of memory and processor time. */
export function measureProcess(measures: Measures): void {
	measures.set(MeasureName.memory, process.memoryUsage.rss());
	measures.set(MeasureName.processor, processorTime());
}
