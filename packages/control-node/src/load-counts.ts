/**
 * The request rates of each service's keys and the relative speeds of its
 * upstreams, computed from the load reports of entries.
 *
 * Two load patterns matter. At low rates counts vary by chance and need a long
 * time constant; a run of keys gets hot within a second and cools down as fast.
 */
import {type LoadReport} from '@dogwooddeck/mesh/calls';
import {type Milliseconds, type MonotonicTime} from '@dogwooddeck/model/identifiers';
import {type KeyRate} from '@dogwooddeck/key-lease/planning';
import {keyCount} from '@dogwooddeck/key-lease/range';
import {KeyCounts, longDecayMilliseconds} from './key-counts.js';

/** Bounds of the speed of an upstream relative to the others of its service. */
const minimumSpeed = 0.2;
const maximumSpeed = 2;

/** Minimum decayed count of answers from an upstream before its speed is used. */
const minimumAnswers = 5;

/** Standard deviation of answer times, relative to their mean. */
const relativeDeviation = 1;

/** A measured speed replaces the current estimate if it differs by more than this many standard deviations: each change of speed moves keys. */
const speedSignificance = 2.5;

type AnswerTotals = {readonly count: number; readonly milliseconds: Milliseconds};

type ServiceCounts = {
	readonly keys: KeyCounts;
	answers: ReadonlyMap<string, AnswerTotals>;
	/** The sum over all upstreams. */
	allAnswers: AnswerTotals;
	/** The current speed estimates of upstreams whose estimate has changed from the initial 1. */
	readonly speeds: Map<string, number>;
	decayedAt: MonotonicTime;
};

function sumOf(answers: ReadonlyMap<string, AnswerTotals>): AnswerTotals {
	const sums = [...answers.values()];
	return {
		count: sums.reduce((sum, one) => sum + one.count, 0),
		milliseconds: sums.reduce((sum, one) => sum + one.milliseconds, 0),
	};
}

/** The counts of all services. Mutable, since there are thousands of counts. */
export class LoadCounts {
	readonly #services = new Map<string, ServiceCounts>();

	/** Adds a load report. Answers of overloaded upstreams include the time in their queues, and tell nothing about their speed. */
	add(report: LoadReport, now: MonotonicTime, isOverloaded: (upstream: string) => boolean = () => false): void {
		for (const {service, counts, answers} of report.services) {
			const serviceCounts = this.#decayedCounts(service, now);
			for (const [key, count] of counts) {
				if (key >= 0 && key < keyCount) {
					serviceCounts.keys.add(key, count, now);
				}
			}

			const sums = new Map(serviceCounts.answers);
			for (const [upstream, count, milliseconds] of answers.filter(([answering]) => !isOverloaded(answering))) {
				const sum = sums.get(upstream) ?? {count: 0, milliseconds: 0};
				sums.set(upstream, {count: sum.count + count, milliseconds: sum.milliseconds + milliseconds});
			}

			serviceCounts.answers = sums;
			serviceCounts.allAnswers = sumOf(sums);
		}
	}

	/** Requests per second of the keys of a service that are not idle, in key order. */
	rates(service: string, now: MonotonicTime): readonly KeyRate[] {
		return this.#decayedCounts(service, now).keys.rates(now);
	}

	/** The mean answer time of the upstreams of a service; undefined if no answers were counted. */
	meanLatency(service: string, now: MonotonicTime): Milliseconds | undefined {
		const {count, milliseconds} = this.#decayedCounts(service, now).allAnswers;
		return count === 0 ? undefined : milliseconds / count;
	}

	/** The speed of an upstream relative to the mean of its service, which is 1; also 1 if there are too few answers. It changes only if the difference is statistically significant. */
	speed(upstream: string, service: string, now: MonotonicTime): number {
		const {answers, allAnswers: {count, milliseconds}, speeds} = this.#decayedCounts(service, now);
		const own = answers.get(upstream);
		if (own === undefined || own.count < minimumAnswers) {
			return 1;
		}

		const current = speeds.get(upstream) ?? 1;
		const measured = Math.min(maximumSpeed, Math.max(minimumSpeed, (milliseconds / count) / (own.milliseconds / own.count)));
		if (Math.abs(measured - current) <= speedSignificance * current * relativeDeviation / Math.sqrt(own.count)) {
			return current;
		}

		speeds.set(upstream, measured);
		return measured;
	}

	#decayedCounts(service: string, now: MonotonicTime): ServiceCounts {
		const existing = this.#services.get(service);
		if (existing === undefined) {
			const created: ServiceCounts = {
				keys: new KeyCounts(), answers: new Map(), allAnswers: {count: 0, milliseconds: 0}, speeds: new Map(), decayedAt: now,
			};
			this.#services.set(service, created);
			return created;
		}

		const passed = now - existing.decayedAt;
		if (passed > 0) {
			const factor = Math.exp(-passed / longDecayMilliseconds);
			existing.decayedAt = now;
			existing.answers = new Map([...existing.answers].map(([upstream, {count, milliseconds}]) => [upstream, {count: count * factor, milliseconds: milliseconds * factor}]));
			existing.allAnswers = sumOf(existing.answers);
		}

		return existing;
	}
}
