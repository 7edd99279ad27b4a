#!/usr/bin/env node
/**
 * Measures on this machine what control decisions cost as slots, upstreams,
 * instances and services grow, and prints each figure and its slope.
 */
import process from 'node:process';
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
