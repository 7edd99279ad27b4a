/**
 * The work of each service's keys, as the entries report it, smoothed over time.
 */
import {type LoadReport} from '@dogwooddeck/mesh/calls';
import {type Milliseconds, type MonotonicTime} from '@dogwooddeck/model/identifiers';
import {bucketCount} from '@dogwooddeck/key-lease/planning';

/** Counts lose all but 1/e of their weight within this time: hot keys change within minutes, and bursts last seconds. */
const memoryMilliseconds: Milliseconds = 2500;

type Counts = {readonly rates: Float64Array; decayedAt: MonotonicTime};

/** The rates of all services. They are updated in place: there are thousands. */
export class LoadCounts {
	readonly #services = new Map<string, Counts>();

	/** Adds what an entry counted. */
	add(report: LoadReport, now: MonotonicTime): void {
		for (const {service, counts} of report.services) {
			const {rates} = this.#decayed(service, now);
			for (const [bucket, count] of counts) {
				if (bucket >= 0 && bucket < bucketCount) {
					rates[bucket]! += count * 1000 / memoryMilliseconds;
				}
			}
		}
	}

	/** Requests a second for each bucket of a service. */
	rates(service: string, now: MonotonicTime): Float64Array {
		return this.#decayed(service, now).rates;
	}

	#decayed(service: string, now: MonotonicTime): Counts {
		const known = this.#services.get(service);
		if (known === undefined) {
			const made = {rates: new Float64Array(bucketCount), decayedAt: now};
			this.#services.set(service, made);
			return made;
		}

		const factor = Math.exp((known.decayedAt - now) / memoryMilliseconds);
		known.decayedAt = now;
		for (let bucket = 0; bucket < bucketCount; bucket += 1) {
			known.rates[bucket]! *= factor;
		}

		return known;
	}
}
