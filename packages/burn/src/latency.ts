/**
 * Latency histograms of services, which are sent and stored as text.
 */
import {type Milliseconds, type ServiceName} from '@dogwooddeck/model/identifiers';
import {
	build, decodeFromCompressedBase64, encodeIntoCompressedBase64, type Histogram,
} from 'hdr-histogram-js';

/** The latencies of a service's complete responses; the histogram is HdrHistogram's compressed base64 encoding. */
export type ServiceLatency = {
	readonly service: ServiceName;
	readonly histogram: string;
};

/** Percentiles of a service's latencies. */
export type LatencySummary = {
	readonly service: ServiceName;
	readonly answers: number;
	readonly medianMilliseconds: Milliseconds;
	readonly percentile99Milliseconds: Milliseconds;
	readonly longestMilliseconds: Milliseconds;
};

const highestTrackableValue = 3_600_000;

/** Creates a histogram of whole milliseconds, up to an hour, with two significant digits. */
export function emptyHistogram(): Histogram {
	return build({
		bitBucketSize: 32, lowestDiscernibleValue: 1, highestTrackableValue, numberOfSignificantValueDigits: 2,
	});
}

/** Records a latency, clamped to between 1 ms and an hour. */
export function recordLatency(histogram: Histogram, latencyMilliseconds: Milliseconds): void {
	histogram.recordValue(Math.min(highestTrackableValue, Math.max(1, Math.round(latencyMilliseconds))));
}

/** Encodes a histogram as compressed base64. */
export function encodeHistogram(histogram: Histogram): string {
	return encodeIntoCompressedBase64(histogram);
}

function mergeEncoded(one: string, other: string): string {
	const sum = decodeFromCompressedBase64(one);
	sum.add(decodeFromCompressedBase64(other));
	return encodeHistogram(sum);
}

/** Merges the histograms of each service; the result is sorted by service. */
export function mergeLatencies(one: readonly ServiceLatency[], other: readonly ServiceLatency[]): readonly ServiceLatency[] {
	const merged = new Map(one.map(entry => [entry.service, entry.histogram]));
	for (const {service, histogram} of other) {
		const existing = merged.get(service);
		merged.set(service, existing === undefined ? histogram : mergeEncoded(existing, histogram));
	}

	return [...merged].sort(([left], [right]) => left < right ? -1 : 1).map(([service, histogram]) => ({service, histogram}));
}

/** Returns the percentiles of a service's latencies that a report shows. */
export function summariseLatency({service, histogram}: ServiceLatency): LatencySummary {
	const decoded = decodeFromCompressedBase64(histogram);
	return {
		service,
		answers: decoded.totalCount,
		medianMilliseconds: decoded.getValueAtPercentile(50),
		percentile99Milliseconds: decoded.getValueAtPercentile(99),
		longestMilliseconds: decoded.maxValue,
	};
}
