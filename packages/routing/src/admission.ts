/**
 * Admission control of one instance for one upstream: an adaptive limit of requests
 * in flight, and a bounded queue that immediately rejects requests which can't finish
 * before their deadline.
 *
 * The queue is a small mutable object, since every request touches it twice. It reads
 * no clock and starts no timers.
 */
import {Result} from 'true-myth';
import {Importance} from '@dogwooddeck/model/contract';
import {failure, FailureKind, type Failure} from '@dogwooddeck/model/failure';
import {type Milliseconds, type MonotonicTime} from '@dogwooddeck/model/identifiers';
import {AttemptObservation} from './outcome.js';

/** A request that enters the queue. Tickets are compared by identity. */
export type Ticket = {
	readonly importance: Importance;
	readonly deadline: MonotonicTime;
	/** Called once when a queued ticket gets a slot, from within `finish` or `updateBounds`. */
	readonly admitted: () => void;
	/** Called once when a more important ticket evicts this one from the queue. */
	readonly refused: (why: Failure) => void;
};

/** How a ticket was accepted. */
export const AdmissionDecision = {
	/** The ticket has a slot; `admitted` is not called. */
	admitted: 'admitted',
	/** The ticket waits; `admitted` or `refused` is called later, unless it leaves. */
	queued: 'queued',
} as const;

export type AdmissionDecision = (typeof AdmissionDecision)[keyof typeof AdmissionDecision];

/** What the end of an attempt says about the upstream's load. */
export const RequestCompletion = {
	/** A complete response was received: the upstream keeps up. */
	answered: 'answered',
	/** The upstream shed the request, timed out or closed the connection: it is overloaded. */
	strained: 'strained',
	/** The end gives no information about the upstream's load. */
	neutral: 'neutral',
} as const;

export type RequestCompletion = (typeof RequestCompletion)[keyof typeof RequestCompletion];

const completionByObservation: Partial<Record<AttemptObservation, RequestCompletion>> = {
	[AttemptObservation.wholeAnswer]: RequestCompletion.answered,
	[AttemptObservation.shed]: RequestCompletion.strained,
	[AttemptObservation.deadlinePassedAfterFirstByte]: RequestCompletion.strained,
	[AttemptObservation.closedAfterFirstByte]: RequestCompletion.strained,
};

/** Classifies the end of an attempt for admission. */
export function completionOf(observation: AttemptObservation): RequestCompletion {
	return completionByObservation[observation] ?? RequestCompletion.neutral;
}

/** The bounds of one upstream's admission. */
export type AdmissionBounds = {
	/** The most requests that the upstream processes concurrently, from all instances. */
	readonly slots: number;
	/** The instances that send to it, including this one. */
	readonly instances: number;
	/** The most tickets that may wait. */
	readonly queueLength: number;
};

/** Admission to one upstream. */
export type Admission = {
	readonly underWay: number;
	readonly waiting: number;
	/** The current limit of requests in flight. */
	readonly limit: number;
	/** Admits or queues a ticket, or rejects it immediately with `overloaded`. */
	enter(ticket: Ticket, now: MonotonicTime): Result<AdmissionDecision, Failure>;
	/** Releases a slot and admits the next ticket. */
	finish(completion: RequestCompletion, latency: Milliseconds): void;
	/** Removes a waiting ticket. */
	leave(ticket: Ticket): void;
	/** Applies new bounds after a change of the contract or of the number of instances. */
	updateBounds(bounds: AdmissionBounds): void;
};

const latencySmoothingFactor = 0.1;
const lowImportanceShare = 0.5;

/**
 * Returns how many connections one instance may open to an upstream, so that all
 * instances together keep to the upstream's limit. May be 0.
 */
export function connectionsFor(connections: number, instances: number, position: number): number {
	const base = Math.floor(connections / instances);
	return position < connections % instances ? base + 1 : base;
}

/** The lower bound of an instance's limit: its equal share of the slots, at least one. */
function minimumLimit(bounds: AdmissionBounds): number {
	return Math.max(1, Math.floor(bounds.slots / bounds.instances));
}

