/**
 * Counts the entries of the deployment. Each control instance reports the entries
 * that follow it to the leader, which returns the total number.
 */
import {type InstanceName, type Milliseconds, type MonotonicTime} from '@dogwooddeck/model/identifiers';

/** The report of a control instance expires after this long. */
const reportLifetimeMilliseconds: Milliseconds = 3000;

type EntryReport = {readonly entries: readonly InstanceName[]; readonly at: MonotonicTime};

/** The number of entries. Mutable. */
export class EntryCount {
	readonly #reports = new Map<string, EntryReport>();
	#total = 1;

	/** Records the entries that follow a control instance, this one or another. */
	record(control: string, entries: readonly InstanceName[], now: MonotonicTime): void {
		this.#reports.set(control, {entries, at: now});
		const recent = [...this.#reports.values()].filter(({at}) => now - at <= reportLifetimeMilliseconds);
		this.#total = Math.max(1, new Set(recent.flatMap(report => report.entries)).size);
	}

	/** Adopts the total that the leader reported. Without an answer of the leader the last total is kept. */
	adoptTotal(totals: readonly number[]): void {
		this.#total = totals.length === 0 ? this.#total : Math.max(1, ...totals);
	}

	/** The number of entries of the whole deployment that are known; at least 1. */
	total(): number {
		return this.#total;
	}
}
