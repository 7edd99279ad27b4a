/**
 * The rules that the replay of shared room compares: what each entry decides by
 * itself, a division by the leader once a second, a keeper in each zone, and one
 * entry for each upstream.
 */
import {Distance, selectUpstream, type UpstreamCandidate} from '@dogwooddeck/gateway/upstream-selection';
import {Signal, UpstreamLoad} from '@dogwooddeck/gateway/upstream-load';
import {waitDeadline, WaitingQueue} from '@dogwooddeck/gateway/waiting';
import {type Milliseconds} from '@dogwooddeck/model/identifiers';
import {dispatch, type HandlerTable} from '@dogwooddeck/model/transition';
import {RoomKeeper} from '@dogwooddeck/room/keeper';
import {type KeeperAnswer, type KeeperRequest, type Release} from '@dogwooddeck/room/message';
import {type RoomDecision, RoomShare} from '@dogwooddeck/room/room-share';
import {dividePlaces, UpstreamRoom} from '@dogwooddeck/room/upstream-room';
import {
	delayBetween, type ReplayEntry, type ReplayRequest, type ReplayUpstream, type RoomReplay, type RoomRule, zoneCount,
} from './room-replay.js';

const advanceMilliseconds: Milliseconds = 20;
const mostAttempts = 4;
const reportMilliseconds: Milliseconds = 250;
const tellMilliseconds: Milliseconds = 100;

/** The sizes of messages, with their part of the framing of a connection. */
const askBytes = 110;
const grantBytes = 90;
const releaseBytes = 80;
const divisionBytes = 24;

type Candidate = UpstreamCandidate & {readonly upstream: ReplayUpstream; limit: number; isConnected: boolean};

function distanceOf(one: number, other: number): Distance {
	return one === other ? Distance.sameZone : ((one - other) % 2 === 0 ? Distance.sameRegion : Distance.otherRegion);
}

/** What an entry does by itself, with the real classes of `gateway`; `limit` bounds what it has in flight at each upstream. */
class SendingEntry {
	readonly candidates: readonly Candidate[];
	readonly queue = new WaitingQueue();
	asked = 0;
	readonly #replay: RoomReplay;
	readonly #entry: ReplayEntry;

	constructor(replay: RoomReplay, entry: ReplayEntry, limit: (upstream: ReplayUpstream) => number) {
		this.#replay = replay;
		this.#entry = entry;
		this.candidates = replay.upstreams.map(upstream => ({
			id: String(upstream.index), upstream, distance: distanceOf(entry.zone, upstream.zone), load: new UpstreamLoad(replay.service.slots), cold: false, isConnected: false, limit: limit(upstream),
		}));
		const advance = () => {
			this.queue.advance(replay.now);
			replay.after(advanceMilliseconds, advance);
		};

		replay.after(replay.random.whole(1, advanceMilliseconds), advance);
	}

	arrive(request: ReplayRequest, excluded: readonly string[] = []): void {
		this.asked += 1;
		if (this.#tryToSend(request, excluded)) {
			return;
		}

		const {kind, arrivedAt} = request;
		const timesOutAt = waitDeadline({
			arrivedAt, objectiveMilliseconds: kind.objectiveMilliseconds, deadline: arrivedAt + kind.timeoutMilliseconds, expectedMilliseconds: this.candidates[0]!.load.latency,
		});
		if (timesOutAt <= this.#replay.now) {
			this.#replay.finish(request, false);
			return;
		}

		this.queue.add({
			priority: kind.priority,
			turn: 0,
			key: undefined,
			upstream: undefined,
			timesOutAt,
			tryToStart: () => this.#tryToSend(request, excluded),
			onTimeout: () => {
				this.#replay.finish(request, false);
			},
		});
	}

	#tryToSend(request: ReplayRequest, excluded: readonly string[]): boolean {
		const {now} = this.#replay;
		const chosen = selectUpstream(this.candidates.filter(({load, limit}) => load.inFlight < limit), excluded, now);
		if (chosen === undefined) {
			return false;
		}

		const {load} = chosen;
		chosen.isConnected = true;
		load.inFlight += 1;
		this.#replay.send(request, this.#entry.zone, chosen.upstream, (signal, took) => {
			load.inFlight -= 1;
			load.record(signal, took, this.#replay.now);
			const mayRetry = (signal === Signal.full || signal === Signal.broken) && request.attempts < mostAttempts && this.#replay.now < request.arrivedAt + request.kind.timeoutMilliseconds;
			if (mayRetry) {
				this.arrive(request, [...excluded, chosen.id]);
			} else {
				this.#replay.finish(request, signal === Signal.answered);
			}

			this.queue.advance(this.#replay.now);
		});
		return true;
	}
}

/** Each entry decides by itself, as the code does today. */
export function ownGuess(replay: RoomReplay): RoomRule {
	const entries = replay.entries.map(entry => new SendingEntry(replay, entry, () => Infinity));
	return {
		arrive(request) {
			entries[request.entry.index]!.arrive(request);
		},
	};
}

