/**
 * The second half of a replay: what one policy makes of a trace. Ownership is
 * a small fake that takes stated times to revoke and to grant.
 */
import {type SlotHash} from '@dogwooddeck/placement/hash';
import {type PlacementInput} from '@dogwooddeck/placement/input';
import {
	createLoad, type LoadReport, ratesOf, receiveLoad,
} from '@dogwooddeck/placement/load';
import {createPlacement} from '@dogwooddeck/placement/plan';
import {placementPolicies} from '@dogwooddeck/placement/policy';
import {type PlacementPlan} from '@dogwooddeck/placement/proposal';
import {
	contractOf, cutZonesAt, type Detection, lifeKey, type RegistryChange,
} from './detection.js';
import {type Measures, noMeasures} from './measures.js';
import {createOwnership} from './ownership.js';
import {type Planner} from './policies.js';
import {createRandom, noisyCount} from './random.js';
import {sample} from './sample.js';
import {type ServiceReplay, stepSeconds} from './service-replay.js';
import {deployments, type ServiceShape, type Trace} from './trace.js';
import {createTraffic, riseAt} from './traffic.js';

/** The first part of each trace, in which placements settle and nothing is measured. */
export const settleSeconds = 60;
const millisecondsPerSecond = 1000;

function open(trace: Trace, service: ServiceShape, detection: Detection, planner: Planner, hash: SlotHash): ServiceReplay {
	const contract = contractOf(trace, service);
	const {smoothingMilliseconds} = placementPolicies[contract.weigh];
	const traffic = createTraffic(service, contract.slots, hash, trace.seed);
	const measures = noMeasures();
	return {
		trace,
		service,
		detection,
		traffic,
		planner,
		hash,
		measures,
		ownership: createOwnership({
			trace, service, detection, traffic, slots: contract.slots, regions: deployments[trace.deployment]!.zones,
		}),
		random: createRandom(trace.seed, service.keys, 7),
		loads: createLoad(service.name, smoothingMilliseconds, 0),
		underWay: [],
		state: createPlacement(0),
		registry: detection.changes[0]!,
		answered: {},
	};
}

function inputOf(replay: ServiceReplay, now: number): PlacementInput {
	const {trace, service, registry, ownership, loads, hash} = replay;
	const contract = contractOf(trace, service);
	const rates = ratesOf(loads, now);
	return {
		now,
		contract,
		assignments: ownership.assignments(),
		upstreams: (registry.upstreams[service.name] ?? []).map(record => {
			const joinedAt = registry.joinedAt[lifeKey(record.service, record.name, record.incarnation)];
			return joinedAt === undefined ? {record} : {record, joinedAt};
		}),
		loads: rates,
		hotKeys: Object.entries(rates.keys).map(([key, rate]) => ({key, home: hash(key, contract.slots), rate})),
		flapping: registry.flapping[service.name] ?? 0,
		unreachableZones: cutZonesAt(trace, now / millisecondsPerSecond),
		state: replay.state,
	};
}

function plan(replay: ServiceReplay, now: number): PlacementPlan {
	const planned = replay.planner(inputOf(replay, now));
	replay.state = planned.state;
	replay.ownership.carryOut(planned, now, replay.measures);
	return planned;
}

function lagAt({events}: Trace, seconds: number): number {
	const lags = events.map(event => event.kind === 'lagging' && seconds >= event.at && seconds < event.until ? event.bySeconds : 0);
	return Math.max(0, ...lags) * millisecondsPerSecond;
}

/** A report that set out before another arrives before it, also where the lag has ended. */
function sendLoads(replay: ServiceReplay, report: LoadReport, now: number): void {
	const arrivesAt = Math.max(now + lagAt(replay.trace, now / millisecondsPerSecond), replay.underWay.at(-1)?.arrivesAt ?? 0);
	replay.underWay = [...replay.underWay, {arrivesAt, report}];
}

function receiveLoads(replay: ServiceReplay, now: number): void {
	for (const {report} of replay.underWay.filter(({arrivesAt}) => arrivesAt <= now)) {
		replay.loads = receiveLoad(replay.loads, {...report, now});
	}

	replay.underWay = replay.underWay.filter(({arrivesAt}) => arrivesAt > now);
}

function reportLoads(replay: ServiceReplay, now: number): void {
	const {service, ownership, traffic, random, trace} = replay;
	const seconds = now / millisecondsPerSecond;
	const scale = riseAt(seconds) * stepSeconds;
	const {regions} = deployments[trace.deployment]!;
	const current = traffic.at(seconds);
	const slots = ownership.slotTraffic(current);
	for (const [number, region] of regions.entries()) {
		const share = (firstShare: number) => (number === 0 ? firstShare : 1 - firstShare);
		sendLoads(replay, {
			now,
			region,
			slotLoads: slots.map(({slot, rate, firstShare}) => ({service: service.name, slot, requests: noisyCount(random, rate * scale * share(firstShare))})),
			keyLoads: current.hot.map(({key, rate, firstShare}) => ({service: service.name, key, requests: noisyCount(random, rate * scale * share(firstShare))})),
			evidence: number === 0 ? ownership.answers(current, scale) : [],
		}, now);
	}

	receiveLoads(replay, now);
}

function step(replay: ServiceReplay, now: number): void {
	if (now > 0) {
		reportLoads(replay, now);
	}

	sample(replay, now);
	plan(replay, now);
}

/** The next time at which something happens: a step, a change of the registry, or the end of a revocation. */
function nextTime(replay: ServiceReplay, changes: readonly RegistryChange[], stepAt: number): number {
	return Math.min(stepAt, changes[0]?.at ?? Number.POSITIVE_INFINITY, replay.ownership.nextDue());
}

/** Replays one service of a trace under a policy. */
export function replayService(trace: Trace, service: ServiceShape, detection: Detection, planner: Planner, hash: SlotHash): Measures {
	const replay = open(trace, service, detection, planner, hash);
	const end = trace.durationSeconds * millisecondsPerSecond;
	const changes = [...detection.changes];
	let stepAt = 0;
	let isSettled = false;
	for (let now = 0; now < end; now = nextTime(replay, changes, stepAt)) {
		if (!isSettled && now >= settleSeconds * millisecondsPerSecond) {
			isSettled = true;
			replay.measures = noMeasures();
		}

		while (changes.length > 0 && changes[0]!.at <= now) {
			replay.registry = changes.shift()!;
			replay.measures.events += isSettled ? 1 : 0;
		}

		replay.ownership.endRevocations(now);
		if (now >= stepAt) {
			step(replay, now);
			stepAt += stepSeconds * millisecondsPerSecond;
		} else {
			plan(replay, now);
		}
	}

	replay.ownership.close(end, replay.measures);
	return replay.measures;
}
