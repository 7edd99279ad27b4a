/**
 * The keepers of the room that this zone's upstreams have, one for each service
 * without keys: carries out what they decide, and exchanges free room with the
 * control instances of other zones.
 */
import {monotonicNow, wallNow} from '@dogwooddeck/clock/monotonic';
import {coldCapacityOf} from '@dogwooddeck/directory/cold-watch';
import {type DirectoryState} from '@dogwooddeck/directory/state';
import {UpstreamState, type UpstreamRecord} from '@dogwooddeck/directory/upstream';
import {isEvacuated} from '@dogwooddeck/directory/zone-order';
import {type PlacesUpdate} from '@dogwooddeck/mesh/calls';
import {type MeshClients} from '@dogwooddeck/mesh/client';
import {type MeshHandlers} from '@dogwooddeck/mesh/server';
import {failure, FailureKind, type Failure} from '@dogwooddeck/model/failure';
import {type Milliseconds, type MonotonicTime, type ZoneName} from '@dogwooddeck/model/identifiers';
import {RoomKeeper, type ZoneRoom} from '@dogwooddeck/room/keeper';
import {type KeeperAnswer, type ReportAnswer} from '@dogwooddeck/room/message';
import {dividePlaces, UpstreamRoom} from '@dogwooddeck/room/upstream-room';
import {EventName} from '@dogwooddeck/telemetry/event';
import {type Log} from '@dogwooddeck/telemetry/log';
import {MeasureName, type Measures, recordDuration} from '@dogwooddeck/telemetry/measure';
import {err, ok, type Result} from 'true-myth/result';
import {type DirectoryHolder} from './directory-voter.js';

/** The collaborators and settings of the keepers. */
export type RoomKeepersDependencies = {
	readonly holder: DirectoryHolder;
	readonly zone: ZoneName;
	/** How many requests an upstream queues for each of its slots. */
	readonly queuePerSlot: number;
	/** The addresses of the other control instances. */
	readonly others: () => readonly string[];
	readonly clients: MeshClients;
	readonly log: Log;
	readonly measures: Measures;
};

/** The calls of entries and of other control instances about places. */
export type RoomKeepers = Pick<MeshHandlers, 'askPlace' | 'updatePlaces' | 'tellRoom'> & {readonly stop: () => void};

const advanceMilliseconds: Milliseconds = 50;
const tellMilliseconds: Milliseconds = 150;
const tellTimeoutMilliseconds: Milliseconds = 400;
const logMilliseconds: Milliseconds = 1000;

/** Other zones are told of free room while something was asked for in this time. */
const activeMilliseconds: Milliseconds = 5000;

/** A request in another zone costs this many times the round trip: traffic between zones is paid by volume. */
const detourFactor = 2;

/** The longest deadline while no route is known. */
const defaultLongestMilliseconds: Milliseconds = 5000;

type Kept = {
	readonly keeper: RoomKeeper;
	/** What other zones have told, by zone. */
	readonly told: Map<ZoneName, ZoneRoom>;
	readonly counts: Record<KeeperAnswer['kind'], number>;
	activeAt: MonotonicTime;
};

type Waiter = {readonly askedAt: MonotonicTime; readonly settle: (answer: Result<KeeperAnswer, Failure>) => void};

/** The upstreams of a service in a zone that may be granted: none while the zone is evacuated, and cold ones only if they bear any number of requests and there are no others. */
export function grantableUpstreams(state: DirectoryState, service: string, zone: ZoneName): readonly UpstreamRecord[] {
	if (isEvacuated(state, zone)) {
		return [];
	}

	const ready = Object.values(state.upstreams).filter(upstream => upstream.service === service && upstream.zone === zone && upstream.state === UpstreamState.ready);
	const warm = ready.filter(({cold}) => !cold);
	return warm.length > 0 || coldCapacityOf(state, service) !== undefined ? warm : ready;
}

function longestTimeout(state: DirectoryState): Milliseconds {
	const timeouts = Object.values(state.items.route).map(({value}) => value?.timeoutMilliseconds ?? 0);
	return Math.max(0, ...timeouts) || defaultLongestMilliseconds;
}

