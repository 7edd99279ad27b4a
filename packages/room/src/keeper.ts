/**
 * The keeper of the room that a zone's upstreams of one service have: it grants
 * places to the instances that ask, so that there is one queue for all of them.
 *
 * Load patterns: many instances stand before upstreams of few slots, so that the
 * limits that each finds by itself exceed the upstream; urgent requests at one
 * instance wait while another sends less urgent ones; fast upstreams are idle for
 * one instance while another waits for slow ones; a zone has more work than room
 * while the next one has room.
 *
 * A keeper begins with nothing known. Each instance may hold at most
 * `placesPerEntry` at an upstream, and takes no grant of an older keeper once it knows a
 * newer one. So the keeper withholds as many places for each instance that hasn't
 * reported since it knows this keeper, until the longest request of an earlier keeper is over.
 */
import {
	type InstanceName, type Milliseconds, type MonotonicTime, type ZoneName,
} from '@dogwooddeck/model/identifiers';
import {dispatch, type HandlerTable} from '@dogwooddeck/model/transition';
import {
	type Ask, type KeeperAnswer, type KeeperRequest, RefusalCause, type Release, type Report, type ReportAnswer,
} from './message.js';
import {type UpstreamRoom} from './upstream-room.js';
import {type WaitingAsk, WaitingOrder} from './waiting-order.js';

/** The service time that is assumed before the first answer. */
const initialMilliseconds: Milliseconds = 100;

/** An instance that has reported nothing for this long no longer counts as one of the zone. */
const entryLifeMilliseconds: Milliseconds = 30_000;

/** What other zones have told of their free places. */
export type ZoneRoom = {
	readonly zone: ZoneName;
	/** The free slots that it lends to this zone. */
	free: number;
	/** What a request loses by going there. */
	readonly costMilliseconds: Milliseconds;
	readonly toldAt: MonotonicTime;
};

/** What another zone has told isn't used for longer than this. */
const toldLifeMilliseconds: Milliseconds = 500;

export type KeeperOptions = {
	/** Later keepers of the same zone have greater terms. */
	readonly term: number;
	readonly startedAt: MonotonicTime;
	/** The longest time left until the deadline of any request. */
	readonly longestMilliseconds: Milliseconds;
	/** The instances that an earlier keeper may have granted to, in the own zone and in others; undefined if they aren't known. */
	readonly own?: readonly InstanceName[];
	readonly foreign?: readonly InstanceName[];
	/** The places that one instance may hold at an upstream; not limited if undefined. Only with a limit can a keeper grant places before all instances have reported. */
	readonly placesPerEntry?: number;
};

function keyOf({entry, ask}: {readonly entry: InstanceName; readonly ask: number}): string {
	return `${entry} ${ask}`;
}

