/**
 * Stops and continues reading from the peers of a process, so that their short pieces keep within their share of the loop.
 */
import {loopIdleTime, monotonicNow} from '@dogwooddeck/clock/monotonic';
import {type Milliseconds} from '@dogwooddeck/model/identifiers';
import {LoopShare} from './loop-share.js';

/** A connection that sends pieces. */
export type ThrottledPeer = {
	/** For logs. */
	readonly address: string | undefined;
	/** Stops reading. What was read already may still be parsed. */
	readonly stopReading: () => void;
	/** Allows reading again. Called by a timer, and at most once after each `stopReading`. */
	readonly continueReading: () => void;
};

/** Records what pieces take, and who is throttled. */
export type ThrottleLog = {
	/** `milliseconds`: what all short pieces have taken since the start. */
	readonly onPieces: (milliseconds: Milliseconds) => void;
	readonly onThrottled: (peer: ThrottledPeer) => void;
};

const silent: ThrottleLog = {onPieces: () => undefined, onThrottled: () => undefined};

/** Longer pieces cost about what their bytes are worth. */
const shortPieceBytes = 1024;

/** The interval at which throttled peers are looked at. */
const intervalMilliseconds = 1;

/** A loop that has waited this long for events since a peer was throttled had no other work. */
const idleMilliseconds = 0.5;

/** The reading from all peers of a process. */
export class ReadThrottle {
	readonly #share = new LoopShare<ThrottledPeer>();
	readonly #log: ThrottleLog;
	#timer: NodeJS.Timeout | undefined;
	/** The loop's idle time when a peer was throttled or continued last. */
	#idleBefore = 0;

	constructor(log = silent) {
		this.#log = log;
	}

	/** Counts a piece that was received from a peer, and throttles the peer if its pieces take too much of the loop. */
	countPiece(peer: ThrottledPeer, bytes: number): void {
		if (bytes >= shortPieceBytes) {
			return;
		}

		const mustStop = this.#share.charge(peer, monotonicNow());
		this.#log.onPieces(this.#share.taken);
		if (mustStop) {
			peer.stopReading();
			this.#idleBefore = loopIdleTime();
			this.#log.onThrottled(peer);
			this.#arm();
		}
	}

	/** Removes a peer whose connection has closed. */
	forget(peer: ThrottledPeer): void {
		this.#share.forget(peer);
	}

	#arm(): void {
		if (this.#timer === undefined && this.#share.hasThrottled) {
			this.#timer = setTimeout(() => {
				this.#timer = undefined;
				this.#continueNext();
			}, intervalMilliseconds);
			this.#timer.unref();
		}
	}

	/** One peer at a time, as what it sends next is known only once it was read. */
	#continueNext(): void {
		if (loopIdleTime() - this.#idleBefore >= idleMilliseconds) {
			this.#share.recordIdle();
		}

		const next = this.#share.takeNext(monotonicNow());
		if (next !== undefined) {
			this.#idleBefore = loopIdleTime();
			next.continueReading();
		}

		this.#arm();
	}
}
