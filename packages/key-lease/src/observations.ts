/**
 * The leader's immutable record of each holder, by incarnation. Each announcement
 * changes one entry, so the record is split into buckets, and a change copies
 * only one of them.
 */
import {type LogIndex, type MonotonicTime} from '@dogwooddeck/model/identifiers';
import {type UpstreamIncarnation, incarnationText} from './range.js';

/** The leader's record of one holder. */
export type HolderObservation = {
	readonly holder: UpstreamIncarnation;
	/** When the last announcement was received. */
	readonly lastContactAt: MonotonicTime;
	/** The newest announcement that was answered, and the log index of the state that the answer reported. */
	readonly answered?: {readonly sequence: number; readonly index: LogIndex};
	/** Until when the holder may hold the keys it was granted, on the leader's clock. */
	readonly mayHoldUntil: MonotonicTime;
};

type Bucket = Readonly<Record<string, HolderObservation>>;

/** The records of all holders that made contact. */
export type HolderObservations = readonly Bucket[];

/** With ten thousand holders, a bucket has forty entries. */
const bucketCount = 256;

/** No holder made contact yet. */
export const noObservations: HolderObservations = Array.from({length: bucketCount}, () => ({}));

/** Returns the index of the bucket that holds an incarnation's entry. */
function bucketOf(key: string): number {
	let hash = 0;
	for (let position = 0; position < key.length; position += 1) {
		hash = ((hash * 31) + key.codePointAt(position)!) % 65_521;
	}

	return hash % bucketCount;
}

/** Returns the record of an incarnation. */
export function observationOf(observations: HolderObservations, holder: UpstreamIncarnation): HolderObservation | undefined {
	const key = incarnationText(holder);
	return observations[bucketOf(key)]![key];
}

/** Returns the records with one entry replaced or added. */
export function withObservation(observations: HolderObservations, observation: HolderObservation): HolderObservations {
	const key = incarnationText(observation.holder);
	const bucket = bucketOf(key);
	return observations.with(bucket, {...observations[bucket], [key]: observation});
}
