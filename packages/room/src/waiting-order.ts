/**
 * The order of the requests that wait at a keeper, over all instances of the zone.
 *
 * Load patterns: a burst of the least urgent kind, behind which urgent requests must
 * not wait; one instance with most of the callers, behind whose requests those of
 * the others must not wait.
 */
import {type Milliseconds, type MonotonicTime} from '@dogwooddeck/model/identifiers';
import {type Ask} from './message.js';

/** An ask that waits. */
export type WaitingAsk = {
	readonly key: string;
	readonly ask: Ask;
	readonly arrivedAt: MonotonicTime;
	/** The number of asks of the same instance and priority that waited when it came: instances take turns. */
	readonly turn: number;
	/** Until then its start is likely to meet the objective. */
	readonly startBy: MonotonicTime;
};

function compare(one: WaitingAsk, other: WaitingAsk): number {
	return one.ask.priority - other.ask.priority || one.turn - other.turn || one.startBy - other.startBy;
}

/** Updated in place, as it is on the request path. */
export class WaitingOrder {
	#asks: WaitingAsk[] = [];

	get length(): number {
		return this.#asks.length;
	}

	/** All asks, the next one first. */
	get asks(): readonly WaitingAsk[] {
		return this.#asks;
	}

	/** Returns the ask with its place in the order. */
	place(key: string, ask: Ask, now: MonotonicTime): {readonly waiting: WaitingAsk; readonly ahead: number} {
		const turn = this.#asks.filter(other => other.ask.entry === ask.entry && other.ask.priority === ask.priority).length;
		const waiting: WaitingAsk = {
			key, ask, arrivedAt: now, turn, startBy: now + ask.startWithin,
		};
		return {waiting, ahead: this.#asks.filter(other => compare(other, waiting) <= 0).length};
	}

	add(waiting: WaitingAsk): void {
		const position = this.#asks.findIndex(other => compare(waiting, other) < 0);
		this.#asks.splice(position === -1 ? this.#asks.length : position, 0, waiting);
	}

	remove(key: string): void {
		this.#asks = this.#asks.filter(waiting => waiting.key !== key);
	}

	/** Removes and returns the asks that can't start in time any more, each slot of `startMilliseconds` being one start. */
	removeLate(startMilliseconds: Milliseconds, now: MonotonicTime): readonly WaitingAsk[] {
		const late: WaitingAsk[] = [];
		const kept: WaitingAsk[] = [];
		for (const waiting of this.#asks) {
			(now + (kept.length * startMilliseconds) > waiting.startBy ? late : kept).push(waiting);
		}

		this.#asks = kept;
		return late;
	}
}
