/**
 * The leases of cold upstreams at one entry instance: which control instances have
 * named this instance for an upstream, and until when that holds.
 *
 * The control instances of an upstream's zone assign its lease, each an equal
 * fraction of its capacity, so that they need not agree. A message counts from the
 * time that it was sent: a process that was suspended finds old messages in its
 * sockets. The difference of the two clocks is taken to be so small that the first
 * message of a stream was sent as soon as the stream was requested.
 */
import {
	type InstanceName, type Milliseconds, type MonotonicTime, type ZoneName,
} from '@dogwooddeck/model/identifiers';

/** A lease is valid for this long after its message was sent: two messages may be lost or late. */
export const leaseMilliseconds: Milliseconds = 600;

/** How fast the assumed difference of the clocks may grow: they drift, and the first message of a stream may have been slow. */
const driftShare = 0.01;

/** The parts of a control instance's message that leases are read from. */
export type ColdLeaseMessage = {
	readonly zone: ZoneName;
	/** The time on the sender's clock, whose origin is unknown. */
	readonly sentAt?: MonotonicTime;
	/** The upstreams that each entry holds the lease of. */
	readonly cold?: Readonly<Record<InstanceName, readonly string[]>>;
	/** The addresses of all known control instances. */
	readonly members: readonly string[];
};

/** The leases that one message or the passing of time has changed. */
export type LeaseChanges = {readonly gained: readonly string[]; readonly lost: readonly string[]};

type Assigner = {
	zone: ZoneName | undefined;
	/** When the stream was requested. */
	openedAt: MonotonicTime;
	/** What this instance's clock is assumed to be ahead of the sender's; undefined before the first message of the stream. */
	offset: number | undefined;
	receivedAt: MonotonicTime;
	upstreams: ReadonlySet<string>;
	until: MonotonicTime;
};

/** The leases of one entry instance. Updated in place, as they are read on the request path. */
export class ColdLeases {
	readonly #name: InstanceName;
	readonly #assigners = new Map<string, Assigner>();
	#members: readonly string[] = [];
	#held: ReadonlySet<string> = new Set();

	constructor(name: InstanceName) {
		this.#name = name;
	}

	/** Forgets the clock of a control instance, as a new stream from it is requested: it may have restarted. */
	open(control: string, now: MonotonicTime): void {
		const assigner = this.#assigners.get(control) ?? {zone: undefined, upstreams: new Set<string>(), until: -Infinity};
		this.#assigners.set(control, {
			...assigner, openedAt: now, offset: undefined, receivedAt: now,
		});
	}

	/** Reads a message of a control instance whose stream was opened. */
	receive(control: string, {zone, sentAt, cold, members}: ColdLeaseMessage, now: MonotonicTime): void {
		const assigner = this.#assigners.get(control);
		this.#members = members;
		if (assigner === undefined) {
			return;
		}

		assigner.zone = zone;
		if (sentAt === undefined) {
			return;
		}

		assigner.offset = assigner.offset === undefined
			? assigner.openedAt - sentAt
			: Math.min(assigner.offset + ((now - assigner.receivedAt) * driftShare), now - sentAt);
		assigner.receivedAt = now;
		assigner.upstreams = new Set(cold?.[this.#name]);
		assigner.until = sentAt + assigner.offset + leaseMilliseconds;
	}

	/** Returns the fraction of a cold upstream's capacity that this instance may use; 0 without a lease. */
	fractionOf(upstream: string, zone: ZoneName, now: MonotonicTime): number {
		let leases = 0;
		for (const assigner of this.#assigners.values()) {
			if (assigner.zone === zone && now < assigner.until && assigner.upstreams.has(upstream)) {
				leases += 1;
			}
		}

		return leases === 0 ? 0 : Math.min(1, leases / this.#assignersOf(zone));
	}

	/** Returns the changes since the last call. */
	takeChanges(now: MonotonicTime): LeaseChanges {
		const held = new Set([...this.#assigners.values()].flatMap(({until, upstreams}) => now < until ? [...upstreams] : []));
		const changes = {gained: [...held].filter(id => !this.#held.has(id)), lost: [...this.#held].filter(id => !held.has(id))};
		this.#held = held;
		return changes;
	}

	/** The number of control instances that may assign leases in a zone: those in it, and those whose zone isn't known. */
	#assignersOf(zone: ZoneName): number {
		const known = this.#members.filter(member => {
			const assigner = this.#assigners.get(member);
			return assigner?.zone === undefined || assigner.zone === zone;
		});
		return Math.max(1, known.length);
	}
}
