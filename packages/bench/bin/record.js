#!/usr/bin/env node
/**
 * Writes the traces of a seed with the outcomes of our policy. Run it on
 * purpose only: the tests compare replays with these outcomes.
 */
import {writeFileSync} from 'node:fs';
import {parseArgs} from 'node:util';
import {createSlotHash} from '@dogwooddeck/placement/hash';
import {makeTraces} from '@dogwooddeck/bench/generator';
import {createPolicies} from '@dogwooddeck/bench/policies';
import {replayTrace, toOutcome} from '@dogwooddeck/bench/table';

const {values} = parseArgs({options: {seed: {type: 'string', default: '1'}}});
const hash = await createSlotHash();
for (const trace of makeTraces(Number(values.seed))) {
	const outcome = toOutcome(replayTrace(trace, createPolicies(hash).ours, hash));
	writeFileSync(new URL(`../traces/${trace.name}.json`, import.meta.url), `${JSON.stringify({...trace, outcome}, null, '\t')}\n`);
	console.log(trace.name, JSON.stringify(outcome));
}
