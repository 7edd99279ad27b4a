/**
 * Holds this process's copy of the replicated state. Entries are applied in order and
 * exactly once, whether they come from the log or from another instance, and the state
 * never goes back to an earlier index.
 */
import {type CatchUp, type CommittedEntry} from '@dogwooddeck/model/catch-up';
import {type Failure} from '@dogwooddeck/model/failure';
import {type LogIndex} from '@dogwooddeck/model/identifiers';
import {type Result} from 'true-myth/result';

/** A state machine that is driven by the replicated log. All of its functions are pure. */
export type ReplicatedMachine<State extends {readonly applied: LogIndex}, Accepted> = {
	readonly empty: State;
	readonly apply: (state: State, payload: string, index: LogIndex) => AppliedEntry<State, Accepted>;
	readonly encode: (state: State) => string;
	readonly decode: (data: string) => Result<State, Failure>;
};

/** The state after an entry is applied, and the results of its commands. */
export type AppliedEntry<State, Accepted> = {
	readonly state: State;
	readonly answers: ReadonlyArray<Result<Accepted, Failure>>;
};

/** This process's copy of the replicated state. */
export type StateHolder<State, Accepted> = {
	readonly state: () => State;
	/** Applies a committed entry. Returns undefined if it was applied before, or if an earlier entry is missing. */
	readonly apply: (index: LogIndex, payload: string) => ReadonlyArray<Result<Accepted, Failure>> | undefined;
	/** Replaces the state by a full state if that is newer; returns whether it did. Fails if the data can't be decoded. */
	readonly restore: (index: LogIndex, data: string) => Result<boolean, Failure>;
	/** Whether a full state can be decoded. */
	readonly canDecode: (data: string) => boolean;
	/** Applies the state and entries that another instance sent. Listeners are notified once for all the entries. */
	readonly catchUp: (received: CatchUp) => void;
	/** Returns what an instance that has applied entries up to an index lacks: entries, or the full state. */
	readonly catchUpAfter: (applied: LogIndex) => CatchUp;
	readonly listen: (listener: (state: State) => void) => void;
};

/** The number of recent entries that are kept for other instances to catch up; one that lacks more is sent the full state. */
export const retainedEntries = 2048;

/** The payload of an entry without commands. */
export const emptyPayload = '[]';

/** Creates a holder of a machine's empty state. */
export function createStateHolder<State extends {readonly applied: LogIndex}, Accepted>(machine: ReplicatedMachine<State, Accepted>): StateHolder<State, Accepted> {
	let state = machine.empty;
	let recent: CommittedEntry[] = [];
	let latestEncoded: {readonly index: LogIndex; readonly data: string} | undefined;
	const listeners: Array<(state: State) => void> = [];

	function notifyListeners(): void {
		for (const listener of listeners) {
			listener(state);
		}
	}

	function applyNext(index: LogIndex, payload: string): ReadonlyArray<Result<Accepted, Failure>> | undefined {
		if (index !== state.applied + 1) {
			return undefined;
		}

		const applied = machine.apply(state, payload, index);
		state = applied.state;
		recent.push({index, payload});
		if (recent.length > 2 * retainedEntries) {
			recent = recent.slice(-retainedEntries);
		}

		return applied.answers;
	}

	function apply(index: LogIndex, payload: string): ReadonlyArray<Result<Accepted, Failure>> | undefined {
		const answers = applyNext(index, payload);
		if (answers !== undefined) {
			notifyListeners();
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
			notifyListeners();
			return true;
		});
	}

	function fullState(): CatchUp {
		if (latestEncoded?.index !== state.applied) {
			latestEncoded = {index: state.applied, data: machine.encode(state)};
		}

		return {entries: [], state: latestEncoded};
	}

	return {
		state: () => state,
		apply,
		restore,
		canDecode: data => machine.decode(data).isOk,
		catchUp(received) {
			if (received.state !== undefined) {
				restore(received.state.index, received.state.data);
			}

			const appliedBefore = state.applied;
			for (const entry of received.entries) {
				applyNext(entry.index, entry.payload);
			}

			if (state.applied > appliedBefore) {
				notifyListeners();
			}
		},
		catchUpAfter(applied) {
			if (applied >= state.applied) {
				return {entries: []};
			}

			const first = recent[0]?.index ?? Infinity;
			return first <= applied + 1 ? {entries: recent.slice(applied + 1 - first)} : fullState();
		},
		listen(listener) {
			listeners.push(listener);
		},
	};
}
