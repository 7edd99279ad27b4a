import assert from 'node:assert/strict';
import {env} from 'node:process';
import {test} from 'node:test';
import {type Objective} from '@dogwooddeck/model/contract';
import * as fc from 'fast-check';
import {
	decodeInterval, decodeJournal, encodeInterval, encodeJournal,
} from '../src/encoding.js';
import {
	completionStatusOf, classifyRequest, type CompletedRequest, type CompletionStatus, type RequestClass,
} from '../src/judgement.js';
import {BurnRecorder} from '../src/recorder.js';
import {reportPage} from '../src/report-page.js';
import {reportLines} from '../src/report-text.js';
import {checkInput, makeReport, type BurnInput} from '../src/report.js';
import {
	countsOf, foldIntervals, intervalMilliseconds, keptMilliseconds, mergeIntervals, type BurnInterval,
} from '../src/window.js';

const seed = Number(env.DOGWOODDECK_SEED ?? 20_261_204);
const service = 'bermrand/booking';
const available: Objective = {name: 'available', target: 0.99, periodDays: 28};
const fast: Objective = {
	name: 'fast', target: 0.9, withinMilliseconds: 800, periodDays: 28,
};

const classifications: ReadonlyArray<readonly [end: CompletionStatus, idempotent: boolean, latency: number, available: RequestClass, fast: RequestClass]> = [
	['answered', true, 800, 'good', 'good'],
	['answered', true, 801, 'good', 'slow'],
	['answered', false, 801, 'good', 'slow'],
	['failed', true, 10, 'failed', 'failed'],
	['notRun', true, 10, 'notRun', 'notRun'],
	['notRun', false, 10, 'notRun', 'uncounted'],
	['unknown', true, 10, 'unknown', 'unknown'],
	['unknown', false, 10, 'unknown', 'unknown'],
	['callerFault', false, 10, 'uncounted', 'uncounted'],
];

for (const [end, idempotent, latencyMilliseconds, forAvailable, forFast] of classifications) {
	test(`classification: ${end}, ${idempotent ? 'idempotent' : 'non-idempotent'}, ${latencyMilliseconds} ms`, () => {
		const sample = {end, idempotent, latencyMilliseconds};
		assert.deepEqual([classifyRequest(sample, available), classifyRequest(sample, fast)], [forAvailable, forFast]);
	});
}

const completions: ReadonlyArray<readonly [ended: CompletedRequest, expected: CompletionStatus]> = [
	[{outcome: 'ran', status: 200, limited: false}, 'answered'],
	[{outcome: 'ran', status: 404, limited: false}, 'answered'],
	[{outcome: 'ran', status: 500, limited: false}, 'failed'],
	[{outcome: 'ran', limited: false}, 'failed'],
	[{outcome: 'not-run', status: 503, limited: false}, 'notRun'],
	[{outcome: 'not-run', status: 400, limited: false}, 'callerFault'],
	[{outcome: 'not-run', status: 503, limited: true}, 'callerFault'],
	[{outcome: 'unknown', status: 504, limited: false}, 'unknown'],
];

for (const [request, expected] of completions) {
	test(`completion status: ${JSON.stringify(request)} is ${expected}`, () => {
		assert.equal(completionStatusOf(request), expected);
	});
}

function recorded(startedAt: number, ends: readonly CompletionStatus[], latencyMilliseconds = 20): BurnInterval {
	const recorder = new BurnRecorder();
	for (const end of ends) {
		recorder.record({name: service, objectives: [available, fast]}, {end, idempotent: false, latencyMilliseconds});
	}

	return recorder.take(startedAt);
}

/** Start times over the whole range, or close together so that several fall into one longer interval. */
const starts = fc.oneof(fc.nat({max: 40_000}), fc.integer({min: 30_000, max: 30_060}));
const intervals = fc.tuple(starts, fc.array(fc.constantFrom<CompletionStatus>('answered', 'failed', 'notRun', 'unknown'), {maxLength: 8}), fc.nat({max: 5000}))
	.map(([number, ends, latency]) => recorded(number * intervalMilliseconds, ends, latency));

test(`burn: merging is associative and commutative (seed ${seed})`, () => {
	fc.assert(fc.property(intervals, intervals, intervals, (one, two, three) => {
		assert.deepEqual(mergeIntervals(mergeIntervals(one, two), three), mergeIntervals(one, mergeIntervals(two, three)));
		assert.deepEqual(mergeIntervals(one, two), mergeIntervals(two, one));
	}), {seed});
});

