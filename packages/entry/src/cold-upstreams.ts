/**
 * The cold upstreams of this instance: which upstreams count as cold, and when each
 * may be sent a request. Upstreams of services without a cold capacity never count.
 */
import {ColdWatch, coldCapacityOf} from '@dogwooddeck/directory/cold-watch';
import {type ColdCapacity} from '@dogwooddeck/directory/item';
import {type DirectoryState} from '@dogwooddeck/directory/state';
import {type UpstreamRecord} from '@dogwooddeck/directory/upstream';
import {
	type ColdPace, createLeasePace, createTurnPace, equalPart, HighestCount,
} from '@dogwooddeck/gateway/cold-admission';
import {type Milliseconds, type MonotonicTime, type ZoneName} from '@dogwooddeck/model/identifiers';

/** What is read from control instances, and who is told of requests. */
export type ColdSources = {
	/** Returns the fraction of an upstream's cold capacity that this instance holds the lease of; 0 without a lease. */
	readonly fractionOf: (upstream: string, zone: ZoneName, now: MonotonicTime) => number;
	/** Returns when a control instance in contact with the leader last confirmed the directory. */
	readonly contactAt: () => MonotonicTime;
	readonly entryCount: () => number;
	/** Called when a request is sent to a cold upstream of a service. */
	readonly onSend: (service: string) => void;
};

/** How a cold upstream is paced, and at how many requests a second. */
type PacedRate = {readonly pace: ColdPace; readonly rate: number};

const noSources: ColdSources = {
	fractionOf: () => 0, contactAt: () => Infinity, entryCount: () => 1, onSend: () => undefined,
};

/** The cold upstreams of one instance. Updated in place, as it is on the request path. */
export class ColdUpstreams {
	readonly #watch = new ColdWatch();
	readonly #entries = new HighestCount();
	readonly #leasePace: ColdPace;
	readonly #turnPace: ColdPace;
	#sources = noSources;
	#state: DirectoryState | undefined;

	/** `random` returns numbers between 0 and 1. */
	constructor(random: () => number) {
		this.#leasePace = createLeasePace(random);
		this.#turnPace = createTurnPace(random);
	}

	/** Sets where leases are read from. Without, nothing is sent to cold upstreams that hold no keys. */
	connect(sources: ColdSources): void {
		this.#sources = sources;
	}

	/** Updates to a newer directory. */
	update(state: DirectoryState, now: MonotonicTime): void {
		const isCold = (id: string): boolean => {
			const record = this.#state?.upstreams[id];
			return record !== undefined && this.coldFor(record, now) > 0;
		};

		this.#leasePace.keepOnly(isCold);
		this.#turnPace.keepOnly(isCold);
		this.#watch.update(state, now);
		this.#state = state;
		this.#entries.record(this.#sources.entryCount(), now);
	}

	/** Returns how much longer an upstream counts as cold, by the newest directory; 0 if it doesn't. */
	coldFor(record: UpstreamRecord, now: MonotonicTime): Milliseconds {
		const capacity = this.#capacityOf(record);
		if (capacity === undefined) {
			return 0;
		}

		const newest = this.#state?.upstreams[record.id] ?? record;
		return Math.max(0, this.#watch.coldUntil(newest, capacity.milliseconds, this.#sources.contactAt()) - now);
	}

	/** Returns how long until a request may be sent to an upstream; 0 if it isn't cold. */
	waitFor(record: UpstreamRecord, now: MonotonicTime): Milliseconds {
		const coldFor = this.coldFor(record, now);
		if (coldFor === 0) {
			return 0;
		}

		const {pace, rate} = this.#pacedRate(record, now);
		return Math.min(coldFor, pace.waitFor(record.id, rate, now));
	}

	/** Whether a request that was counted may still be sent: the upstream has become warm, or the instance still has a part of its capacity. */
	mayStart(record: UpstreamRecord, now: MonotonicTime): boolean {
		return this.coldFor(record, now) === 0 || this.#pacedRate(record, now).rate > 0;
	}

	/** Counts a request to an upstream. Returns whether the upstream is cold. */
	recordSend(record: UpstreamRecord, now: MonotonicTime): boolean {
		if (this.coldFor(record, now) === 0) {
			return false;
		}

		const {pace, rate} = this.#pacedRate(record, now);
		pace.recordSend(record.id, rate, now);
		this.#sources.onSend(record.service);
		return true;
	}

	#capacityOf({service}: UpstreamRecord): ColdCapacity | undefined {
		return this.#state === undefined ? undefined : coldCapacityOf(this.#state, service);
	}

	/** All instances receive requests for the keys of an upstream; other requests are left to the one with its lease. */
	#pacedRate(record: UpstreamRecord, now: MonotonicTime): PacedRate {
		const requestsPerSecond = this.#capacityOf(record)?.requestsPerSecond ?? 0;
		return this.#state?.items.service[record.service]?.value?.keyed === true
			? {pace: this.#turnPace, rate: equalPart(requestsPerSecond, this.#entries.record(this.#sources.entryCount(), now))}
			: {pace: this.#leasePace, rate: requestsPerSecond * this.#sources.fractionOf(record.id, record.zone, now)};
	}
}
