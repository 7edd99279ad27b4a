/**
 * Admission to one upstream as one instance sees it: how many requests may be
 * under way, and a bounded queue that refuses at once what can't be done in time.
 *
 * The queue is a small mutable structure, since it is touched twice by every
 * request; it reads no clock and starts nothing itself.
 */
import {Result} from 'true-myth';
import {Importance} from '@dogwooddeck/model/contract';
import {failure, FailureKind, type Failure} from '@dogwooddeck/model/failure';
import {type Milliseconds, type MonotonicTime} from '@dogwooddeck/model/identifiers';
import {AttemptObservation} from './outcome.js';

/** What waits for a slot. The queue compares tickets by identity. */
export type Ticket = {
	readonly importance: Importance;
	readonly deadline: MonotonicTime;
	/** Called once, outside of the queue's own calls, when the ticket got a slot. */
	readonly admitted: () => void;
	/** Called once when the ticket has to make room for a more important one. */
	readonly refused: (why: Failure) => void;
};

/** How a ticket was taken. */
export const AdmissionDecision = {
	/** It has a slot; `admitted` is not called. */
	admitted: 'admitted',
	/** It waits; `admitted` or `refused` is called later, unless it leaves. */
	queued: 'queued',
} as const;

/** One of the ways in. */
export type AdmissionDecision = (typeof AdmissionDecision)[keyof typeof AdmissionDecision];

/** How an attempt ended, as far as admission goes. */
export const RequestCompletion = {
	/** A whole answer came: the upstream keeps up. */
	answered: 'answered',
	/** The upstream shed, timed out or cut: it does not keep up. */
	strained: 'strained',
	/** The end says nothing about the upstream's load. */
	neutral: 'neutral',
} as const;

/** One of the ends. */
export type RequestCompletion = (typeof RequestCompletion)[keyof typeof RequestCompletion];

const finishedBySeen: Partial<Record<AttemptObservation, RequestCompletion>> = {
	[AttemptObservation.wholeAnswer]: RequestCompletion.answered,
	[AttemptObservation.shed]: RequestCompletion.strained,
	[AttemptObservation.deadlinePassedAfterFirstByte]: RequestCompletion.strained,
	[AttemptObservation.closedAfterFirstByte]: RequestCompletion.strained,
};

/** What the end of an attempt says about the upstream's load. */
export function completionOf(seen: AttemptObservation): RequestCompletion {
	return finishedBySeen[seen] ?? RequestCompletion.neutral;
}

/** The bounds of one upstream's admission. */
export type AdmissionBounds = {
	/** The slots of the upstream. */
	readonly slots: number;
	/** The instances that send to it, this one among them. */
	readonly instances: number;
	/** The most tickets that wait. */
	readonly queueLength: number;
};

/** Admission to one upstream. */
export type Admission = {
	readonly underWay: number;
	readonly waiting: number;
	/** The requests that may be under way now. */
	readonly limit: number;
	/** Takes a ticket, or refuses it at once with `overloaded`. */
	enter(ticket: Ticket, now: MonotonicTime): Result<AdmissionDecision, Failure>;
	/** Gives a slot back and admits who is next. */
	finish(how: RequestCompletion, latency: Milliseconds): void;
	/** Takes a waiting ticket out. */
	leave(ticket: Ticket): void;
	/** Changes the bounds, as upstreams' contracts and the number of instances do. */
	rebound(bounds: AdmissionBounds): void;
};

const latencyWeight = 0.1;
const lowImportanceShare = 0.5;

/**
 * The connections that one instance may have to an upstream, so that all
 * instances together keep to the upstream's. 0: this instance has none.
 */
export function connectionsFor(connections: number, instances: number, position: number): number {
	const whole = Math.floor(connections / instances);
	return position < connections % instances ? whole + 1 : whole;
}

/** What an instance may always use: its share of the slots, and no less than one. */
function shareOf(bounds: AdmissionBounds): number {
	return Math.max(1, Math.floor(bounds.slots / bounds.instances));
}

class UpstreamAdmission implements Admission {
	underWay = 0;
	readonly #queue: Ticket[] = [];
	#bounds: AdmissionBounds;
	/** Grows by one slot for each round of whole answers and halves under strain; from the share to all slots. */
	#allowed: number;
	#latency: Milliseconds = 0;

	constructor(bounds: AdmissionBounds) {
		this.#bounds = bounds;
		this.#allowed = shareOf(bounds);
	}

	get waiting(): number {
		return this.#queue.length;
	}

	get limit(): number {
		return Math.floor(this.#allowed);
	}

	enter(ticket: Ticket, now: MonotonicTime): Result<AdmissionDecision, Failure> {
		if (this.underWay < this.limit && this.#queue.length === 0) {
			this.underWay++;
			return Result.ok(AdmissionDecision.admitted);
		}

		const wait = this.#expectedWait();
		if (now + wait + this.#latency > ticket.deadline) {
			return this.#refusal('the work can\'t be done before the deadline', wait);
		}

		return this.#hasRoomFor(ticket) ? this.#enqueue(ticket) : this.#refusal('the queue of the key\'s owner is full', wait);
	}

	finish(how: RequestCompletion, latency: Milliseconds): void {
		this.underWay--;
		this.#learn(how, latency);
		this.#admitNext();
	}

	leave(ticket: Ticket): void {
		const position = this.#queue.indexOf(ticket);
		if (position !== -1) {
			this.#queue.splice(position, 1);
		}
	}

	rebound(bounds: AdmissionBounds): void {
		this.#bounds = bounds;
		this.#allowed = Math.min(Math.max(this.#allowed, shareOf(bounds)), Math.max(1, bounds.slots));
		this.#admitNext();
	}

	#expectedWait(): Milliseconds {
		return (this.#queue.length + 1) * this.#latency / this.limit;
	}

	#refusal(detail: string, wait: Milliseconds): Result<AdmissionDecision, Failure> {
		return Result.err(failure(FailureKind.overloaded, detail, {retryAfterMilliseconds: Math.ceil(wait)}));
	}

	/** Work of low importance has half of the queue, and gives way in a full one. */
	#hasRoomFor(ticket: Ticket): boolean {
		const {queueLength} = this.#bounds;
		if (ticket.importance === Importance.low) {
			return this.#queue.length < queueLength * lowImportanceShare;
		}

		return this.#queue.length < queueLength || this.#evictLow();
	}

	#evictLow(): boolean {
		const position = this.#queue.findLastIndex(waiting => waiting.importance === Importance.low);
		const [evicted] = position === -1 ? [] : this.#queue.splice(position, 1);
		evicted?.refused(failure(FailureKind.overloaded, 'more important work took its place', {retryAfterMilliseconds: Math.ceil(this.#expectedWait())}));
		return evicted !== undefined;
	}

	#enqueue(ticket: Ticket): Result<AdmissionDecision, Failure> {
		this.#queue.push(ticket);
		return Result.ok(AdmissionDecision.queued);
	}

	#learn(how: RequestCompletion, latency: Milliseconds): void {
		if (how === RequestCompletion.answered) {
			this.#latency += (latency - this.#latency) * latencyWeight;
			this.#allowed = Math.min(Math.max(1, this.#bounds.slots), this.#allowed + (1 / this.#allowed));
		} else if (how === RequestCompletion.strained) {
			this.#allowed = Math.max(shareOf(this.#bounds), this.#allowed / 2);
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

/** Opens the admission to one upstream. */
export function createAdmission(bounds: AdmissionBounds): Admission {
	return new UpstreamAdmission(bounds);
}
