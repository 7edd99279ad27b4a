/**
 * What an upstream has told of its load in its answers, as an estimate that decays
 * within moments, and how far it can be relied on.
 *
 * Load patterns: neighbours on an upstream's machine make it slow for some hundred
 * milliseconds; an upstream is fuller than one instance knows, as other instances send
 * to it. Figures may also be false: what they foretell is compared with the latency
 * that follows, and they lose weight where the measured latency foretells it better.
 */
import {type Milliseconds, type MonotonicTime} from '@dogwooddeck/model/identifiers';

/** The figures of one answer. */
export type LoadFigures = {
	readonly running: number;
	readonly waiting: number;
	/** The number of requests that the upstream processes concurrently; at least 1. */
	readonly slots: number;
	/** How long work takes on its machine now, as a multiple of the usual time; 1 if the answer doesn't say. */
	readonly slowdown: number;
};

/** Figures are without weight after this long. */
const lifetimeMilliseconds: Milliseconds = 600;

/** How many of the last figures are kept to compare them with what followed. */
const keptFigures = 4;

/** The weight of a new comparison in the reliance on the figures. */
const comparisonWeight = 0.15;

/** A prediction that is off by this much more than the measured latency (as a logarithm) is no worse: the work of requests varies. */
const tolerance = 0.15;

type ReceivedFigures = LoadFigures & {
	readonly at: MonotonicTime;
	/** The requests that other instances had there. */
	readonly others: number;
};

/** Returns the expected time until an answer, with `ahead` requests before it. */
function expectedMilliseconds({slots, slowdown}: LoadFigures, ahead: number, latency: Milliseconds): Milliseconds {
	return latency * slowdown * Math.max(1, (ahead + 1) / slots);
}

/** What one upstream has told. Updated in place, as it is on the request path. */
export class ToldLoad {
	/** The newest figures come last. */
	#received: readonly ReceivedFigures[] = [];
	#reliance = 1;

	/** Records the figures of an answer; `inFlight` is the number of this instance's other requests there. */
	record(figures: LoadFigures, inFlight: number, now: MonotonicTime): void {
		const others = Math.max(0, figures.running + figures.waiting - inFlight);
		this.#received = [...this.#received.slice(1 - keptFigures), {...figures, at: now, others}];
	}

	/** Forgets the figures: the upstream refused, failed or fell silent, whatever they say. */
	discard(): void {
		this.#received = [];
	}

	/** Compares what the figures foretold of a request that took `milliseconds` with the latency measured before it. */
	compare(milliseconds: Milliseconds, latency: Milliseconds, now: MonotonicTime): void {
		const sentAt = now - milliseconds;
		const figures = this.#received.findLast(({at}) => at <= sentAt);
		if (figures === undefined || sentAt - figures.at >= lifetimeMilliseconds || milliseconds <= 0) {
			return;
		}

		const foretold = expectedMilliseconds(figures, figures.others, latency);
		const isNoWorse = Math.abs(Math.log(milliseconds / foretold)) <= Math.abs(Math.log(milliseconds / latency)) + tolerance;
		this.#reliance += ((isNoWorse ? 1 : 0) - this.#reliance) * comparisonWeight;
	}

	/** Returns the expected time until an answer: `measured` from the instance's own measurements, and what the figures say as far as they are fresh and reliable. */
	expect(measured: Milliseconds, latency: Milliseconds, inFlight: number, now: MonotonicTime): Milliseconds {
		const figures = this.#received.at(-1);
		if (figures === undefined || now - figures.at >= lifetimeMilliseconds) {
			return measured;
		}

		const weight = this.#reliance * (1 - ((now - figures.at) / lifetimeMilliseconds));
		return measured + ((expectedMilliseconds(figures, inFlight + figures.others, latency) - measured) * weight);
	}
}
