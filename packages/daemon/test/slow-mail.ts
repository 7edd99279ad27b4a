/** Messages that are lost or late by a seed, for schedules on the paused clock. */
import {type Milliseconds, type MonotonicTime} from '@dogwooddeck/model/identifiers';

/** What happens to messages. */
export type MailFaults = {
	/** Messages take less than this. */
	readonly delayMilliseconds: Milliseconds;
	/** In hundredths of all messages. */
	readonly loss: number;
};

type Message = {readonly at: MonotonicTime; readonly take: () => void};

/** Messages on their way. `pick` gives a whole number below its argument. */
export class SlowMail {
	readonly #faults: MailFaults;
	readonly #pick: (below: number) => number;
	#messages: Message[] = [];

	constructor(faults: MailFaults, pick: (below: number) => number) {
		this.#faults = faults;
		this.#pick = pick;
	}

	/** Sends a message, which `take` receives. */
	send(now: MonotonicTime, take: () => void): void {
		if (this.#pick(100) >= this.#faults.loss) {
			this.#messages.push({at: now + this.#pick(this.#faults.delayMilliseconds), take});
		}
	}

	/** Delivers what has arrived. */
	deliver(now: MonotonicTime): void {
		const due = this.#messages.filter(({at}) => at <= now);
		this.#messages = this.#messages.filter(({at}) => at > now);
		for (const {take} of due) {
			take();
		}
	}
}
