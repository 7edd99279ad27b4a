/**
 * The simulated environment of a schedule: true time, clocks that drift,
 * processes that pause and crash, and a network that loses, delays, duplicates
 * and reorders messages.
 */

/** Creates a seeded generator of pseudorandom numbers between 0 and 1 (Park and Miller's). */
export function randomFrom(seed: number): () => number {
	const modulus = 2_147_483_647;
	let state = (Math.abs(seed) % (modulus - 1)) + 1;
	return () => {
		state = (state * 48_271) % modulus;
		return state / modulus;
	};
}

/** A process, of which one incarnation runs at a time. */
export class Process {
	incarnation = 1;
	paused = false;
	readonly #backlog: Array<() => void> = [];

	constructor(readonly name: string, readonly zone: string, readonly clock: {readonly offset: number; readonly rate: number}) {}

	/** Runs work of one incarnation, or queues it until a paused process resumes. Work of an earlier incarnation is dropped. */
	run(incarnation: number, work: () => void): void {
		if (incarnation !== this.incarnation) {
			return;
		}

		if (this.paused) {
			this.#backlog.push(() => {
				this.run(incarnation, work);
			});
			return;
		}

		work();
	}

	proceed(): void {
		this.paused = false;
		for (const work of this.#backlog.splice(0)) {
			work();
		}
	}

	/** Ends this incarnation and starts the next one at once. */
	restart(): void {
		this.incarnation += 1;
		this.paused = false;
		this.#backlog.length = 0;
	}
}

/** The resolution of true time. */
const ticksPerMillisecond = 4;

/** True time and the network. */
export class Simulation {
	time = 0;
	readonly random: () => number;
	/** Partition numbers of zones and processes, which reach only those with the same number. The default is 0. */
	readonly partitionNumbers = new Map<string, number>();
	readonly #agenda = new Map<number, Array<() => void>>();
	#tick = 0;

	constructor(seed: number, readonly loss: number) {
		this.random = randomFrom(seed);
	}

	now(process: Process): number {
		return process.clock.offset + (this.time * process.clock.rate);
	}

	pick<Item>(items: readonly Item[]): Item | undefined {
		return items[Math.floor(this.random() * items.length)];
	}

	reaches(from: Process, to: Process): boolean {
		return this.#partitionOf(from) === this.#partitionOf(to);
	}

	after(milliseconds: number, work: () => void): void {
		const tick = this.#tick + Math.max(1, Math.round(milliseconds * ticksPerMillisecond));
		const agenda = this.#agenda.get(tick);
		if (agenda === undefined) {
			this.#agenda.set(tick, [work]);
		} else {
			agenda.push(work);
		}
	}

	/** Schedules work of a process's current incarnation. */
	afterIn(process: Process, milliseconds: number, work: () => void): void {
		const {incarnation} = process;
		this.after(milliseconds, () => {
			process.run(incarnation, work);
		});
	}

	/** Delivers work to a process through the network once, twice or never. */
	send(from: Process, to: Process, work: () => void): void {
		const copies = this.random() < this.loss ? 2 : 1;
		for (let copy = 0; copy < copies; copy += 1) {
			this.#sendOnce(from, to, work);
		}
	}

	/** Sends a request to a process and delivers its answer. */
	call<Answer>(from: Process, to: Process, handle: () => Answer | undefined, onAnswer: (answer: Answer) => void): void {
		const {incarnation} = from;
		this.send(from, to, () => {
			const answer = handle();
			if (answer !== undefined) {
				this.send(to, from, () => {
					from.run(incarnation, () => {
						onAnswer(answer);
					});
				});
			}
		});
	}

	/** Partitions zones and processes from all others for a duration. */
	partition(names: readonly string[], milliseconds: number): void {
		for (const name of names) {
			this.partitionNumbers.set(name, 1);
		}

		this.after(milliseconds, () => {
			for (const name of names) {
				this.partitionNumbers.delete(name);
			}
		});
	}

	runUntil(end: number): void {
		while (this.time < end) {
			this.#tick += 1;
			this.time = this.#tick / ticksPerMillisecond;
			const agenda = this.#agenda.get(this.#tick) ?? [];
			this.#agenda.delete(this.#tick);
			for (const work of agenda) {
				work();
			}
		}
	}

	#partitionOf(process: Process): number {
		return this.partitionNumbers.get(process.name) ?? this.partitionNumbers.get(process.zone) ?? 0;
	}

	#sendOnce(from: Process, to: Process, work: () => void): void {
		if (this.random() < this.loss || !this.reaches(from, to)) {
			return;
		}

		const {incarnation} = to;
		this.after(this.#delay(from.zone, to.zone), () => {
			if (this.reaches(from, to)) {
				to.run(incarnation, work);
			}
		});
	}

	#delay(from: string, to: string): number {
		const extraDelay = this.random() < this.loss ? this.random() * 2500 : 0;
		const region = from.at(0) === to.at(0) ? 1.5 : 30;
		return (from === to ? 0.3 : region) + (this.random() * 2) + extraDelay;
	}
}