/** The leader divides the places of each upstream among the entries by their demand, once a second. */
export function divisionByLeader(replay: RoomReplay): RoomRule {
	const {slots, queue} = replay.service;
	const places = slots + Math.floor(queue / 2);
	const entries = replay.entries.map(entry => new SendingEntry(replay, entry, upstream => upstream.zone === entry.zone ? 1 : 0));
	const divide = () => {
		const demands = entries.map(({asked}) => asked + 1);
		for (const entry of entries) {
			entry.asked = 0;
		}

		for (const upstream of replay.upstreams) {
			const weights = replay.entries.map(({index, zone}) => demands[index]! * (zone === upstream.zone ? 1 : (distanceOf(zone, upstream.zone) === Distance.sameRegion ? 0.2 : 0.02)));
			const sum = weights.reduce((total, weight) => total + weight, 0);
			// The start of the rounding differs by upstream, so that each entry gets some.
			let rest = replay.random.fraction();
			for (const [index, weight] of weights.entries()) {
				rest += weight / sum * places;
				const limit = Math.floor(rest);
				rest -= limit;
				replay.message(1, replay.entries[index]!.zone, limit > 0 ? divisionBytes : 0, () => {
					entries[index]!.candidates[upstream.index]!.limit = limit;
				});
			}
		}

		// One message for each entry carries the limits of all upstreams.
		replay.counts.messages -= entries.length * (replay.upstreams.length - 2);
		replay.after(1000, divide);
	};

	replay.after(1000, divide);
	return {
		arrive(request) {
			entries[request.entry.index]!.arrive(request);
		},
	};
}

/** The zone's keeper grants a place for each request; without it, entries use the places that no keeper grants. */
export function keeperInZone(replay: RoomReplay): RoomRule {
	const {slots, queue} = replay.service;
	const places = dividePlaces(slots, queue);
	const perZone = replay.entries.length / zoneCount;
	const zones = Array.from({length: zoneCount}, (_, zone) => zone);
	const keepers = zones.map(zone => {
		const keeper = new RoomKeeper({
			term: 1, startedAt: replay.now, longestMilliseconds: 0, own: [], foreign: [],
		});
		keeper.setTenure(Infinity);
		keeper.setUpstreams(replay.upstreams.filter(upstream => upstream.zone === zone).map(({index}) => new UpstreamRoom(String(index), places)));
		return keeper;
	});
	const shares = replay.entries.map(({index, zone}) => new RoomShare(String(index), String(zone)));
	const alone = replay.entries.map(entry => new SendingEntry(replay, entry, () => 0));
	const pending = new Map<string, ReplayRequest>();
	const isLost = (zone: number) => replay.scenario.isKeeperLost(zone, replay.now);
	const nearestFirst = (zone: number) => [(zone + 2) % zoneCount, (zone + 1) % zoneCount, (zone + 3) % zoneCount];

	function deliver(zone: number, answers: readonly KeeperAnswer[]): void {
		for (const answer of answers) {
			const entry = replay.entries[Number(answer.entry)]!;
			replay.message(zone, entry.zone, grantBytes, () => {
				const decision = shares[entry.index]!.answer(answer, replay.now);
				const key = `${answer.entry} ${answer.ask}`;
				const request = pending.get(key);
				if (request !== undefined && decision.kind !== 'ignore') {
					pending.delete(key);
					decide(request, answer.ask, decision);
				}
			});
		}
	}

	function release(entry: ReplayEntry, ask: number, ended?: Pick<Release, 'took' | 'hasFailed'>): void {
		const released = shares[entry.index]!.release(ask, ended);
		if (released !== undefined) {
			tell(entry, Number(released.zone), releaseBytes, released.release);
		}
	}

	function tell(entry: ReplayEntry, zone: number, bytes: number, request: KeeperRequest): void {
		replay.message(entry.zone, zone, bytes, () => {
			if (!isLost(zone)) {
				deliver(zone, keepers[zone]!.handle(request, replay.now));
			}
		});
	}

	const handlers: HandlerTable<RoomDecision, [ReplayRequest, number], void> = {
		send({upstream}, request, ask) {
			replay.send(request, request.entry.zone, replay.upstreams[Number(upstream)]!, (signal, took) => {
				release(request.entry, ask, signal === Signal.answered ? {took, hasFailed: false} : {hasFailed: true});
				if ((signal === Signal.full || signal === Signal.broken) && request.attempts < mostAttempts) {
					begin(request);
				} else {
					replay.finish(request, signal === Signal.answered);
				}
			});
		},
		ask({zone, ask}, request) {
			pending.set(`${ask.entry} ${ask.ask}`, request);
			tell(request.entry, Number(zone), askBytes, ask);
		},
		refuse(_decision, request) {
			replay.finish(request, false);
		},
		alone(_decision, request, ask) {
			release(request.entry, ask);
			const entry = alone[request.entry.index]!;
			for (const candidate of entry.candidates) {
				const {index, zone} = candidate.upstream;
				candidate.limit = zone === request.entry.zone && shares[request.entry.index]!.mayUseAlone(Math.floor(index / zoneCount), places, {position: 0, count: perZone}) ? 1 : 0;
			}

			entry.arrive(request);
		},
		ignore() {
			// It was decided on before.
		},
	};

	function decide(request: ReplayRequest, ask: number, decision: RoomDecision): void {
		dispatch(handlers, decision, request, ask);
	}

	function begin(request: ReplayRequest): void {
		const {kind, arrivedAt, entry} = request;
		decide(request, 0, shares[entry.index]!.request({
			priority: kind.priority, startBy: arrivedAt + (kind.objectiveMilliseconds * 0.6), deadline: arrivedAt + kind.timeoutMilliseconds, homeZones: [String(entry.zone)], otherZones: nearestFirst(entry.zone).map(String),
		}, replay.now));
	}

	function report(entry: ReplayEntry): void {
		const share = shares[entry.index]!;
		for (const ask of share.advance(replay.now)) {
			const key = `${entry.index} ${ask}`;
			const request = pending.get(key);
			if (pending.delete(key)) {
				decide(request!, ask, {kind: 'alone'});
			}
		}

		const sent = share.report(String(entry.zone), replay.now);
		replay.message(entry.zone, entry.zone, askBytes, () => {
			if (!isLost(entry.zone)) {
				deliver(entry.zone, keepers[entry.zone]!.handle(sent, replay.now));
				const answer = keepers[entry.zone]!.answerReport(sent);
				replay.message(entry.zone, entry.zone, grantBytes, () => {
					share.reported(String(entry.zone), answer, replay.now);
				});
			}
		});
		replay.after(reportMilliseconds, () => {
			report(entry);
		});
	}

	function advance(): void {
		for (const [zone, keeper] of keepers.entries()) {
			if (isLost(zone)) {
				continue;
			}

			deliver(zone, keeper.advance(replay.now));
			const others = nearestFirst(zone).filter(other => !isLost(other) && !replay.isCut(zone, other));
			keeper.setZones(others.map(other => ({
				zone: String(other), free: keepers[other]!.lendable(replay.now), costMilliseconds: delayBetween(zone, other) * 4, toldAt: replay.now,
			})));
			replay.counts.messages += others.length;
			replay.counts.bytes += others.length * releaseBytes;
		}

		replay.after(tellMilliseconds, advance);
	}

	for (const entry of replay.entries) {
		replay.after(replay.random.whole(1, reportMilliseconds / 10), () => {
			report(entry);
		});
	}

	replay.after(1, advance);
	return {arrive: begin};
}