/** The state of a keeper for one service. It is on the request path, so it is updated in place. */
export class RoomKeeper {
	readonly #options: KeeperOptions;
	#upstreams: readonly UpstreamRoom[] = [];
	/** Also those that were removed, while something is in flight at them. */
	readonly #known = new Map<string, UpstreamRoom>();
	readonly #holderOf = new Map<string, UpstreamRoom>();
	readonly #waiting = new WaitingOrder();
	/** The instances of the own zone. */
	readonly #entries = new Map<InstanceName, MonotonicTime>();
	readonly #unreportedOwn: Set<InstanceName>;
	readonly #unreportedForeign: Set<InstanceName>;
	readonly #placesPerEntry: number;
	#isSettled: boolean;
	#zones: readonly ZoneRoom[] = [];
	/** A keeper that may have a successor grants nothing, also after its process was frozen. */
	#tenureEndsAt: MonotonicTime = -Infinity;
	readonly #handlers: HandlerTable<KeeperRequest, [now: MonotonicTime], readonly KeeperAnswer[]> = {
		ask: (ask, now) => this.#handleAsk(ask, now),
		release: (release, now) => this.#handleRelease(release, now),
		report: (report, now) => this.#handleReport(report, now),
	};

	constructor(options: KeeperOptions) {
		this.#options = options;
		this.#placesPerEntry = options.placesPerEntry ?? Infinity;
		this.#isSettled = options.own !== undefined;
		this.#unreportedOwn = new Set(options.own);
		this.#unreportedForeign = new Set(options.foreign);
	}

	get waitingCount(): number {
		return this.#waiting.length;
	}

	/** The free slots that instances of other zones may use. Each zone is told all of them: an ask for one that is taken meanwhile returns to its own zone. */
	lendable(now: MonotonicTime): number {
		if (this.#waiting.length > 0 || !this.#isSettled) {
			return 0;
		}

		const withheld = this.#withheld(true);
		return this.#upstreams.reduce((sum, room) => sum + (room.hasPlace(true, withheld, now) ? Math.max(0, room.places.slots - room.inFlight) : 0), 0);
	}

	/** Returns the answer to a report. */
	answerReport({entry}: Report): ReportAnswer {
		const entries = [...this.#entries.keys()].sort();
		return {term: this.#options.term, position: Math.max(0, entries.indexOf(entry)), count: entries.length};
	}

	/** Replaces the upstreams; what is in flight at those that stay is kept. */
	setUpstreams(upstreams: readonly UpstreamRoom[]): void {
		this.#upstreams = upstreams.map(room => this.#known.get(room.id) ?? room);
		for (const room of this.#upstreams) {
			this.#known.set(room.id, room);
		}
	}

	/** The inputs of its decisions, for the log: `reportAge` is that of the oldest report of an instance of the zone. */
	figures(now: MonotonicTime): Readonly<Record<'waiting' | 'inFlight' | 'places' | 'unreported' | 'entries' | 'reportAge' | 'mean', number>> {
		return {
			waiting: this.#waiting.length,
			inFlight: this.#upstreams.reduce((sum, room) => sum + room.inFlight, 0),
			places: this.#upstreams.reduce((sum, {places: {own}}) => sum + own, 0),
			unreported: this.#unreportedOwn.size + this.#unreportedForeign.size,
			entries: this.#entries.size,
			reportAge: Math.round(now - Math.min(now, ...this.#entries.values())),
			mean: Math.round(this.#meanMilliseconds()),
		};
	}

	/** Whether what earlier grants use is not known at all. */
	get isUnsettled(): boolean {
		return !this.#isSettled;
	}

	/** Whoever decides on keepers lets this one grant until a moment, before which it has no successor. Until it is called, nothing is granted. */
	setTenure(endsAt: MonotonicTime): void {
		this.#tenureEndsAt = endsAt;
	}

	/** Replaces what other zones have told, the nearest first. */
	setZones(zones: readonly ZoneRoom[]): void {
		this.#zones = zones;
	}

	/** Handles a message of an instance; returns the answers, also to others. */
	handle(request: KeeperRequest, now: MonotonicTime): readonly KeeperAnswer[] {
		return dispatch(this.#handlers, request, now);
	}

	/** Ends what is over, grants what is free and refuses what can't start in time any more. */
	advance(now: MonotonicTime): readonly KeeperAnswer[] {
		if (now >= this.#options.startedAt + this.#options.longestMilliseconds) {
			this.#isSettled = true;
			this.#unreportedOwn.clear();
			this.#unreportedForeign.clear();
		}

		this.#expire(now);
		for (const [entry, reportedAt] of this.#entries) {
			if (now - reportedAt > entryLifeMilliseconds) {
				this.#entries.delete(entry);
			}
		}

		return [...this.#grantWaiting(now), ...this.#refuseLate(now)];
	}

	#expire(now: MonotonicTime): void {
		const current = new Set(this.#upstreams);
		for (const room of this.#known.values()) {
			for (const key of room.expire(now)) {
				this.#holderOf.delete(key);
			}

			if (room.inFlight === 0 && !current.has(room)) {
				this.#known.delete(room.id);
			}
		}
	}

	#withheld(isForeign: boolean): number {
		const {size} = isForeign ? this.#unreportedForeign : this.#unreportedOwn;
		return size === 0 ? 0 : size * this.#placesPerEntry;
	}

	#handleAsk(ask: Ask, now: MonotonicTime): readonly KeeperAnswer[] {
		const key = keyOf(ask);
		if (this.#holderOf.has(key) || this.#waiting.asks.some(waiting => waiting.key === key)) {
			return [];
		}

		if (!this.#isSettled) {
			return [{...this.#answerTo(ask), kind: 'unsettled'}];
		}

		const {waiting, ahead} = this.#waiting.place(key, ask, now);
		const grant = ahead === 0 ? this.#tryToGrant(waiting, now) : undefined;
		if (grant !== undefined) {
			return [grant];
		}

		const expectedWait = (ahead + 1) * this.#startMilliseconds(now);
		const longestDetour = Math.min(expectedWait, ask.startWithin);
		const zone = this.#zones.find(({zone: name, free, toldAt, costMilliseconds}) =>
			ask.otherZones.includes(name) && free >= 1 && now - toldAt <= toldLifeMilliseconds && costMilliseconds < longestDetour);
		if (zone !== undefined) {
			zone.free -= 1;
			return [{...this.#answerTo(ask), kind: 'elsewhere', zone: zone.zone}];
		}

		if (expectedWait > ask.startWithin || ask.isForeign) {
			return [{
				...this.#answerTo(ask), kind: 'refuse', cause: RefusalCause.noTimeToWait, retryWithin: expectedWait,
			}];
		}

		this.#waiting.add(waiting);
		return [];
	}

	#handleRelease(release: Release, now: MonotonicTime): readonly KeeperAnswer[] {
		const key = keyOf(release);
		this.#holderOf.get(key)?.remove(key, release, now);
		this.#holderOf.delete(key);
		this.#waiting.remove(key);
		return this.#grantWaiting(now);
	}

	#handleReport({
		entry, held, isForeign, term,
	}: Report, now: MonotonicTime): readonly KeeperAnswer[] {
		// Before it knows this term, the instance may still take a grant of the earlier keeper.
		if (term === this.#options.term) {
			(isForeign ? this.#unreportedForeign : this.#unreportedOwn).delete(entry);
		}

		if (!isForeign) {
			this.#entries.set(entry, now);
		}

		for (const {ask, upstream, endWithin} of held) {
			const key = keyOf({entry, ask});
			const room = this.#known.get(upstream);
			if (room !== undefined && !this.#holderOf.has(key)) {
				room.add(key, {
					entry, isForeign, at: now, endsAt: now + endWithin,
				});
				this.#holderOf.set(key, room);
			}
		}

		return this.#grantWaiting(now);
	}

	#grantWaiting(now: MonotonicTime): readonly KeeperAnswer[] {
		const answers: KeeperAnswer[] = [];
		for (const waiting of this.#waiting.asks) {
			if (!this.#upstreams.some(room => this.#hasRoom(room, false, now))) {
				break;
			}

			const grant = this.#tryToGrant(waiting, now);
			if (grant !== undefined) {
				answers.push(grant);
				this.#waiting.remove(waiting.key);
			}
		}

		return answers;
	}

	#refuseLate(now: MonotonicTime): readonly KeeperAnswer[] {
		const startMilliseconds = this.#startMilliseconds(now);
		return this.#waiting.removeLate(startMilliseconds, now).map(({ask}) => ({
			...this.#answerTo(ask), kind: 'refuse', cause: RefusalCause.waitedTooLong, retryWithin: this.#waiting.length * startMilliseconds,
		}));
	}

	#hasRoom(room: UpstreamRoom, isForeign: boolean, now: MonotonicTime): boolean {
		return room.inFlight < room.places.own && room.hasPlace(isForeign, this.#withheld(isForeign), now);
	}

	/** Grants a place at the upstream that is expected to answer first, if it does so before the deadline. */
	#tryToGrant({key, ask, arrivedAt}: WaitingAsk, now: MonotonicTime): KeeperAnswer | undefined {
		const mean = this.#meanMilliseconds();
		const left = arrivedAt + ask.endWithin - now;
		if (now >= this.#tenureEndsAt || !this.#isSettled) {
			return undefined;
		}

		let best: UpstreamRoom | undefined;
		let bestMilliseconds = left;
		for (const room of this.#upstreams) {
			const {slots} = room.places;
			if (!this.#hasRoom(room, ask.isForeign, now) || room.countOf(ask.entry) >= this.#placesPerEntry) {
				continue;
			}

			const milliseconds = room.serviceTime(mean, now) * Math.max(1 + (room.inFlight / slots / 10), (room.inFlight + 1) / slots);
			if (milliseconds < bestMilliseconds) {
				best = room;
				bestMilliseconds = milliseconds;
			}
		}

		if (best === undefined) {
			return undefined;
		}

		best.add(key, {
			entry: ask.entry, isForeign: ask.isForeign, at: now, endsAt: arrivedAt + ask.endWithin,
		});
		this.#holderOf.set(key, best);
		return {...this.#answerTo(ask), kind: 'grant', upstream: best.id};
	}

	#answerTo({entry, ask}: Ask): {readonly entry: InstanceName; readonly ask: number; readonly term: number} {
		return {entry, ask, term: this.#options.term};
	}

	#meanMilliseconds(): Milliseconds {
		let sum = 0;
		let count = 0;
		for (const {measured} of this.#upstreams) {
			sum += measured ?? 0;
			count += measured === undefined ? 0 : 1;
		}

		return count === 0 ? initialMilliseconds : sum / count;
	}

	/** The expected time between two starts while all slots are taken. */
	#startMilliseconds(now: MonotonicTime): Milliseconds {
		const mean = this.#meanMilliseconds();
		let startsPerMillisecond = 0;
		for (const room of this.#upstreams) {
			startsPerMillisecond += room.places.slots / room.serviceTime(mean, now);
		}

		return 1 / startsPerMillisecond;
	}
}
