/**
 * Divides a route's requests over its targets: after any number of requests,
 * each target has had its share to within one (smooth weighted round robin).
 */
import {type Target} from '@dogwooddeck/directory/item';

type Credit = {readonly target: Target; credit: number};

/** The division of one route. It is updated in place: it is on the request path. */
export class Split {
	readonly #credits: readonly Credit[];
	readonly #total: number;

	/** `offset` is between 0 and 1, and differs by instance so that not all begin with the same target. */
	constructor(targets: readonly Target[], offset: number) {
		const positive = targets.filter(({weight}) => weight > 0);
		this.#total = positive.reduce((sum, {weight}) => sum + weight, 0);
		this.#credits = positive.map((target, position) => ({target, credit: position === 0 ? offset * this.#total : -offset * this.#total / Math.max(1, positive.length - 1)}));
	}

	/** The service that the next request goes to. */
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
