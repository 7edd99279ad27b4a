/**
 * What one instance sends another to bring its copy of the replicated state up to date.
 */
import {type LogIndex} from './identifiers.js';

/** A committed entry of the log. */
export type CommittedEntry = {readonly index: LogIndex; readonly payload: string};

/** Committed entries of the log, or the whole state in their place. */
export type CatchUp = {
	readonly entries: readonly CommittedEntry[];
	readonly state?: {readonly index: LogIndex; readonly data: string};
};