class UpstreamAdmission implements Admission {
	underWay = 0;
	readonly #queue: Ticket[] = [];
	#bounds: AdmissionBounds;
	/** Grows by one slot for each round of complete responses and halves under overload; between the instance's share and all slots. */
	#fractionalLimit: number;
	#meanLatency: Milliseconds = 0;

	constructor(bounds: AdmissionBounds) {
		this.#bounds = bounds;
		this.#fractionalLimit = minimumLimit(bounds);
	}

	get waiting(): number {
		return this.#queue.length;
	}

	get limit(): number {
		return Math.floor(this.#fractionalLimit);
	}

	enter(ticket: Ticket, now: MonotonicTime): Result<AdmissionDecision, Failure> {
		if (this.underWay < this.limit && this.#queue.length === 0) {
			this.underWay++;
			return Result.ok(AdmissionDecision.admitted);
		}

		const wait = this.#expectedWait();
		if (now + wait + this.#meanLatency > ticket.deadline) {
			return this.#refusal('the request can\'t finish before the deadline', wait);
		}

		return this.#hasRoomFor(ticket) ? this.#enqueue(ticket) : this.#refusal('the queue of the key\'s owner is full', wait);
	}

	finish(completion: RequestCompletion, latency: Milliseconds): void {
		this.underWay--;
		this.#adaptLimit(completion, latency);
		this.#admitNext();
	}

	leave(ticket: Ticket): void {
		const position = this.#queue.indexOf(ticket);
		if (position !== -1) {
			this.#queue.splice(position, 1);
		}
	}

	updateBounds(bounds: AdmissionBounds): void {
		this.#bounds = bounds;
		this.#fractionalLimit = Math.min(Math.max(this.#fractionalLimit, minimumLimit(bounds)), Math.max(1, bounds.slots));
		this.#admitNext();
	}

	#expectedWait(): Milliseconds {
		return (this.#queue.length + 1) * this.#meanLatency / this.limit;
	}

	#refusal(detail: string, wait: Milliseconds): Result<AdmissionDecision, Failure> {
		return Result.err(failure(FailureKind.overloaded, detail, {retryAfterMilliseconds: Math.ceil(wait)}));
	}

	/** Low importance may fill half of the queue, and is evicted from a full one. */
	#hasRoomFor(ticket: Ticket): boolean {
		const {queueLength} = this.#bounds;
		if (ticket.importance === Importance.low) {
			return this.#queue.length < queueLength * lowImportanceShare;
		}

		return this.#queue.length < queueLength || this.#evictLowImportance();
	}

	#evictLowImportance(): boolean {
		const position = this.#queue.findLastIndex(waiting => waiting.importance === Importance.low);
		const [evicted] = position === -1 ? [] : this.#queue.splice(position, 1);
		evicted?.refused(failure(FailureKind.overloaded, 'evicted from the queue by a more important request', {retryAfterMilliseconds: Math.ceil(this.#expectedWait())}));
		return evicted !== undefined;
	}

	#enqueue(ticket: Ticket): Result<AdmissionDecision, Failure> {
		this.#queue.push(ticket);
		return Result.ok(AdmissionDecision.queued);
	}

	#adaptLimit(completion: RequestCompletion, latency: Milliseconds): void {
		if (completion === RequestCompletion.answered) {
			this.#meanLatency += (latency - this.#meanLatency) * latencySmoothingFactor;
			this.#fractionalLimit = Math.min(Math.max(1, this.#bounds.slots), this.#fractionalLimit + (1 / this.#fractionalLimit));
		} else if (completion === RequestCompletion.strained) {
			this.#fractionalLimit = Math.max(minimumLimit(this.#bounds), this.#fractionalLimit / 2);
		}
	}

	#admitNext(): void {
		while (this.underWay < this.limit) {
			const next = this.#queue.shift();
			if (next === undefined) {
				return;
			}

			this.underWay++;
			next.admitted();
		}
	}
}

/** Creates the admission control for one upstream. */
export function createAdmission(bounds: AdmissionBounds): Admission {
	return new UpstreamAdmission(bounds);
}
