/**
 * Holds the control state of this process. Entries are applied in order, each
 * once, whether they come from the log or from another instance, and the state
 * never goes backwards.
 */
import {applyEntry} from '@dogwooddeck/control/apply';
import {
	type ControlAccepted, type ControlState, decodeControl, emptyControl, encodeControl,
} from '@dogwooddeck/control/state';
import {type Failure} from '@dogwooddeck/model/failure';
import {type LogIndex} from '@dogwooddeck/model/identifiers';
import {type CatchUp} from '@dogwooddeck/wire/methods';
import {type Result} from 'true-myth/result';

/** The answers to the commands of one entry. */
export type EntryAnswers = ReadonlyArray<Result<ControlAccepted, Failure>>;

/** Hears that the state has changed. */
export type ControlListener = (state: ControlState) => void;

/** The control state of this process. */
export type ControlHolder = {
	readonly state: () => ControlState;
	/** Applies a committed entry. Undefined: it was applied before, or one before it is missing. */
	readonly apply: (index: LogIndex, payload: string) => EntryAnswers | undefined;
	/** Takes a whole state if it is newer. */
	readonly restore: (index: LogIndex, data: string) => Result<boolean, Failure>;
	/** Takes what another instance sent. */
	readonly catchUp: (received: CatchUp) => void;
	/** What an instance that has applied up to an index lacks. */
	readonly after: (applied: LogIndex) => CatchUp;
	readonly listen: (listener: ControlListener) => void;
};

/** Entries that are kept to bring other instances up to date; one that lacks more gets the whole state. */
export const keptEntries = 2048;

/** The payload of an entry that carries no commands. */
export const emptyPayload = '[]';

type Entry = {readonly index: LogIndex; readonly payload: string};

/** Makes a holder of the empty state. */
export function createControlHolder(): ControlHolder {
	let state = emptyControl;
	let recent: Entry[] = [];
	let encoded: {readonly index: LogIndex; readonly data: string} | undefined;
	const listeners: ControlListener[] = [];

	function changed(): void {
		for (const listener of listeners) {
			listener(state);
		}
	}

	function apply(index: LogIndex, payload: string): EntryAnswers | undefined {
		if (index !== state.applied + 1) {
			return undefined;
		}

		const applied = applyEntry(state, payload, index);
		state = applied.state;
		recent.push({index, payload});
		if (recent.length > 2 * keptEntries) {
			recent = recent.slice(-keptEntries);
		}

		changed();
		return applied.answers;
	}

	function restore(index: LogIndex, data: string): Result<boolean, Failure> {
		return decodeControl(data).map(decoded => {
			if (index <= state.applied) {
				return false;
			}

			state = {...decoded, applied: index};
			recent = [];
			changed();
			return true;
		});
	}

	function wholeState(): CatchUp {
		if (encoded?.index !== state.applied) {
			encoded = {index: state.applied, data: encodeControl(state)};
		}

		return {entries: [], state: encoded};
	}

	return {
		state: () => state,
		apply,
		restore,
		catchUp(received) {
			if (received.state !== undefined) {
				restore(received.state.index, received.state.data);
			}

			for (const entry of received.entries) {
				apply(entry.index, entry.payload);
			}
		},
		after(applied) {
			if (applied >= state.applied) {
				return {entries: []};
			}

			const first = recent[0]?.index ?? Infinity;
			return first <= applied + 1 ? {entries: recent.slice(applied + 1 - first)} : wholeState();
		},
		listen(listener) {
			listeners.push(listener);
		},
	};
}
