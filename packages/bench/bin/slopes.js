#!/usr/bin/env node
/**
 * Measures on this machine what control decisions cost as slots, upstreams,
 * instances and services grow, and prints each figure and its slope.
 */
import process from 'node:process';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {measureSlotMemory, slotMemorySizes} from '@dogwooddeck/bench/slot-memory';
import {
	baseSize, directions, measureDirection, slopeOf,
} from '@dogwooddeck/bench/slopes';

function processorMicroseconds() {
	const {user, system} = process.cpuUsage();
	return user + system;
}

console.log(`Base: ${JSON.stringify(baseSize)}; one call; processor time`);
for (const direction of Object.keys(directions)) {
	const costs = measureDirection(direction, processorMicroseconds);
	for (const decision of new Set(costs.map(cost => cost.decision))) {
		const mine = costs.filter(cost => cost.decision === decision);
		const figures = mine.map(({size, microseconds, stateBytes}) => `${size[direction]}: ${microseconds.toFixed(0)} us, ${stateBytes} B`).join('; ');
		const time = slopeOf(mine.map(({size, microseconds}) => [size[direction], microseconds]));
		const bytes = slopeOf(mine.map(({size, stateBytes}) => [size[direction], stateBytes]));
		console.log(`${direction} | ${decision} | ${figures} | slope ${time.toFixed(3)} us and ${bytes.toFixed(1)} B for one more`);
	}
}

setFlagsFromString('--expose-gc');
const collect = runInNewContext('gc');

function heapAfterCollection() {
	collect();
	return process.memoryUsage().heapUsed;
}

console.log('Memory of the control state; one entry grants all slots of a service with 4 upstreams');
for (const size of slotMemorySizes) {
	const {slots, heapBytes, entryCharacters, snapshotCharacters} = measureSlotMemory(size, heapAfterCollection);
	const each = [heapBytes, entryCharacters, snapshotCharacters].map(figure => (figure / slots).toFixed(1));
	console.log(`${slots} slots | heap ${each[0]} B a slot | the entry ${each[1]} B a slot | a snapshot ${each[2]} B a slot`);
}