/** Starts the keepers of one control instance, the only one of its zone. */
export function startRoomKeepers({
	holder, zone, queuePerSlot, others, clients, log, measures,
}: RoomKeepersDependencies): RoomKeepers {
	const startedAt = monotonicNow();
	const term = wallNow();
	const services = new Map<string, Kept>();
	const waiters = new Map<string, Waiter>();
	/** The last round trip to each other control instance, by address. */
	const roundTrips = new Map<string, Milliseconds>();

	function update(service: string, {keeper}: Kept): void {
		keeper.setUpstreams(grantableUpstreams(holder.state(), service, zone).map(({id, slots}) => new UpstreamRoom(id, dividePlaces(slots, slots * queuePerSlot))));
	}

	function keptOf(service: string): Kept | undefined {
		const existing = services.get(service);
		if (existing !== undefined || holder.state().items.service[service]?.value?.keyed !== false) {
			return existing;
		}

		const keeper = new RoomKeeper({term, startedAt, longestMilliseconds: longestTimeout(holder.state())});
		// No other instance keeps this zone's room, and the process that did so before has ended.
		keeper.setTenure(Infinity);
		const kept: Kept = {
			keeper,
			told: new Map(),
			counts: {
				grant: 0, refuse: 0, elsewhere: 0, unsettled: 0,
			},
			activeAt: monotonicNow(),
		};
		services.set(service, kept);
		update(service, kept);
		deliver(service, kept, keeper.advance(monotonicNow()));
		return kept;
	}

	function waiterKey(service: string, {entry, ask}: {readonly entry: string; readonly ask: number}): string {
		return `${service} ${entry} ${ask}`;
	}

	function deliver(service: string, {counts}: Kept, answers: readonly KeeperAnswer[]): void {
		for (const answer of answers) {
			const key = waiterKey(service, answer);
			const waiter = waiters.get(key);
			waiters.delete(key);
			counts[answer.kind] += 1;
			measures.counter(MeasureName.roomAnswers, {service, kind: answer.kind}).value += 1;
			recordDuration(measures.histogram(MeasureName.roomWait, {service}), monotonicNow() - (waiter?.askedAt ?? monotonicNow()));
			waiter?.settle(ok(answer));
		}
	}

	function updatePlaces({service, releases, report}: PlacesUpdate): {readonly service: string; readonly answer: ReportAnswer} | undefined {
		const kept = keptOf(service);
		if (kept === undefined) {
			return undefined;
		}

		const now = monotonicNow();
		for (const release of releases) {
			const key = waiterKey(service, release);
			waiters.get(key)?.settle(err(failure(FailureKind.deadlineExceeded, 'the entry does not wait any more')));
			waiters.delete(key);
			deliver(service, kept, kept.keeper.handle(release, now));
		}

		if (report === undefined) {
			return undefined;
		}

		deliver(service, kept, kept.keeper.handle(report, now));
		return {service, answer: kept.keeper.answerReport(report)};
	}

	function advance(): void {
		const now = monotonicNow();
		for (const [service, kept] of services) {
			deliver(service, kept, kept.keeper.advance(now));
		}
	}

	async function tell(address: string, free: ReadonlyArray<readonly [string, number]>): Promise<void> {
		const toldAt = monotonicNow();
		const answer = await clients.call(address, 'tellRoom', {zone, services: free, roundTrip: roundTrips.get(address) ?? tellTimeoutMilliseconds}, tellTimeoutMilliseconds);
		if (answer.isOk) {
			roundTrips.set(address, Math.round(monotonicNow() - toldAt));
		}
	}

	function tellOthers(): void {
		const now = monotonicNow();
		const addresses = others();
		const active = [...services].filter(([, {activeAt}]) => now - activeAt <= activeMilliseconds);
		if (active.length > 0 && addresses.length > 0) {
			const free = active.map(([service, {keeper}]) => [service, keeper.lendable(now)] as const);
			for (const address of addresses) {
				void tell(address, free);
			}
		}
	}

	function logDecisions(): void {
		const now = monotonicNow();
		for (const [service, {keeper, counts, told}] of services) {
			if (Object.values(counts).some(count => count > 0) || keeper.waitingCount > 0) {
				log.event(EventName.roomKept, {
					service, ...counts, ...keeper.figures(now), told: [...told.values()].map(other => `${other.zone}:${other.free}@${Math.round(now - other.toldAt)}ms`).join(','),
				});
				Object.assign(counts, {
					grant: 0, refuse: 0, elsewhere: 0, unsettled: 0,
				});
			}
		}
	}

	holder.listen(() => {
		for (const [service, kept] of services) {
			update(service, kept);
		}
	});
	const timers = [setInterval(advance, advanceMilliseconds), setInterval(tellOthers, tellMilliseconds), setInterval(logDecisions, logMilliseconds)];
	return {
		async askPlace({service, ask}) {
			const kept = keptOf(service);
			if (kept === undefined) {
				return err(failure(FailureKind.notFound, `${service} is no service without keys`));
			}

			const askedAt = monotonicNow();
			kept.activeAt = askedAt;
			return new Promise(resolve => {
				waiters.set(waiterKey(service, ask), {askedAt, settle: resolve});
				deliver(service, kept, kept.keeper.handle(ask, askedAt));
			});
		},
		async updatePlaces({services: updates}) {
			return ok({reports: updates.flatMap(one => updatePlaces(one) ?? [])});
		},
		async tellRoom({zone: other, services: free, roundTrip}) {
			const toldAt = monotonicNow();
			for (const [service, count] of free) {
				const kept = other === zone ? undefined : keptOf(service);
				kept?.told.set(other, {
					zone: other, free: count, costMilliseconds: detourFactor * roundTrip, toldAt,
				});
				kept?.keeper.setZones([...kept.told.values()].sort((one, two) => one.costMilliseconds - two.costMilliseconds));
			}

			return ok({});
		},
		stop() {
			for (const timer of timers) {
				clearInterval(timer);
			}

			for (const {settle} of waiters.values()) {
				settle(err(failure(FailureKind.notReady, 'this instance stops')));
			}
		},
	};
}
