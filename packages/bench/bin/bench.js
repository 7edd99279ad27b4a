#!/usr/bin/env node
/**
 * Prints the figures of all policies on the committed traces, or with
 * `--seed N` on traces made anew from that seed.
 */
import {readdirSync, readFileSync} from 'node:fs';
import {parseArgs} from 'node:util';
import {makeTraces} from '@dogwooddeck/bench/generator';
import {compare, compareCuts, formatTable} from '@dogwooddeck/bench/table';

const folder = new URL('../traces/', import.meta.url);
const {values} = parseArgs({options: {seed: {type: 'string'}, policy: {type: 'string', multiple: true}}});

function recordedTraces() {
	return readdirSync(folder).filter(file => file.endsWith('.json')).sort().map(file => JSON.parse(readFileSync(new URL(file, folder), 'utf8')));
}

const traces = values.seed === undefined ? recordedTraces() : makeTraces(Number(values.seed));
console.log(`Policies on ${traces.length} traces, seed ${traces[0].seed}`);
console.log(formatTable(await compare(traces, values.policy)));
console.log('\nOur policy in the traces with cuts: hold and take-over');
console.log(formatTable(await compareCuts(traces)));
