/**
 * What a replay measures, and how measures of several services are put together.
 */

/** Sums of one replay, while it goes on and after. */
export type Measures = {
	unavailableKeySeconds: number;
	/** The part of these that cuts of zones and regions cause by themselves. */
	cutKeySeconds: number;
	/** Slots that changed their owner. */
	moves: number;
	/** Those of them whose owner went away. */
	forcedMoves: number;
	/** Keys that changed their owner. */
	keysMoved: number;
	/** Changes of the registry that made a move necessary or possible. */
	events: number;
	/** Requests and answers over the link between regions, and state of keys that moved. */
	linkBytes: number;
	requests: number;
	refused: number;
	keyImbalanceSum: number;
	loadImbalanceSum: number;
	latencySum: number;
	highLatencySum: number;
	samples: number;
};

/** Sums before anything is measured. */
export function noMeasures(): Measures {
	return {
		unavailableKeySeconds: 0,
		cutKeySeconds: 0,
		moves: 0,
		forcedMoves: 0,
		keysMoved: 0,
		events: 0,
		linkBytes: 0,
		requests: 0,
		refused: 0,
		keyImbalanceSum: 0,
		loadImbalanceSum: 0,
		latencySum: 0,
		highLatencySum: 0,
		samples: 0,
	};
}

/** The sums of several replays together. */
export function addMeasures(all: readonly Measures[]): Measures {
	const total = noMeasures();
	for (const measures of all) {
		for (const field of Object.keys(total) as Array<keyof Measures>) {
			total[field] += measures[field];
		}
	}

	return total;
}
