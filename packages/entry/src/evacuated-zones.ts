/**
 * The evacuated availability zones at this instance. Their upstreams are sent no
 * requests, except for a moment those for keys that they still hold: no other
 * upstream can serve a key before it is handed over.
 */
import {type ZoneOrders} from '@dogwooddeck/directory/zone-order';
import {
	type LogIndex, type Milliseconds, type MonotonicTime, type ZoneName,
} from '@dogwooddeck/model/identifiers';

type Evacuation = {readonly index: LogIndex; readonly closesAt: MonotonicTime};

/** The evacuated zones. It is asked on the request path, so it is updated in place. */
export class EvacuatedZones {
	readonly #graceMilliseconds: Milliseconds;
	readonly #zones = new Map<ZoneName, Evacuation>();

	/** `graceMilliseconds`: how long a zone remains open to requests for keys that its upstreams hold. */
	constructor(graceMilliseconds: Milliseconds) {
		this.#graceMilliseconds = graceMilliseconds;
	}

	/** Updates the zones. `currentAt` is the last time at which this instance knew all orders: a new one may have been given at any moment since. */
	update(evacuated: ZoneOrders['evacuatedZones'], currentAt: MonotonicTime): void {
		for (const [zone, {index}] of this.#zones) {
			if (evacuated[zone] !== index) {
				this.#zones.delete(zone);
			}
		}

		for (const [zone, index] of Object.entries(evacuated)) {
			if (!this.#zones.has(zone)) {
				this.#zones.set(zone, {index, closesAt: currentAt + this.#graceMilliseconds});
			}
		}
	}

	/** Whether a zone is evacuated. */
	has(zone: ZoneName): boolean {
		return this.#zones.has(zone);
	}

	/** Whether the upstreams of a zone may be sent no requests at all, also not for keys that they hold. */
	isClosed(zone: ZoneName, now: MonotonicTime): boolean {
		const evacuation = this.#zones.get(zone);
		return evacuation !== undefined && now >= evacuation.closesAt;
	}
}
