/**
 * JSON encoding of intervals, for a file that survives a restart and for the
 * operator API. Decoding validates every field, including the histograms.
 */
import {failure, FailureKind, type Failure} from '@dogwooddeck/model/failure';
import {isRecord} from '@dogwooddeck/model/json-record';
import {err, ok, type Result} from 'true-myth/result';
import {type UpstreamLoad} from './load.js';
import {summariseLatency, type ServiceLatency} from './latency.js';
import {
	badRequestClasses, badCount, keptMilliseconds, type BurnInterval, type Counts, type InstanceBurn, type ObjectiveCounts,
} from './window.js';

const maximumHistogramCharacters = 65_536;
const maximumNameCharacters = 256;

function isCount(value: unknown): value is number {
	return Number.isSafeInteger(value) && (value as number) >= 0;
}

function isName(value: unknown): value is string {
	return typeof value === 'string' && value.length > 0 && value.length <= maximumNameCharacters;
}

function isCounts(value: unknown): value is Counts {
	return isRecord(value)
		&& [...badRequestClasses, 'total'].every(key => isCount(value[key]))
		&& badCount(value as Counts) <= (value as Counts).total;
}

function isObjective(value: unknown): value is ObjectiveCounts {
	return isRecord(value) && isName(value.service) && isName(value.objective) && isCounts(value.counts);
}

function isHistogram(latency: ServiceLatency): boolean {
	try {
		return isCount(summariseLatency(latency).answers);
	} catch {
		return false;
	}
}

function isLatency(value: unknown): value is ServiceLatency {
	return isRecord(value) && isName(value.service)
		&& typeof value.histogram === 'string' && value.histogram.length <= maximumHistogramCharacters
		&& isHistogram(value as ServiceLatency);
}

function isListOf<Item>(value: unknown, isItem: (item: unknown) => item is Item): value is readonly Item[] {
	return Array.isArray(value) && value.every(item => isItem(item));
}

/** Whether a value is an interval. */
export function isInterval(value: unknown): value is BurnInterval {
	return isRecord(value)
		&& isCount(value.startedAt)
		&& isCount(value.lengthMilliseconds) && value.lengthMilliseconds > 0 && value.lengthMilliseconds <= keptMilliseconds
		&& isListOf(value.objectives, isObjective)
		&& isListOf(value.latencies, isLatency);
}

function isLoad(value: unknown): value is UpstreamLoad {
	return isRecord(value) && isName(value.service) && isName(value.upstream) && isCount(value.requests);
}

/** Whether a value is the counts of one instance. */
export function isInstanceBurn(value: unknown): value is InstanceBurn {
	return isRecord(value) && isName(value.instance) && isListOf(value.intervals, isInterval) && isListOf(value.loads, isLoad);
}

/** Encodes an interval as one line of JSON. */
export function encodeInterval(interval: BurnInterval): string {
	return JSON.stringify(interval);
}

function parseJson(text: string): Result<unknown, Failure> {
	try {
		return ok(JSON.parse(text));
	} catch {
		return err(failure(FailureKind.malformed, 'the interval is not JSON'));
	}
}

/** Decodes an interval from its JSON. Fails with `malformed`. */
export function decodeInterval(text: string): Result<BurnInterval, Failure> {
	return parseJson(text).andThen((value): Result<BurnInterval, Failure> => isInterval(value)
		? ok(value)
		: err(failure(FailureKind.malformed, 'the interval has missing or invalid fields')));
}

/** The intervals decoded from a file, and the number of lines that couldn't be decoded. */
export type Journal = {readonly intervals: readonly BurnInterval[]; readonly damagedLines: number};

/** Encodes intervals as the content of a file, one on each line. */
export function encodeJournal(intervals: readonly BurnInterval[]): string {
	return intervals.map(interval => `${encodeInterval(interval)}\n`).join('');
}

/** Decodes a file of intervals. A line that a crash truncated or that is damaged loses only its own interval. */
export function decodeJournal(text: string): Journal {
	const decoded = text.split('\n').filter(line => line !== '').map(line => decodeInterval(line));
	const intervals = decoded.flatMap(result => result.isOk ? [result.value] : []);
	return {intervals, damagedLines: decoded.length - intervals.length};
}
