/**
 * Distributes a route's requests over its targets by smooth weighted round robin:
 * after any number of requests, each target has received its share to within one
 * request.
 */
import {type Target} from '@dogwooddeck/directory/item';

type Credit = {readonly target: Target; credit: number};

/** The distribution of one route's requests. It is on the request path, so it is updated in place. */
export class WeightedRoundRobin {
	readonly #credits: readonly Credit[];
	readonly #total: number;

	/** `offset` is between 0 and 1 and differs by instance, so that not all instances start with the same target. */
	constructor(targets: readonly Target[], offset: number) {
		const weighted = targets.filter(({weight}) => weight > 0);
		this.#total = weighted.reduce((sum, {weight}) => sum + weight, 0);
		this.#credits = weighted.map((target, position) => ({target, credit: position === 0 ? offset * this.#total : -offset * this.#total / Math.max(1, weighted.length - 1)}));
	}

	/** Returns the service for the next request. */
	next(): string {
		let chosen = this.#credits[0]!;
		for (const credit of this.#credits) {
			credit.credit += credit.target.weight;
			if (credit.credit > chosen.credit) {
				chosen = credit;
			}
		}

		chosen.credit -= this.#total;
		return chosen.target.service;
	}
}
