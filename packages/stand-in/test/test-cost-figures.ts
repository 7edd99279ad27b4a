import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	processorRatios, quartilesOf, rateRatios, summarise,
} from '@dogwooddeck/stand-in/cost-figures';

function round(answers: number, latency: number, processorMicroseconds?: number) {
	const latencies = Array.from({length: answers}, () => latency);
	return {
		report: {
			sent: answers, statuses: {200: answers}, broken: 0, foreign: 0, latencies, elapsedMilliseconds: 500,
		},
		processorMicroseconds,
	};
}

type Case = {readonly name: string; readonly seen: unknown; readonly expected: unknown};

const cases: readonly Case[] = [
	{name: 'quartiles of values in any order', seen: quartilesOf([5, 1, 4, 2, 3]), expected: {lower: 2, median: 3, upper: 4}},
	{
		name: 'one slow round moves no median',
		seen: rateRatios([round(8, 1), round(1, 1), round(8, 1)].map(entry => ({entry, bare: round(10, 1)}))).median,
		expected: 0.8,
	},
	{
		name: 'processor time is by request over all rounds',
		seen: summarise([round(10, 1, 1000), round(30, 3, 5000)]),
		expected: {
			requestsPerSecond: 60, medianMilliseconds: 3, slowestMilliseconds: 3, bad: 0, processorMicrosecondsPerRequest: 150,
		},
	},
	{
		name: 'a round without processor time leaves none',
		seen: summarise([round(10, 1, 1000), round(10, 1)]).processorMicrosecondsPerRequest,
		expected: undefined,
	},
	{
		name: 'ratios of processor time are by request',
		seen: processorRatios([{entry: round(10, 1, 3000), bare: round(20, 1, 3000)}])?.median,
		expected: 2,
	},
];

for (const {name, seen, expected} of cases) {
	test(`cost figures: ${name}`, () => {
		assert.deepEqual(seen, expected);
	});
}
