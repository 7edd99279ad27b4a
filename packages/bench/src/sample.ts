/**
 * One sample of a replay: imbalance, latency, bytes over the link, and what a
 * cut makes unavailable.
 */
import {type UpstreamIdentity} from '@dogwooddeck/model/identifiers';
import {UpstreamPhase} from '@dogwooddeck/model/registry';
import {cutZonesAt, lifeKey} from './detection.js';
import {callersPerZone, type SlotTraffic} from './ownership.js';
import {
	highLatency, meanLatency, type Server, waitingAt,
} from './queueing.js';
import {type ServiceReplay, stepSeconds} from './service-replay.js';
import {deployments, zoneOf} from './trace.js';
import {riseAt} from './traffic.js';

const millisecondsPerSecond = 1000;
/** A cold upstream is this much slower with its first request. */
const coldFactor = 2;
/** Seconds of a fair share of requests after which an upstream is warm. */
const warmSeconds = 20;
/** An upstream that sheds carries this part of its load. */
const sheddingShare = 0.5;

type Tally = {
	readonly owner: UpstreamIdentity;
	rate: number;
	remoteRate: number;
	keys: number;
};

function tally(replay: ServiceReplay, slots: readonly SlotTraffic[]): readonly Tally[] {
	const {zones, regions} = deployments[replay.trace.deployment]!;
	const tallies = new Map<string, Tally>();
	for (const {name, service, incarnation, phase} of replay.registry.upstreams[replay.service.name] ?? []) {
		if (phase === UpstreamPhase.serving) {
			tallies.set(lifeKey(service, name, incarnation), {
				owner: {service, name, incarnation}, rate: 0, remoteRate: 0, keys: 0,
			});
		}
	}

	for (const {owner, rate, firstShare, keys, isServed} of slots) {
		const found = owner === undefined || !isServed ? undefined : tallies.get(lifeKey(owner.service, owner.name, owner.incarnation));
		if (found !== undefined) {
			const isFirst = zones[zoneOf(deployments[replay.trace.deployment]!, found.owner.name)] === regions[0];
			found.rate += rate;
			found.remoteRate += rate * (isFirst ? 1 - firstShare : firstShare);
			found.keys += keys;
		}
	}

	return [...tallies.values()];
}

function isShedding(replay: ServiceReplay, name: string, seconds: number): boolean {
	return replay.trace.events.some(event => event.kind === 'shedding' && event.name === name && seconds >= event.at && seconds < event.until);
}

function slowness(replay: ServiceReplay, {owner}: Tally, fairRate: number): number {
	if (owner.incarnation === 1) {
		return 1;
	}

	const answered = replay.answered[lifeKey(owner.service, owner.name, owner.incarnation)] ?? 0;
	const warmth = Math.min(1, answered / Math.max(1, fairRate * warmSeconds));
	return coldFactor - ((coldFactor - 1) * warmth);
}

function toServer(replay: ServiceReplay, entry: Tally, fairRate: number, seconds: number): Server {
	const {upstreamSlots, zoneMilliseconds, regionMilliseconds} = deployments[replay.trace.deployment]!;
	const pace = isShedding(replay, entry.owner.name, seconds) ? 1 / sheddingShare : slowness(replay, entry, fairRate);
	return {
		rate: entry.rate * riseAt(seconds),
		slots: upstreamSlots,
		serviceMilliseconds: replay.service.serviceMilliseconds * pace,
		remoteShare: entry.rate === 0 ? 0 : entry.remoteRate / entry.rate,
		localMilliseconds: zoneMilliseconds,
		remoteMilliseconds: 2 * regionMilliseconds,
	};
}

function imbalance(values: readonly number[]): number {
	const total = values.reduce((sum, value) => sum + value, 0);
	return total === 0 ? 1 : Math.max(...values) * values.length / total;
}

/** The part of callers that can't reach a slot because of a cut. */
function cutShare(owner: UpstreamIdentity, replay: ServiceReplay, cut: readonly string[]): number {
	const isCutOff = cut.includes(zoneOf(deployments[replay.trace.deployment]!, owner.name));
	return isCutOff ? 1 - callersPerZone : cut.length * callersPerZone;
}

function measureCut(replay: ServiceReplay, slots: readonly SlotTraffic[], cut: readonly string[], seconds: number): void {
	for (const {owner, keys, rate, isServed} of slots) {
		if (owner !== undefined && isServed && cut.length > 0) {
			const share = cutShare(owner, replay, cut) * stepSeconds;
			replay.measures.unavailableKeySeconds += keys * share;
			replay.measures.cutKeySeconds += keys * share;
			replay.measures.refused += rate * riseAt(seconds) * share;
		}
	}
}

/** Takes a sample for the step that begins now. */
export function sample(replay: ServiceReplay, now: number): void {
	const {measures, service, traffic, ownership, trace} = replay;
	const seconds = now / millisecondsPerSecond;
	const slots = ownership.slotTraffic(traffic.at(seconds));
	const entries = tally(replay, slots);
	const fairRate = service.requestsPerSecond / service.upstreams;
	const servers = entries.map(entry => toServer(replay, entry, fairRate, seconds));
	const rise = riseAt(seconds);
	for (const {owner, rate} of entries) {
		const key = lifeKey(owner.service, owner.name, owner.incarnation);
		replay.answered[key] = (replay.answered[key] ?? 0) + (rate * rise * stepSeconds);
	}

	measures.samples++;
	measures.keyImbalanceSum += imbalance(entries.map(({keys}) => keys));
	measures.loadImbalanceSum += imbalance(entries.map(({rate}) => rate));
	measures.latencySum += meanLatency(servers);
	measures.highLatencySum += highLatency(servers);
	measures.requests += service.requestsPerSecond * rise * stepSeconds;
	measures.refused += servers.reduce((sum, server) => sum + (waitingAt(server).refusedPerSecond * stepSeconds), 0);
	measures.linkBytes += entries.reduce((sum, entry) => sum + (entry.remoteRate * rise * stepSeconds * service.exchangeBytes), 0);
	measureCut(replay, slots, cutZonesAt(trace, seconds), seconds);
}
