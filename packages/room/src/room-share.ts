/**
 * The part of one instance in the room of a service: it asks the keeper of its zone
 * for a place for each request, goes to the keepers of other zones when it is told
 * to, and without a keeper uses a few places that no keeper grants.
 *
 * Load patterns: the keeper is lost, frozen or cut off while requests arrive; it
 * thaws, or a new one starts, while grants of the old one are in use.
 */
import {
	type InstanceName, type Milliseconds, type MonotonicTime, type UpstreamName, type ZoneName,
} from '@dogwooddeck/model/identifiers';
import {dispatch, type HandlerTable} from '@dogwooddeck/model/transition';
import {
	type Ask, type HeldGrant, type KeeperAnswer, type RefusalCause, type Release, type Report, type ReportAnswer,
} from './message.js';
import {type Places} from './upstream-room.js';

/** A keeper that was asked and has answered nothing for this long is lost. */
export const lostAfterMilliseconds: Milliseconds = 500;

/** An ask ends this long after its time to wait if its keeper hasn't ended it. */
const lateAnswerMilliseconds: Milliseconds = 100;

/** A keeper of an older term is taken after this time without a newer one: the clock that terms are taken from may have been set back. */
const termLifeMilliseconds: Milliseconds = 10_000;

/** What a request needs of a place. */
export type PlaceTerms = {
	readonly priority: number;
	/** Until then its start is likely to meet the objective. */
	readonly startBy: MonotonicTime;
	readonly deadline: MonotonicTime;
	/** The zones to ask first, one of which may let it wait: the own zone, or if its route doesn't allow that one, the nearest that it allows. */
	readonly homeZones: readonly ZoneName[];
	/** Other zones that its route allows, the nearest first. */
	readonly otherZones: readonly ZoneName[];
};

/** The terms of a request that asks, with the zone that may let it wait. */
type AskTerms = Omit<PlaceTerms, 'homeZones'> & {readonly homeZone: ZoneName};

/** What an instance does with a request that asked. */
export type RoomDecision =
	| {readonly kind: 'send'; readonly upstream: UpstreamName}
	| {readonly kind: 'ask'; readonly zone: ZoneName; readonly ask: Ask}
	| {readonly kind: 'refuse'; readonly cause: RefusalCause; readonly retryWithin: Milliseconds}
	/** The keeper is lost: the places that it doesn't grant are left. */
	| {readonly kind: 'alone'}
	/** It has been decided on before. */
	| {readonly kind: 'ignore'};

/** How a request ended that wasn't sent. */
const withoutOutcome = {hasFailed: false} as const;

type Asked = {readonly zone: ZoneName; readonly at: MonotonicTime; readonly terms: AskTerms};
type Held = {readonly zone: ZoneName; readonly upstream: UpstreamName; readonly deadline: MonotonicTime};
type KnownKeeper = {term: number; lastContactAt: MonotonicTime; isLost: boolean; position: number; count: number};

/** The state of one instance for one service. It is on the request path, so it is updated in place. */
export class RoomShare {
	readonly #entry: InstanceName;
	readonly #zone: ZoneName;
	readonly #placesPerEntry: number;
	readonly #asked = new Map<number, Asked>();
	readonly #held = new Map<number, Held>();
	readonly #keepers = new Map<ZoneName, KnownKeeper>();
	#asks = 0;
	readonly #handlers: HandlerTable<KeeperAnswer, [asked: Asked, now: MonotonicTime], RoomDecision> = {
		grant: ({ask, upstream}, {zone, terms}, now) => {
			const isOver = now >= terms.deadline || this.#countAt(upstream) >= this.#placesPerEntry;
			if (isOver) {
				return {kind: 'alone'};
			}

			this.#held.set(ask, {zone, upstream, deadline: terms.deadline});
			return {kind: 'send', upstream};
		},
		refuse: ({cause, retryWithin}, {zone, terms}, now) => zone === terms.homeZone
			? {kind: 'refuse', cause, retryWithin}
			: this.#askAt(terms.homeZone, {...terms, otherZones: []}, now),
		unsettled: (_answer, {zone}, now) => {
			Object.assign(this.#keeperOf(zone, now), {isLost: true});
			return {kind: 'alone'};
		},
		elsewhere: ({zone}, {terms}, now) => this.#askAt(zone, terms, now),
	};

	/** `entry` names the instance and its incarnation; `placesPerEntry` is that of its keepers. */
	constructor(entry: InstanceName, zone: ZoneName, placesPerEntry = Infinity) {
		this.#placesPerEntry = placesPerEntry;
		this.#entry = entry;
		this.#zone = zone;
	}

	/** Whether something is asked for or held. */
	get isActive(): boolean {
		return this.#asked.size + this.#held.size > 0;
	}

	get heldCount(): number {
		return this.#held.size;
	}

