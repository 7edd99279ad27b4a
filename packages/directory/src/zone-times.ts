/**
 * The leader's record of when it first saw the orders in force. It is kept in
 * memory: a new leader counts from its first plan.
 */
import {
	type LogIndex, type Milliseconds, type MonotonicTime, type ZoneName,
} from '@dogwooddeck/model/identifiers';
import {type ZoneOrders} from './zone-order.js';

/** When an order was first seen; its log index tells it from an earlier one for the same zone. */
type SeenOrder = {readonly index: LogIndex; readonly at: MonotonicTime};

function indexOf({evacuatedZones, restoredZones}: ZoneOrders, zone: ZoneName): LogIndex | undefined {
	return evacuatedZones[zone] ?? restoredZones[zone]?.index;
}

/** The times of the orders in force. */
export class ZoneTimes {
	#seen: ReadonlyMap<ZoneName, SeenOrder> = new Map();

	/** Records the orders that are new at `now`. */
	update(orders: ZoneOrders, now: MonotonicTime): void {
		const zones = [...Object.keys(orders.evacuatedZones), ...Object.keys(orders.restoredZones)];
		this.#seen = new Map(zones.map(zone => {
			const index = indexOf(orders, zone)!;
			const seen = this.#seen.get(zone);
			return [zone, seen?.index === index ? seen : {index, at: now}];
		}));
	}

	/** Returns how long the last order for a zone has been in force; `Infinity` if there was none. */
	ageOf(zone: ZoneName, now: MonotonicTime): Milliseconds {
		return now - (this.#seen.get(zone)?.at ?? -Infinity);
	}
}