test(`burn: folding keeps every request in the retention time, and is idempotent (seed ${seed})`, () => {
	const now = 40_000 * intervalMilliseconds;
	fc.assert(fc.property(fc.array(intervals, {maxLength: 12}), list => {
		const kept = list.filter(interval => interval.startedAt + intervalMilliseconds > now - keptMilliseconds);
		const folded = foldIntervals(list, now);
		assert.deepEqual(countsOf(folded, service, 'available'), countsOf(kept, service, 'available'));
		assert.deepEqual(foldIntervals(folded, now), folded);
	}), {seed});
});

test(`burn: an interval survives a JSON round trip (seed ${seed})`, () => {
	fc.assert(fc.property(intervals, interval => {
		assert.deepEqual(decodeInterval(encodeInterval(interval)).unwrapOr(undefined), interval);
	}), {seed});
});

const interval = recorded(0, ['answered']);
const damaged: ReadonlyArray<readonly [name: string, text: string]> = [
	['invalid JSON', '{"startedAt":'],
	['null', 'null'],
	['a negative count', encodeInterval({...interval, startedAt: -1})],
	['an invalid histogram', encodeInterval({...interval, latencies: [{service, histogram: 'AAAA'}]})],
	['more bad requests than the total', encodeInterval({...interval, objectives: [{service, objective: 'available', counts: {...interval.objectives[0]!.counts, slow: 2}}]})],
];

for (const [name, text] of damaged) {
	test(`burn: rejected as an interval: ${name}`, () => {
		assert.equal(decodeInterval(text).match({Ok: () => 'taken', Err: refusal => refusal.kind}), 'malformed');
	});
}

test('burn: a truncated journal loses only its last interval', () => {
	const text = encodeJournal([interval, recorded(intervalMilliseconds, ['unknown'])]);
	assert.deepEqual(decodeJournal(text.slice(0, -9)), {intervals: [interval], damagedLines: 1});
	assert.equal(decodeJournal(text).intervals.length, 2);
});

const at = Date.UTC(2026, 11, 4, 10);
const minute = 60_000;
const input: BurnInput = {
	at,
	objectives: [{...available, service}, {...fast, service}],
	expected: ['entry-1', 'entry-2', 'entry-3'],
	instances: [
		{
			instance: 'entry-1',
			intervals: [recorded(at - minute, [...Array.from<CompletionStatus>({length: 98}).fill('answered'), 'failed', 'unknown'])],
			loads: [{service, upstream: 'one', requests: 60}, {service, upstream: 'two', requests: 40}],
		},
		{
			instance: 'entry-2',
			intervals: [recorded(at - (30 * minute), Array.from<CompletionStatus>({length: 100}).fill('answered'), 900)],
			loads: [{service, upstream: 'one', requests: 40}, {service, upstream: 'two', requests: 20}],
		},
	],
	figures: [{
		service, unavailableSlotMilliseconds: 2300, moves: 12, slotImbalance: 1.05, owners: 2,
	}],
};

test('burn: the text report lists the missing instances', () => {
	assert.deepEqual(reportLines(makeReport(input)), [
		'service-level burn at 2026-12-04T10:00:00.000Z',
		'counted by 2 instances, LACKING: entry-3',
		'',
		'service           objective  target              burn 5 min  burn 1 h  burn 6 h  burn 3 d  budget left          bad in the longest window',
		'bermrand/booking  available  99 %                2.00        1.00      1.00      1.00      0.0 %                failed 1, unknown 1',
		'bermrand/booking  fast       90 % within 800 ms  0.20        5.10      5.10      5.10      overspent 5.1 times  slow 100, failed 1, unknown 1',
		'',
		'service           answers 1 h  50th    99th    longest',
		'bermrand/booking  199          903 ms  903 ms  903 ms',
		'',
		'service           unavailable slot time  slots moved  slot imbalance  load imbalance',
		'bermrand/booking  2.3 s                  12           1.05            1.25',
	]);
});

test('burn: the page has no external resources and escapes names', () => {
	const page = reportPage(makeReport({...input, expected: ['<script>']}));
	assert.ok(!/<script|https?:|<link|@import|url\(/u.test(page));
	assert.ok(page.includes('LACKING: &lt;script&gt;'));
	assert.equal(page.split('<svg').length - 1, 2);
});

test('burn: the report input is validated', () => {
	assert.ok(checkInput(structuredClone(input)).isOk);
	assert.ok(checkInput({...input, instances: [{instance: 'entry-1', intervals: [{}], loads: []}]}).isErr);
	assert.ok(checkInput({...input, instances: [{instance: 'entry-1', intervals: []}]}).isErr);
	assert.ok(checkInput({...input, instances: [{instance: 'entry-1', intervals: [], loads: [{service, upstream: 'one', requests: -1}]}]}).isErr);
	assert.ok(checkInput(null).isErr);
});
