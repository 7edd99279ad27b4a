import assert from 'node:assert/strict';
import {readdirSync, readFileSync} from 'node:fs';
import {test} from 'node:test';
import {createSlotHash} from '@dogwooddeck/placement/hash';
import {makeTraces} from '@dogwooddeck/bench/generator';
import {createPolicies} from '@dogwooddeck/bench/policies';
import {replayTrace, toOutcome} from '@dogwooddeck/bench/table';
import {type Trace} from '@dogwooddeck/bench/trace';

const folder = new URL('../../traces/', import.meta.url);
const hash = await createSlotHash();
const largestTraceBytes = 200_000;

const texts = readdirSync(folder).filter(file => file.endsWith('.json')).sort().map(file => readFileSync(new URL(file, folder), 'utf8'));
const traces = texts.map(text => JSON.parse(text) as Trace);

test('each trace is small', () => {
	assert.equal(traces.length, 14);
	assert.ok(texts.every(text => text.length < largestTraceBytes));
});

test('the recorded traces are those of their seed', () => {
	const made = new Map(makeTraces(traces[0]!.seed).map(trace => [trace.name, trace]));
	for (const {outcome: _outcome, ...trace} of traces) {
		assert.deepEqual(trace, structuredClone(made.get(trace.name)));
	}
});

for (const trace of traces) {
	test(`the replay of ${trace.name} gives the stated outcome`, () => {
		assert.deepEqual(toOutcome(replayTrace(trace, createPolicies(hash).ours, hash)), trace.outcome);
	});
}
