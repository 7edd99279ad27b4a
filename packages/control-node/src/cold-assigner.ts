/**
 * Assigns each cold upstream of this control instance's zone to one of the entries
 * that follow it, which alone sends requests to it. An assignment is kept while its
 * entry follows; another entry is named only once the last one's lease has ended.
 */
import {ColdWatch, coldCapacityOf} from '@dogwooddeck/directory/cold-watch';
import {type DirectoryState} from '@dogwooddeck/directory/state';
import {type UpstreamRecord, UpstreamState} from '@dogwooddeck/directory/upstream';
import {
	type InstanceName, type Milliseconds, type MonotonicTime, type ZoneName,
} from '@dogwooddeck/model/identifiers';

/** How long nobody is named between two entries: the lifetime of a lease at its entry, and the delay of messages. */
export const handOverMilliseconds: Milliseconds = 900;

/** The upstreams that are assigned to each entry. */
export type ColdAssignments = Readonly<Record<InstanceName, readonly string[]>>;

type Assignment = {readonly entry: InstanceName; readonly namedAt: MonotonicTime};

/** The assigner of one control instance. Mutable. */
export class ColdAssigner {
	readonly #watch = new ColdWatch();
	readonly #assignments = new Map<string, Assignment>();
	readonly #zone: ZoneName;
	/** An earlier process at this address may have assigned until then. */
	readonly #startedAt: MonotonicTime;

	constructor(zone: ZoneName, startedAt: MonotonicTime) {
		this.#zone = zone;
		this.#startedAt = startedAt;
	}

	/** Returns the assignments to send now; undefined if there are none. */
	assign(state: DirectoryState, entries: readonly InstanceName[], now: MonotonicTime): ColdAssignments | undefined {
		this.#watch.update(state, now);
		const cold = Object.values(state.upstreams).filter(upstream => this.#isAssigned(state, upstream, now));
		if (cold.length === 0 && this.#assignments.size === 0) {
			return undefined;
		}

		const named = new Map<InstanceName, string[]>(entries.map(entry => [entry, []]));
		const open: string[] = [];
		for (const {id} of cold) {
			const entry = this.#assignments.get(id)?.entry;
			const upstreams = entry === undefined ? undefined : named.get(entry);
			upstreams?.push(id);
			if (upstreams === undefined && this.#mayAssign(id, now)) {
				open.push(id);
			}
		}

		for (const id of open) {
			const [fewest] = [...named.values()].sort((one, other) => one.length - other.length);
			fewest?.push(id);
		}

		return this.#record(named, now);
	}

	#isAssigned(state: DirectoryState, upstream: UpstreamRecord, now: MonotonicTime): boolean {
		const capacity = coldCapacityOf(state, upstream.service);
		return capacity !== undefined && upstream.zone === this.#zone && upstream.state === UpstreamState.ready
			&& state.items.service[upstream.service]?.value?.keyed === false && this.#watch.coldUntil(upstream, capacity.milliseconds, now) > now;
	}

	#mayAssign(id: string, now: MonotonicTime): boolean {
		return now - (this.#assignments.get(id)?.namedAt ?? this.#startedAt) >= handOverMilliseconds;
	}

	#record(named: ReadonlyMap<InstanceName, readonly string[]>, now: MonotonicTime): ColdAssignments | undefined {
		for (const [entry, ids] of named) {
			for (const id of ids) {
				this.#assignments.set(id, {entry, namedAt: now});
			}
		}

		for (const [id, {namedAt}] of this.#assignments) {
			if (now - namedAt > handOverMilliseconds) {
				this.#assignments.delete(id);
			}
		}

		const filled = [...named].filter(([, ids]) => ids.length > 0);
		return filled.length === 0 ? undefined : Object.fromEntries(filled);
	}
}