	/** The zones whose keepers it asks or holds grants of; its own is always one of them. */
	get zones(): readonly ZoneName[] {
		return [...new Set([this.#zone, ...[...this.#asked.values(), ...this.#held.values()].map(({zone}) => zone)])];
	}

	/** Whether the keeper of its zone is lost. */
	get isAlone(): boolean {
		return this.#keepers.get(this.#zone)?.isLost === true;
	}

	/** Returns how to get a place for a request. */
	request({homeZones, ...terms}: PlaceTerms, now: MonotonicTime): RoomDecision {
		const homeZone = homeZones.find(zone => !this.#keeperOf(zone, now).isLost);
		return homeZone === undefined ? {kind: 'alone'} : this.#askAt(homeZone, {...terms, homeZone}, now);
	}

	/** Takes a keeper's answer. After `alone`, the ask is released. */
	answer(answer: KeeperAnswer, now: MonotonicTime): RoomDecision {
		const asked = this.#asked.get(answer.ask);
		if (asked === undefined) {
			return {kind: 'ignore'};
		}

		if (!this.#recordContact(this.#keeperOf(asked.zone, now), answer.term, now)) {
			return {kind: 'ignore'};
		}

		const decision = dispatch(this.#handlers, answer, asked, now);
		if (decision.kind !== 'alone') {
			this.#asked.delete(answer.ask);
		}

		return decision;
	}

	/** Takes the answer to a report. */
	reported(zone: ZoneName, {term, position, count}: ReportAnswer, now: MonotonicTime): void {
		const keeper = this.#keeperOf(zone, now);
		if (this.#recordContact(keeper, term, now)) {
			Object.assign(keeper, {position, count});
		}
	}

	/** Ends an ask or a grant; returns the message to its keeper, which is sent until it arrives. */
	release(ask: number, ended: Pick<Release, 'took' | 'hasFailed'> = withoutOutcome): {readonly zone: ZoneName; readonly release: Release} | undefined {
		const zone = (this.#held.get(ask) ?? this.#asked.get(ask))?.zone;
		this.#held.delete(ask);
		this.#asked.delete(ask);
		return zone === undefined
			? undefined
			: {
				zone, release: {
					kind: 'release', entry: this.#entry, ask, ...ended,
				},
			};
	}

	/** Returns the report to the keeper of a zone. */
	report(zone: ZoneName, now: MonotonicTime): Report {
		const held: HeldGrant[] = [];
		for (const [ask, grant] of this.#held) {
			if (grant.zone === zone) {
				held.push({ask, upstream: grant.upstream, endWithin: Math.max(0, Math.ceil(grant.deadline - now))});
			}
		}

		return {
			kind: 'report', entry: this.#entry, isForeign: zone !== this.#zone, term: this.#keeperOf(zone, now).term, held,
		};
	}

	/** Returns the asks whose keeper is lost, or whose time to wait is over. */
	advance(now: MonotonicTime): readonly number[] {
		const over: number[] = [];
		for (const [ask, {zone, at, terms}] of this.#asked) {
			const keeper = this.#keeperOf(zone, now);
			keeper.isLost ||= now - Math.max(at, keeper.lastContactAt) > lostAfterMilliseconds;
			if (keeper.isLost || now >= terms.startBy + lateAnswerMilliseconds) {
				over.push(ask);
			}
		}

		return over;
	}

	/**
	 * Whether one request may be in flight at this upstream without a keeper. `index`
	 * numbers the upstreams of the zone alike at all instances; `assumed` is the number
	 * of the instance among those of the zone until a keeper has told it. Half of the
	 * places stay free, as instances learn their number at different moments.
	 */
	mayUseAlone(index: number, {unkept}: Pick<Places, 'unkept'>, assumed: Pick<ReportAnswer, 'position' | 'count'>): boolean {
		const known = this.#keepers.get(this.#zone);
		const {position, count} = known === undefined || known.count === 0 ? assumed : known;
		return (position + index) % count < Math.floor(unkept / 2);
	}

	#askAt(zone: ZoneName, {
		priority, startBy, deadline, homeZone, otherZones,
	}: AskTerms, now: MonotonicTime): RoomDecision {
		if (this.#keeperOf(zone, now).isLost) {
			return {kind: 'alone'};
		}

		this.#asks += 1;
		const isForeign = zone !== homeZone;
		this.#asked.set(this.#asks, {
			zone, at: now, terms: {
				priority, startBy, deadline, homeZone, otherZones,
			},
		});
		return {
			kind: 'ask',
			zone,
			ask: {
				kind: 'ask',
				entry: this.#entry,
				ask: this.#asks,
				priority,
				startWithin: Math.max(0, Math.round(startBy - now)),
				endWithin: Math.max(0, Math.ceil(deadline - now)),
				isForeign,
				otherZones: isForeign ? [] : otherZones,
			},
		};
	}

	#countAt(upstream: UpstreamName): number {
		let count = 0;
		for (const held of this.#held.values()) {
			count += held.upstream === upstream ? 1 : 0;
		}

		return count;
	}

	/** Returns whether it is the newest keeper that is known. */
	#recordContact(keeper: KnownKeeper, term: number, now: MonotonicTime): boolean {
		if (term < keeper.term && now - keeper.lastContactAt < termLifeMilliseconds) {
			return false;
		}

		Object.assign(keeper, {term, lastContactAt: now, isLost: false});
		return true;
	}

	#keeperOf(zone: ZoneName, now: MonotonicTime): KnownKeeper {
		const known = this.#keepers.get(zone);
		if (known !== undefined) {
			return known;
		}

		const keeper = {
			term: 0, lastContactAt: now, isLost: false, position: 0, count: 0,
		};
		this.#keepers.set(zone, keeper);
		return keeper;
	}
}
