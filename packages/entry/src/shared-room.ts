/**
 * Asks the keepers of zones for places at upstreams without keys: carries out what
 * the shares of the services decide, and reports to the keepers.
 */
import {monotonicNow} from '@dogwooddeck/clock/monotonic';
import {Distance} from '@dogwooddeck/gateway/upstream-selection';
import {type PlacesUpdate} from '@dogwooddeck/mesh/calls';
import {type MeshClients} from '@dogwooddeck/mesh/client';
import {type InstanceName, type Milliseconds, type ZoneName} from '@dogwooddeck/model/identifiers';
import {dispatch, type HandlerTable} from '@dogwooddeck/model/transition';
import {type Ask, type Release, type ReportAnswer} from '@dogwooddeck/room/message';
import {
	lostAfterMilliseconds, type PlaceTerms, type RoomDecision, RoomShare,
} from '@dogwooddeck/room/room-share';
import {dividePlaces} from '@dogwooddeck/room/upstream-room';
import {AttemptObservation} from '@dogwooddeck/routing/outcome';
import {EventName} from '@dogwooddeck/telemetry/event';
import {type Log} from '@dogwooddeck/telemetry/log';
import {MeasureName, type Measures} from '@dogwooddeck/telemetry/measure';
import {type AttemptResult} from './attempt.js';
import {type CachedService, type CachedUpstream} from './service-table.js';

/** What the instance depends on to share room. */
export type SharedRoomDependencies = {
	/** The name of this instance and its incarnation. */
	readonly entry: InstanceName;
	readonly zone: ZoneName;
	readonly queuePerSlot: number;
	/** The number of entry instances of the deployment. */
	readonly entryCount: () => number;
	/** The address of the control instance of a zone. */
	readonly controlOf: (zone: ZoneName) => string | undefined;
	/** The assumed number of this instance among those of its zone, until a keeper tells it. */
	readonly assumed: () => Pick<ReportAnswer, 'position' | 'count'>;
	readonly clients: MeshClients;
	readonly log: Log;
	readonly measures: Measures;
};

/** How a request gets on: it may be sent to an upstream, is refused, or uses what no keeper grants. */
export type Placement = Extract<RoomDecision, {readonly kind: 'send' | 'refuse' | 'alone'}>;

/** How the attempt ended that used a place. */
export type PlaceEnd = Pick<Release, 'took' | 'hasFailed'>;

/** The place of a request, or its wait for one. */
export type PlaceHolder = {
	/** Ends both, once; `ended` tells how its attempt ended. */
	readonly release: (ended?: PlaceEnd) => void;
};

const firstServerFailure = 500;

/** Observations that tell nothing about the upstream. */
const neutralObservations: ReadonlySet<AttemptObservation> = new Set([
	AttemptObservation.cancelledBeforeFirstByte, AttemptObservation.cancelledAfterFirstByte, AttemptObservation.deadlinePassedBeforeFirstByte, AttemptObservation.unsendable,
]);

/** Returns what a keeper is told of an attempt's end: only whole answers that aren't the upstream's failures tell how long it takes. */
export function placeEnd({observation, milliseconds, answer}: AttemptResult): PlaceEnd {
	const isAnswered = observation === AttemptObservation.wholeAnswer && (answer === undefined || answer.status < firstServerFailure);
	return isAnswered ? {took: Math.round(milliseconds), hasFailed: false} : {hasFailed: !neutralObservations.has(observation)};
}

const flushMilliseconds: Milliseconds = 4;
const reportMilliseconds: Milliseconds = 200;
const updateTimeoutMilliseconds: Milliseconds = 450;

/** Releases that couldn't be delivered are sent again; beyond this many, the deadlines of their requests end them. */
const mostReleases = 500;

type Waiting = {current: number; readonly decide: (placement: Placement) => void};
type ServiceRoom = {readonly name: string; readonly share: RoomShare; readonly waiting: Map<number, Waiting>; wasAlone: boolean};

