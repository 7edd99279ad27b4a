/**
 * The incarnations of upstreams that have departed. An announcement that was
 * delayed on its way must make neither one of them available again nor what they
 * replaced: an earlier incarnation with the same id, or an earlier upstream at the
 * same address.
 */
import {type UpstreamIncarnation, sameIncarnation} from '@dogwooddeck/key-lease/range';
import {memoize} from '@dogwooddeck/model/memoize';

/** An incarnation that has departed. */
export type Departure = UpstreamIncarnation & {
	/** Its last address, as `IP:port`; undefined if none was recorded. */
	readonly address?: string;
};

/** The maximum number of departures that are kept. */
const maxDepartures = 500;

function latestBy(departures: readonly Departure[], keyOf: (departure: Departure) => string | undefined): ReadonlyMap<string | undefined, Departure> {
	const latest = new Map<string | undefined, Departure>();
	for (const departure of departures) {
		const key = keyOf(departure);
		if (key !== undefined && departure.born > (latest.get(key)?.born ?? -Infinity)) {
			latest.set(key, departure);
		}
	}

	return latest;
}

const latestDepartures = memoize((departures: readonly Departure[]) => ({
	byId: latestBy(departures, ({id}) => id),
	byAddress: latestBy(departures, ({address}) => address),
}));

/** Whether this very incarnation has departed. */
export function hasDeparted(departures: readonly Departure[], upstream: UpstreamIncarnation): boolean {
	return departures.some(departure => sameIncarnation(departure, upstream));
}

/** Returns why an incarnation can't be recorded: it, or a later one with its id or address, has departed; undefined if none has. */
export function departureReason(departures: readonly Departure[], {id, born, address}: Departure): string | undefined {
	const {byId, byAddress} = latestDepartures(departures);
	const latest = byId.get(id);
	if (latest !== undefined && latest.born >= born) {
		return `${id} has departed, in this incarnation or a later one`;
	}

	const successor = byAddress.get(address);
	return successor !== undefined && successor.born > born ? `${successor.id}, a later upstream at the same address, has departed` : undefined;
}

/** Adds a departure, unless it is known, in place of earlier ones of the id without an address, which tell nothing more. The oldest one beyond the maximum is forgotten. */
export function addDeparture(departures: readonly Departure[], departure: Departure): readonly Departure[] {
	return hasDeparted(departures, departure)
		? departures
		: [...departures.filter(({id, born, address}) => id !== departure.id || address !== undefined || born > departure.born), departure].slice(-maxDepartures);
}
