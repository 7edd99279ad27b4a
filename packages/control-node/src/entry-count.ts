/**
 * Counts the entries of the deployment. Each control instance tells the leader
 * which entries follow it; the leader tells all how many there are.
 */
import {type InstanceName, type Milliseconds, type MonotonicTime} from '@dogwooddeck/model/identifiers';

/** What a control instance said is forgotten after this long. */
const memoryMilliseconds: Milliseconds = 3000;

type Told = {readonly entries: readonly InstanceName[]; readonly at: MonotonicTime};

/** The number of entries. It is updated in place. */
export class EntryCount {
	readonly #told = new Map<string, Told>();
	#total = 1;

	/** A control instance, this one or another, tells its followers. */
	note(control: string, entries: readonly InstanceName[], now: MonotonicTime): void {
		this.#told.set(control, {entries, at: now});
		const recent = [...this.#told.values()].filter(({at}) => now - at <= memoryMilliseconds);
		this.#total = Math.max(1, new Set(recent.flatMap(told => told.entries)).size);
	}

	/** Takes over what the leader counts. Without an answer of the leader the last count stands. */
	learn(totals: readonly number[]): void {
		this.#total = totals.length === 0 ? this.#total : Math.max(1, ...totals);
	}

	/** The entries of the whole deployment, as far as is known. */
	total(): number {
		return this.#total;
	}
}
