/**
 * The work of each service's keys, as the entries report it, smoothed over time.
 */
import {type LoadReport} from '@dogwooddeck/mesh/calls';
import {type Milliseconds, type MonotonicTime} from '@dogwooddeck/model/identifiers';
import {bucketCount} from '@dogwooddeck/key-lease/planning';

/** Counts lose all but 1/e of their weight within this time: hot keys change within minutes, and bursts last seconds. */
const memoryMilliseconds: Milliseconds = 2500;

/** An upstream counts as this many times slower or faster than the others of its service at most. */
const slowestSpeed = 0.2;
const fastestSpeed = 2;

/** Answers that an upstream must have given before its speed is believed. */
const leastAnswers = 5;

type Answers = {count: number; milliseconds: Milliseconds};

type Counts = {readonly rates: Float64Array; readonly answers: Map<string, Answers>; decayedAt: MonotonicTime};

/** The rates of all services. They are updated in place: there are thousands. */
export class LoadCounts {
	readonly #services = new Map<string, Counts>();

	/** Adds what an entry counted. */
	add(report: LoadReport, now: MonotonicTime): void {
		for (const {service, counts, answers} of report.services) {
			const {rates, answers: known} = this.#decayed(service, now);
			for (const [upstream, count, milliseconds] of answers) {
				const sums = known.get(upstream) ?? {count: 0, milliseconds: 0};
				known.set(upstream, {count: sums.count + count, milliseconds: sums.milliseconds + milliseconds});
			}

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

	/** How fast an upstream answers beside the others of its service: 1 is as fast, or not known. */
	speed(upstream: string, service: string, now: MonotonicTime): number {
		const {answers} = this.#decayed(service, now);
		const own = answers.get(upstream);
		if (own === undefined || own.count < leastAnswers) {
			return 1;
		}

		let count = 0;
		let milliseconds = 0;
		for (const sums of answers.values()) {
			count += sums.count;
			milliseconds += sums.milliseconds;
		}

		return Math.min(fastestSpeed, Math.max(slowestSpeed, (milliseconds / count) / (own.milliseconds / own.count)));
	}

	#decayed(service: string, now: MonotonicTime): Counts {
		const known = this.#services.get(service);
		if (known === undefined) {
			const made = {rates: new Float64Array(bucketCount), answers: new Map<string, Answers>(), decayedAt: now};
			this.#services.set(service, made);
			return made;
		}

		const factor = Math.exp((known.decayedAt - now) / memoryMilliseconds);
		known.decayedAt = now;
		for (let bucket = 0; bucket < bucketCount; bucket += 1) {
			known.rates[bucket]! *= factor;
		}

		for (const sums of known.answers.values()) {
			sums.count *= factor;
			sums.milliseconds *= factor;
		}

		return known;
	}
}
