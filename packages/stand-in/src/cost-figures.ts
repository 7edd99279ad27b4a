/**
 * What the rounds of a cost measurement say together. Rounds on a busy machine
 * differ, so that only ratios within one round are compared, by their quartiles.
 */
import {type Milliseconds} from '@dogwooddeck/model/identifiers';
import {type CallerReport, percentile} from './caller.js';

/** What one subject did in one round. */
export type RoundFigures = {
	readonly report: CallerReport;
	/** The processor time of the subject's process in the round, in microseconds. Absent where it can't be read. */
	readonly processorMicroseconds: number | undefined;
};

/** One round: both subjects, right after each other. */
export type Round = {readonly entry: RoundFigures; readonly bare: RoundFigures};

/** What one subject did in all rounds. */
export type SubjectFigures = {
	/** The median of the rounds. */
	readonly requestsPerSecond: number;
	/** Over the answers of all rounds. */
	readonly medianMilliseconds: Milliseconds;
	readonly slowestMilliseconds: Milliseconds;
	/** Requests without a whole and own answer of status 200. */
	readonly bad: number;
	readonly processorMicrosecondsPerRequest: number | undefined;
};

/** Quartiles of a ratio over all rounds. */
export type Quartiles = {readonly lower: number; readonly median: number; readonly upper: number};

const millisecondsPerSecond = 1000;
const slowest = 0.99;

function ascending(values: readonly number[]): readonly number[] {
	return [...values].sort((one, other) => one - other);
}

/** The quartiles of some values, each one of the values. */
export function quartilesOf(values: readonly number[]): Quartiles {
	const sorted = ascending(values);
	return {lower: percentile(sorted, 0.25), median: percentile(sorted, 0.5), upper: percentile(sorted, 0.75)};
}

function rateOf({report}: RoundFigures): number {
	return report.latencies.length / report.elapsedMilliseconds * millisecondsPerSecond;
}

function sum(values: readonly number[]): number {
	return values.reduce((total, value) => total + value, 0);
}

function processorTimePerRequest(rounds: readonly RoundFigures[]): number | undefined {
	const times = rounds.map(({processorMicroseconds}) => processorMicroseconds).filter(time => time !== undefined);
	return times.length < rounds.length ? undefined : sum(times) / sum(rounds.map(({report}) => report.sent));
}

/** Adds up one subject's rounds. */
export function summarise(rounds: readonly RoundFigures[]): SubjectFigures {
	const latencies = ascending(rounds.flatMap(({report}) => report.latencies));
	return {
		requestsPerSecond: quartilesOf(rounds.map(round => rateOf(round))).median,
		medianMilliseconds: percentile(latencies, 0.5),
		slowestMilliseconds: percentile(latencies, slowest),
		bad: sum(rounds.map(({report}) => report.sent - (report.statuses['200'] ?? 0) + report.foreign)),
		processorMicrosecondsPerRequest: processorTimePerRequest(rounds),
	};
}

/** The ratio of the requests a second, entry by bare, of each round. */
export function rateRatios(rounds: readonly Round[]): Quartiles {
	return quartilesOf(rounds.map(({entry, bare}) => rateOf(entry) / rateOf(bare)));
}

/** The ratio of the 99th latency, entry by bare, of each round. */
export function slowestRatios(rounds: readonly Round[]): Quartiles {
	return quartilesOf(rounds.map(({entry, bare}) => percentile(entry.report.latencies, slowest) / percentile(bare.report.latencies, slowest)));
}

/** The ratio of the processor time for one request, entry by bare, of each round. Undefined where it can't be read. */
export function processorRatios(rounds: readonly Round[]): Quartiles | undefined {
	const ratios = rounds.map(({entry, bare}) => (processorTimePerRequest([entry]) ?? Number.NaN) / (processorTimePerRequest([bare]) ?? Number.NaN));
	return ratios.some(ratio => Number.isNaN(ratio)) ? undefined : quartilesOf(ratios);
}
