/**
 * Tells which upstreams count as cold: those whose record says so, and for some time
 * those that have just appeared or whose zone is in use again, as an announcement
 * may be late or wrong.
 */
import {type Milliseconds, type MonotonicTime} from '@dogwooddeck/model/identifiers';
import {sameIncarnation} from '@dogwooddeck/key-lease/range';
import {type ColdCapacity} from './item.js';
import {type DirectoryState} from './state.js';
import {type UpstreamRecord} from './upstream.js';
import {isEvacuated} from './zone-order.js';

/** Returns what a cold upstream of a service bears; undefined if it bears any number of requests. */
export function coldCapacityOf(state: DirectoryState, service: string): ColdCapacity | undefined {
	return state.items.service[service]?.value?.coldCapacity;
}

/** Watches one copy of the directory. Updated in place, as it is read on the request path. */
export class ColdWatch {
	/** The latest end of the cold time of upstreams that appeared or whose zone was taken into use again, by id. */
	readonly #coldUntil = new Map<string, MonotonicTime>();
	#state: DirectoryState | undefined;

	/** Compares a newer directory with the last one. Nothing counts as new in the first directory that has upstreams. */
	update(state: DirectoryState, now: MonotonicTime): void {
		const earlier = this.#state;
		if (earlier === state) {
			return;
		}

		this.#state = Object.keys(state.upstreams).length === 0 ? earlier : state;
		if (earlier === undefined || (earlier.upstreams === state.upstreams && earlier.evacuatedZones === state.evacuatedZones)) {
			return;
		}

		const restored = new Set(Object.keys(earlier.evacuatedZones).filter(zone => !isEvacuated(state, zone)));
		for (const upstream of Object.values(state.upstreams)) {
			const capacity = coldCapacityOf(state, upstream.service);
			if (capacity !== undefined && (restored.has(upstream.zone) || !sameIncarnation(earlier.upstreams[upstream.id], upstream))) {
				this.#coldUntil.set(upstream.id, now + capacity.milliseconds);
			}
		}

		for (const [id, until] of this.#coldUntil) {
			if (until <= now) {
				this.#coldUntil.delete(id);
			}
		}
	}

	/**
	 * Returns until when an upstream counts as cold; `-Infinity` if it doesn't. `contactAt` is when the directory was
	 * last confirmed: without contact, a record that says cold holds no longer than an upstream is cold after its start.
	 */
	coldUntil({id, cold}: UpstreamRecord, milliseconds: Milliseconds, contactAt: MonotonicTime): MonotonicTime {
		return Math.max(this.#coldUntil.get(id) ?? -Infinity, cold ? contactAt + milliseconds : -Infinity);
	}
}
