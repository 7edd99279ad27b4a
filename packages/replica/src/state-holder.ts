/**
 * Holds the replicated state of this process. Entries are applied in order, each
 * once, whether they come from the log or from another instance, and the state
 * never goes backwards.
 */
import {type CatchUp, type CommittedEntry} from '@dogwooddeck/model/catch-up';
import {type Failure} from '@dogwooddeck/model/failure';
import {type LogIndex} from '@dogwooddeck/model/identifiers';
import {type Result} from 'true-myth/result';

/** A state machine that the log drives. All of its functions are pure. */
export type ReplicatedMachine<State extends {readonly applied: LogIndex}, Accepted> = {
	readonly empty: State;
	readonly apply: (state: State, payload: string, index: LogIndex) => AppliedEntry<State, Accepted>;
	readonly encode: (state: State) => string;
	readonly decode: (data: string) => Result<State, Failure>;
};

/** The state after an entry, and the answers to its commands. */
export type AppliedEntry<State, Accepted> = {
	readonly state: State;
	readonly answers: ReadonlyArray<Result<Accepted, Failure>>;
};

/** The replicated state of this process. */
export type StateHolder<State, Accepted> = {
	readonly state: () => State;
	/** Applies a committed entry. Undefined: it was applied before, or one before it is missing. */
	readonly apply: (index: LogIndex, payload: string) => ReadonlyArray<Result<Accepted, Failure>> | undefined;
	/** Takes a whole state if it is newer. */
	readonly restore: (index: LogIndex, data: string) => Result<boolean, Failure>;
	/** Whether a whole state can be read. */
	readonly isReadable: (data: string) => boolean;
	/** Takes what another instance sent. Listeners hear of all its entries at once. */
	readonly catchUp: (received: CatchUp) => void;
	/** What an instance that has applied up to an index lacks. */
	readonly after: (applied: LogIndex) => CatchUp;
	readonly listen: (listener: (state: State) => void) => void;
};

/** Entries that are kept to bring other instances up to date; one that lacks more gets the whole state. */
export const keptEntries = 2048;

/** The payload of an entry that carries no commands. */
export const emptyPayload = '[]';

/** Makes a holder of a machine's empty state. */
export function createStateHolder<State extends {readonly applied: LogIndex}, Accepted>(machine: ReplicatedMachine<State, Accepted>): StateHolder<State, Accepted> {
	let state = machine.empty;
	let recent: CommittedEntry[] = [];
	let encoded: {readonly index: LogIndex; readonly data: string} | undefined;
	const listeners: Array<(state: State) => void> = [];

	function changed(): void {
		for (const listener of listeners) {
			listener(state);
		}
	}

	function take(index: LogIndex, payload: string): ReadonlyArray<Result<Accepted, Failure>> | undefined {
		if (index !== state.applied + 1) {
			return undefined;
		}

		const applied = machine.apply(state, payload, index);
		state = applied.state;
		recent.push({index, payload});
		if (recent.length > 2 * keptEntries) {
			recent = recent.slice(-keptEntries);
		}

		return applied.answers;
	}

	function apply(index: LogIndex, payload: string): ReadonlyArray<Result<Accepted, Failure>> | undefined {
		const answers = take(index, payload);
		if (answers !== undefined) {
			changed();
		}

		return answers;
	}

	function restore(index: LogIndex, data: string): Result<boolean, Failure> {
		return machine.decode(data).map(decoded => {
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
			encoded = {index: state.applied, data: machine.encode(state)};
		}

		return {entries: [], state: encoded};
	}

	return {
		state: () => state,
		apply,
		restore,
		isReadable: data => machine.decode(data).isOk,
		catchUp(received) {
			if (received.state !== undefined) {
				restore(received.state.index, received.state.data);
			}

			const before = state.applied;
			for (const entry of received.entries) {
				take(entry.index, entry.payload);
			}

			if (state.applied > before) {
				changed();
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
