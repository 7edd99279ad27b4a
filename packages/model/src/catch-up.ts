/**
 * The message by which one instance brings another's replica of the state up to date.
 */
import {type LogIndex} from './identifiers.js';

/** A committed entry of the log. */
export type CommittedEntry = {readonly index: LogIndex; readonly payload: string};

/** Committed entries of the log, or the whole state instead. */
export type CatchUp = {
	readonly entries: readonly CommittedEntry[];
	readonly state?: {readonly index: LogIndex; readonly data: string};
};
