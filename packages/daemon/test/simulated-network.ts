/** A simulated network that loses and delays messages by a seed, for schedules on the paused clock. */
import {type Milliseconds, type MonotonicTime} from '@dogwooddeck/model/identifiers';

/** The faults of the network. */
export type NetworkFaults = {
	/** Upper bound of the delay of a message, exclusive. */
	readonly delayMilliseconds: Milliseconds;
	/** Lost messages, in percent of all. */
	readonly loss: number;
};

type Message = {readonly at: MonotonicTime; readonly receive: () => void};

/** Messages in flight. `pick` returns an integer from 0 to below its argument. */
export class SimulatedNetwork {
	readonly #faults: NetworkFaults;
	readonly #pick: (below: number) => number;
	#messages: Message[] = [];

	constructor(faults: NetworkFaults, pick: (below: number) => number) {
		this.#faults = faults;
		this.#pick = pick;
	}

	/** Sends a message. `take` is called when it arrives. */
	send(now: MonotonicTime, receive: () => void): void {
		if (this.#pick(100) >= this.#faults.loss) {
			this.#messages.push({at: now + this.#pick(this.#faults.delayMilliseconds), receive});
		}
	}

	/** Delivers the messages that are due. */
	deliver(now: MonotonicTime): void {
		const due = this.#messages.filter(({at}) => at <= now);
		this.#messages = this.#messages.filter(({at}) => at > now);
		for (const {receive} of due) {
			receive();
		}
	}
}
