/**
 * Stops and continues reading from the peers of a process, so that their short pieces keep within their share of the loop.
 */
import {loopIdleTime, monotonicNow} from '@dogwooddeck/clock/monotonic';
import {LoopShare} from './loop-share.js';

/** A connection that sends pieces. */
export type PacedPeer = {
	/** For logs. */
	readonly address: string | undefined;
	/** Stops reading. What was read already may still be parsed. */
	readonly holdReading: () => void;
	/** Allows reading again. Called by a timer, and at most once after each `holdReading`. */
	readonly continueReading: () => void;
};

/** Counts what pieces take, for measures. */
export type PiecesRecord = {
	readonly onTime: (milliseconds: number) => void;
	readonly onHeld: (peer: PacedPeer) => void;
};

const unrecorded: PiecesRecord = {onTime: () => undefined, onHeld: () => undefined};

/** Longer pieces cost about what their bytes are worth. */
const shortPieceBytes = 1024;

/** The interval at which held peers are looked at. */
const turnMilliseconds = 1;

/** A loop that has waited this long for events since a peer was held had no other work. */
const idleMilliseconds = 0.5;

/** The reading from all peers of a process. */
export class PacedReading {
	readonly #share = new LoopShare<PacedPeer>();
	readonly #record: PiecesRecord;
	#timer: NodeJS.Timeout | undefined;
	/** The loop's idle time when a peer was held or continued last. */
	#idleBefore = 0;

	constructor(record = unrecorded) {
		this.#record = record;
	}

	/** Counts a piece that was received from a peer, and holds the peer if the pieces take too much of the loop. */
	countPiece(peer: PacedPeer, bytes: number): void {
		if (bytes >= shortPieceBytes) {
			return;
		}

		const takenBefore = this.#share.taken;
		const mustHold = this.#share.charge(peer, monotonicNow());
		this.#record.onTime(this.#share.taken - takenBefore);
		if (mustHold) {
			peer.holdReading();
			this.#idleBefore = loopIdleTime();
			this.#record.onHeld(peer);
			this.#arm();
		}
	}

	/** Removes a peer whose connection has closed. */
	forget(peer: PacedPeer): void {
		this.#share.forget(peer);
	}

	#arm(): void {
		if (this.#timer === undefined && this.#share.hasHeld) {
			this.#timer = setTimeout(() => {
				this.#timer = undefined;
				this.#continueNext();
			}, turnMilliseconds);
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
