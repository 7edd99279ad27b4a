/**
 * What a leader knows of each holder, by its life. One changes with each
 * announcement, so the record is divided: a change copies a small part of it.
 */
import {type LogIndex, type MonotonicTime} from '@dogwooddeck/model/identifiers';
import {type UpstreamIncarnation, incarnationText} from './range.js';

/** What the leader knows of one holder. */
export type HolderObservation = {
	readonly life: UpstreamIncarnation;
	readonly heardAt: MonotonicTime;
	/** The newest announcement that was answered, and the log index of the state that the answer told. */
	readonly answered?: {readonly sequence: number; readonly index: LogIndex};
	readonly mayHoldUntil: MonotonicTime;
};

type Part = Readonly<Record<string, HolderObservation>>;

/** All holders that were heard. */
export type HolderObservations = readonly Part[];

/** With ten thousand holders a part has forty. */
const parts = 256;

/** Nobody was heard yet. */
export const noObservations: HolderObservations = Array.from({length: parts}, () => ({}));

/** The part that a life's sighting stands in. */
function partOf(key: string): number {
	let sum = 0;
	for (let position = 0; position < key.length; position += 1) {
		sum = ((sum * 31) + key.codePointAt(position)!) % 65_521;
	}

	return sum % parts;
}

/** What is known of a life. */
export function observationOf(sightings: HolderObservations, life: UpstreamIncarnation): HolderObservation | undefined {
	const key = incarnationText(life);
	return sightings[partOf(key)]![key];
}

/** The sightings with a newer one. */
export function withObservation(sightings: HolderObservations, sighting: HolderObservation): HolderObservations {
	const key = incarnationText(sighting.life);
	const part = partOf(key);
	return sightings.with(part, {...sightings[part], [key]: sighting});
}