/** The room that this instance shares with others. */
export class SharedRoom {
	readonly #dependencies: SharedRoomDependencies;
	readonly #services = new Map<string, ServiceRoom>();
	/** Releases that are to be sent, by zone and service. */
	readonly #releases = new Map<ZoneName, Map<string, Release[]>>();
	#isFlushing = false;
	readonly #timer: NodeJS.Timeout;
	readonly #handlers: HandlerTable<RoomDecision, [room: ServiceRoom, waiting: Waiting], void> = {
		ask: ({zone, ask}, room, waiting) => {
			waiting.current = ask.ask;
			room.waiting.set(ask.ask, waiting);
			void this.#ask(room, zone, ask);
		},
		send(decision, _room, {decide}) {
			decide(decision);
		},
		refuse(decision, _room, {decide}) {
			decide(decision);
		},
		alone: (decision, room, {current, decide}) => {
			this.#release(room, current);
			this.#dependencies.measures.counter(MeasureName.roomUnkept, {service: room.name}).value += 1;
			decide(decision);
		},
		ignore() {
			// It was decided on before.
		},
	};

	constructor(dependencies: SharedRoomDependencies) {
		this.#dependencies = dependencies;
		this.#timer = setInterval(() => {
			this.#advance();
		}, reportMilliseconds);
	}

	/** Whether requests for a service need a place: with one request each, all instances together could send an upstream more than it can queue. */
	covers({keyed, upstreams}: CachedService): boolean {
		const {entryCount, queuePerSlot} = this.#dependencies;
		const slots = upstreams[0]?.record.slots;
		return !keyed && slots !== undefined && entryCount() > slots * (1 + queuePerSlot);
	}

	/** Gets a place for a request; `decide` is called once, also at once, unless it is released before. */
	request(service: string, terms: PlaceTerms, decide: (placement: Placement) => void): PlaceHolder {
		const room = this.#roomOf(service);
		const waiting: Waiting = {current: 0, decide};
		this.#carryOut(room, room.share.request(terms, monotonicNow()), waiting);
		return {
			release: ended => {
				this.#release(room, waiting.current, ended);
			},
		};
	}

	/** Whether a request may be sent to this upstream without a keeper. */
	mayUseAlone(service: CachedService, upstream: CachedUpstream): boolean {
		if (upstream.distance !== Distance.sameZone || upstream.load.inFlight > 0) {
			return false;
		}

		const {queuePerSlot, assumed} = this.#dependencies;
		const {slots} = upstream.record;
		const identifiers = service.upstreams.filter(({distance}) => distance === Distance.sameZone).map(({id}) => id).sort();
		return this.#roomOf(service.name).share.mayUseAlone(identifiers.indexOf(upstream.id), dividePlaces(slots, slots * queuePerSlot), assumed());
	}

	/** Ends all waits for places, as this instance is stopping: the requests use what no keeper grants. */
	endWaits(): void {
		for (const room of this.#services.values()) {
			for (const waiting of room.waiting.values()) {
				this.#carryOut(room, {kind: 'alone'}, waiting);
			}
		}
	}

	stop(): void {
		clearInterval(this.#timer);
	}

	#roomOf(name: string): ServiceRoom {
		const {entry, zone} = this.#dependencies;
		const existing = this.#services.get(name);
		if (existing !== undefined) {
			return existing;
		}

		const room: ServiceRoom = {
			name, share: new RoomShare(entry, zone), waiting: new Map(), wasAlone: false,
		};
		this.#services.set(name, room);
		return room;
	}

	#carryOut(room: ServiceRoom, decision: RoomDecision, waiting: Waiting): void {
		dispatch(this.#handlers, decision, room, waiting);
	}

	async #ask(room: ServiceRoom, zone: ZoneName, ask: Ask): Promise<void> {
		const {controlOf, clients} = this.#dependencies;
		const address = controlOf(zone);
		const answer = address === undefined ? undefined : await clients.call(address, 'askPlace', {service: room.name, ask}, ask.startWithin + (2 * lostAfterMilliseconds));
		const waiting = room.waiting.get(ask.ask);
		const decision = answer?.isOk === true ? room.share.answer(answer.value, monotonicNow()) : {kind: 'alone'} as const;
		if (waiting !== undefined && decision.kind !== 'ignore') {
			room.waiting.delete(ask.ask);
			this.#carryOut(room, decision, waiting);
		}
	}

	#release(room: ServiceRoom, ask: number, ended?: PlaceEnd): void {
		room.waiting.delete(ask);
		const released = room.share.release(ask, ended);
		if (released !== undefined) {
			this.#keepReleases(released.zone, room.name, [released.release]);
			this.#scheduleFlush();
		}
	}

	#keepReleases(zone: ZoneName, service: string, releases: readonly Release[]): void {
		const byService = this.#releases.get(zone) ?? new Map<string, Release[]>();
		this.#releases.set(zone, byService);
		byService.set(service, [...byService.get(service) ?? [], ...releases].slice(-mostReleases));
	}

	#scheduleFlush(): void {
		if (!this.#isFlushing) {
			this.#isFlushing = true;
			setTimeout(() => {
				this.#isFlushing = false;
				this.#flush([...this.#releases.keys()], false);
			}, flushMilliseconds);
		}
	}

	#flush(zones: readonly ZoneName[], isReporting: boolean): void {
		for (const zone of zones) {
			const releases = this.#releases.get(zone) ?? new Map<string, Release[]>();
			this.#releases.delete(zone);
			const rooms = [...this.#services.values()].filter(({name, share}) => releases.has(name) || (isReporting && share.zones.includes(zone)));
			void this.#update(zone, rooms.map(({name, share}) => ({
				service: name, releases: releases.get(name) ?? [], ...(isReporting ? {report: share.report(zone, monotonicNow())} : {}),
			})));
		}
	}

	async #update(zone: ZoneName, services: readonly PlacesUpdate[]): Promise<void> {
		const {controlOf, clients} = this.#dependencies;
		const address = controlOf(zone);
		const answer = address === undefined || services.length === 0 ? undefined : await clients.call(address, 'updatePlaces', {services}, updateTimeoutMilliseconds);
		if (answer?.isOk === true) {
			for (const {service, answer: told} of answer.value.reports) {
				this.#roomOf(service).share.reported(zone, told, monotonicNow());
			}

			return;
		}

		for (const {service, releases} of services.filter(one => one.releases.length > 0)) {
			this.#keepReleases(zone, service, releases);
		}
	}

	#advance(): void {
		const now = monotonicNow();
		for (const room of this.#services.values()) {
			for (const ask of room.share.advance(now)) {
				const waiting = room.waiting.get(ask);
				if (waiting === undefined) {
					this.#release(room, ask);
				} else {
					this.#carryOut(room, {kind: 'alone'}, waiting);
				}
			}

			this.#logKeeper(room);
		}

		const zones = new Set([...this.#releases.keys(), ...[...this.#services.values()].flatMap(({share}) => share.zones)]);
		this.#flush([...zones], true);
	}

	#logKeeper(room: ServiceRoom): void {
		const {log, zone} = this.#dependencies;
		const {isAlone, heldCount} = room.share;
		if (isAlone !== room.wasAlone) {
			room.wasAlone = isAlone;
			const write = isAlone ? log.warning : log.event;
			write(isAlone ? EventName.keeperLost : EventName.keeperGained, {
				service: room.name, zone, held: heldCount, waiting: room.waiting.size,
			});
		}
	}
}