/** One entry sends to each upstream; the others hand their requests to it, by what it has told of its waiting. */
export function oneEntryEach(replay: RoomReplay): RoomRule {
	const {slots, queue} = replay.service;
	const perZone = replay.entries.length / zoneCount;
	const ownerOf = (upstream: ReplayUpstream) => replay.entries[(Math.floor(upstream.index / zoneCount) % perZone * zoneCount) + upstream.zone]!;
	const owners = replay.upstreams.map(upstream => ({
		upstream, load: new UpstreamLoad(slots), inFlight: 0, queue: new WaitingQueue(), told: replay.entries.map(() => 0),
	}));
	const offer = (request: ReplayRequest, index: number) => {
		const owner = owners[index]!;
		const {kind, arrivedAt} = request;
		const {zone} = ownerOf(owner.upstream);
		const answer = (isAnswered: boolean) => {
			const backlog = (owner.inFlight + owner.queue.length) * owner.load.latency;
			replay.message(zone, request.entry.zone, grantBytes + kind.bytes, () => {
				owner.told[request.entry.index] = backlog;
				replay.finish(request, isAnswered);
			});
		};

		const tryToStart = () => {
			if (owner.inFlight >= slots + Math.floor(queue / 4)) {
				return false;
			}

			owner.inFlight += 1;
			replay.send(request, zone, owner.upstream, (signal, took) => {
				owner.inFlight -= 1;
				owner.load.record(signal, took, replay.now);
				answer(signal === Signal.answered);
				owner.queue.advance(replay.now);
			});
			return true;
		};

		const timesOutAt = waitDeadline({
			arrivedAt, objectiveMilliseconds: kind.objectiveMilliseconds, deadline: arrivedAt + kind.timeoutMilliseconds, expectedMilliseconds: owner.load.latency,
		});
		if (!tryToStart()) {
			owner.queue.add({
				priority: kind.priority, turn: 0, key: undefined, upstream: undefined, timesOutAt, tryToStart, onTimeout() {
					answer(false);
				},
			});
		}
	};

	const advance = () => {
		for (const {queue: one} of owners) {
			one.advance(replay.now);
		}

		replay.after(advanceMilliseconds, advance);
	};

	replay.after(1, advance);
	return {
		arrive(request) {
			const {index, zone} = request.entry;
			const near = owners.filter(({upstream}) => upstream.zone === zone);
			const pick = () => near[replay.random.whole(0, near.length - 1)]!;
			const [one, other] = [pick(), pick()];
			const chosen = one.told[index]! <= other.told[index]! ? one : other;
			chosen.told[index] = chosen.told[index]! + chosen.load.latency;
			replay.message(zone, zone, askBytes + request.kind.bytes, () => {
				offer(request, chosen.upstream.index);
			});
		},
	};
}
