/**
 * Plans how the keys of evacuated availability zones move to other zones, and how
 * they come back: in steps, one upstream of a service after the other.
 *
 * Load patterns: a zone of many upstreams is evacuated, and all its keys look for
 * new holders; it is restored, and all its upstreams may have become cold, so that
 * none bears much work at first.
 */
import {type Milliseconds, type MonotonicTime} from '@dogwooddeck/model/identifiers';
import {definedItems, type ServiceItem} from './item.js';
import {type UpstreamRecord} from './upstream.js';
import {isEvacuated, type ZoneCommand, type ZoneOrders} from './zone-order.js';
import {type ZoneTimes} from './zone-times.js';

/** The orders in force, and the time. */
export type ZonePlanInput = {
	readonly orders: ZoneOrders;
	readonly times: ZoneTimes;
	readonly now: MonotonicTime;
};

/** The keys of an evacuated zone are recalled over this time. A holder's next announcement brings the recall, so the last keys arrive about 2 s after it. */
export const recallMilliseconds: Milliseconds = 1000;

/** The upstreams of a restored zone accept keys again over this time, once they have had the time to become warm. */
export const returnMilliseconds: Milliseconds = 5000;

/** What the orders require of one upstream. */
export type ZoneDuty = {
	/** Its zone is evacuated: it may not be granted keys. */
	readonly isEvacuated: boolean;
	/** Its keys are to be recalled now. */
	readonly isRecallDue: boolean;
	/** Its zone has just been restored: it is granted keys only while no other upstream is ready. */
	readonly isReturning: boolean;
};

const noDuty: ZoneDuty = {isEvacuated: false, isRecallDue: false, isReturning: false};

function coldMilliseconds(service: ServiceItem | undefined): Milliseconds {
	return service?.coldCapacity?.milliseconds ?? 0;
}

/** Returns the duty of each upstream of one service, in the order of `upstreams`. */
export function zoneDuties({orders, times, now}: ZonePlanInput, service: ServiceItem | undefined, upstreams: readonly UpstreamRecord[]): readonly ZoneDuty[] {
	const sizes = new Map<string, number>();
	for (const {zone} of upstreams) {
		sizes.set(zone, (sizes.get(zone) ?? 0) + 1);
	}

	const places = new Map<string, number>();
	return upstreams.map(({zone}) => {
		const place = places.get(zone) ?? 0;
		places.set(zone, place + 1);
		const step = place / sizes.get(zone)!;
		if (isEvacuated(orders, zone)) {
			return {isEvacuated: true, isRecallDue: times.ageOf(zone, now) >= recallMilliseconds * step, isReturning: false};
		}

		const isReturning = orders.restoredZones[zone]?.isWarm === false
			&& times.ageOf(zone, now) < coldMilliseconds(service) + (returnMilliseconds * step);
		return isReturning ? {...noDuty, isReturning} : noDuty;
	});
}

/** Returns the commands that end the return of restored zones. */
export function planWarmZones({orders, times, now}: ZonePlanInput, services: Parameters<typeof definedItems<ServiceItem>>[0]): readonly ZoneCommand[] {
	const longest = Math.max(0, ...definedItems(services).map(([, service]) => coldMilliseconds(service))) + returnMilliseconds;
	return Object.entries(orders.restoredZones)
		.filter(([zone, {isWarm}]) => !isWarm && times.ageOf(zone, now) >= longest)
		.map(([zone, {index}]) => ({kind: 'zoneWarmed', zone, restoredAt: index}));
}
