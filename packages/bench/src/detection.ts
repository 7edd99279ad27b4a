/**
 * The first half of a replay: what control's registry of upstreams becomes in
 * the course of a trace. Fakes stand for upstreams and instances; the watch
 * and the registry are the real ones. It is the same for every policy.
 */
import {defaultContract, type ServiceContract, PartitionPolicy} from '@dogwooddeck/model/contract';
import {type Report} from '@dogwooddeck/model/lease';
import {type Announcement, type UpstreamRecord} from '@dogwooddeck/model/registry';
import {
	applyMembership, emptyMembership, type MembershipState, upstreamsOf,
} from '@dogwooddeck/membership/registry';
import {advanceWatch, createWatch, flappingCount} from '@dogwooddeck/membership/watch';
import {
	deployments, type DeploymentShape, type ServiceShape, type Trace, type TraceEvent, upstreamName, zoneOf,
} from './trace.js';

/** The state of control's registry from a time on. */
export type RegistryChange = {
	/** Milliseconds since the trace's start. */
	readonly at: number;
	readonly upstreams: Readonly<Record<string, readonly UpstreamRecord[]>>;
	readonly flapping: Readonly<Record<string, number>>;
	/** When lives began that this trace saw begin, by service, name and incarnation. */
	readonly joinedAt: Readonly<Record<string, number>>;
};

/** What an upstream really is, from a time on. */
export type Truth = {
	/** When each life stopped answering, by service, name and incarnation, in milliseconds. */
	readonly stoppedAt: Readonly<Record<string, number>>;
	/** Whether the life hangs, so that what is in flight ends only with its deadline. */
	readonly hangs: ReadonlySet<string>;
};

/** The outcome of the first half. */
export type Detection = {
	readonly changes: readonly RegistryChange[];
	readonly truth: Truth;
};

/** How often zones report, in milliseconds. */
export const reportMilliseconds = 500;
/** How often control judges, in milliseconds. */
export const tickMilliseconds = 500;
/** How long an upstream that returns from a freeze takes to restart, in seconds. */
const restartSeconds = 5;
const instancesPerZone = 2;
const millisecondsPerSecond = 1000;

/** The name of one life of an upstream. */
export function lifeKey(service: string, name: string, incarnation: number): string {
	return `${service} ${name} ${incarnation}`;
}

type Fake = {
	readonly service: string;
	readonly name: string;
	readonly zone: string;
	incarnation: number;
	isAnnouncing: boolean;
	isAnswering: boolean;
	isLeaving: boolean;
};

type World = {
	readonly deployment: DeploymentShape;
	readonly fakes: ReadonlyMap<string, Fake>;
	readonly stoppedAt: Record<string, number>;
	readonly hangs: Set<string>;
	readonly cutZones: Set<string>;
};

/** The contract of a service of a trace. */
export function contractOf(trace: Trace, service: ServiceShape): ServiceContract {
	const deployment = deployments[trace.deployment]!;
	return {
		...defaultContract,
		name: service.name,
		prefix: `/${service.name}`,
		key: {place: 'path', segment: 0},
		weigh: deployment.weigh,
		whenCut: trace.whenCut,
		upstream: {...defaultContract.upstream, slots: deployment.upstreamSlots},
	};
}

function createWorld(deployment: DeploymentShape): World {
	const fakes = deployment.services.flatMap(service => Array.from({length: service.upstreams}, (_, number): [string, Fake] => {
		const name = upstreamName(service, number);
		return [name, {
			service: service.name, name, zone: zoneOf(deployment, name), incarnation: 1, isAnnouncing: true, isAnswering: true, isLeaving: false,
		}];
	}));
	return {
		deployment, fakes: new Map(fakes), stoppedAt: {}, hangs: new Set(), cutZones: new Set(),
	};
}

function stop(world: World, fake: Fake, at: number): void {
	fake.isAnswering = false;
	world.stoppedAt[lifeKey(fake.service, fake.name, fake.incarnation)] ??= at * millisecondsPerSecond;
}

function start(fake: Fake): void {
	fake.incarnation++;
	fake.isAnnouncing = true;
	fake.isAnswering = true;
	fake.isLeaving = false;
}

type UpstreamEvent = Extract<TraceEvent, {readonly name: string}>;

const upstreamHandlers: Readonly<Record<UpstreamEvent['kind'], (world: World, fake: Fake, at: number) => void>> = {
	joined(world, fake, at) {
		stop(world, fake, at);
		start(fake);
	},
	leaving(_world, fake) {
		fake.isLeaving = true;
	},
	lost(world, fake, at) {
		stop(world, fake, at);
		fake.isAnnouncing = false;
	},
	frozen(world, fake, at) {
		stop(world, fake, at);
		world.hangs.add(lifeKey(fake.service, fake.name, fake.incarnation));
		fake.isAnnouncing = false;
	},
	lying(world, fake, at) {
		stop(world, fake, at);
		world.hangs.add(lifeKey(fake.service, fake.name, fake.incarnation));
	},
	shedding() {
		// The queueing model reads it from the trace.
	},
};

function zonesCutBy(deployment: DeploymentShape, event: TraceEvent): readonly string[] {
	const second = deployment.regions[1];
	return Object.entries(deployment.zones)
		.filter(([zone, region]) => (event.kind === 'zoneCut' && event.zone === zone) || (event.kind === 'regionsCut' && region === second))
		.map(([zone]) => zone);
}

/** The zones that control can't reach at a time, in seconds. */
export function cutZonesAt(trace: Trace, seconds: number): readonly string[] {
	const deployment = deployments[trace.deployment]!;
	return trace.events
		.filter(event => (event.kind === 'zoneCut' || event.kind === 'regionsCut') && seconds >= event.at && seconds < event.until)
		.flatMap(event => zonesCutBy(deployment, event));
}

/** Upstreams that were taken over during a cut start anew when it heals. */
function returnsAfterCuts(trace: Trace): readonly TraceEvent[] {
	const deployment = deployments[trace.deployment]!;
	const cuts = trace.events.filter(event => event.kind === 'zoneCut' || event.kind === 'regionsCut');
	return trace.whenCut === PartitionPolicy.hold
		? []
		: cuts.flatMap(cut => deployment.services.flatMap(service =>
			Array.from({length: service.upstreams}, (_, number) => upstreamName(service, number))
				.filter(name => zonesCutBy(deployment, cut).includes(zoneOf(deployment, name)))
				.map((name): TraceEvent => ({
					kind: 'joined', at: cut.until + restartSeconds, service: service.name, name,
				}))));
}

/** Events with the restart after each freeze. */
function withRestarts(trace: Trace): readonly TraceEvent[] {
	const frozen = trace.events.filter(event => event.kind === 'frozen');
	const restarts = frozen.map(({until, service, name}): TraceEvent => ({
		kind: 'joined', at: until + restartSeconds, service, name,
	}));
	return [...trace.events, ...restarts, ...returnsAfterCuts(trace)].toSorted((one, other) => one.at - other.at);
}

function announcementOf(world: World, fake: Fake): Announcement {
	return {
		service: fake.service,
		name: fake.name,
		incarnation: fake.incarnation,
		region: world.deployment.zones[fake.zone]!,
		zone: fake.zone,
		address: '127.0.0.1:1',
		leaving: fake.isLeaving,
		load: 0.1,
	};
}

function evidenceOf(fake: Fake): Report['evidence'] {
	return Array.from({length: instancesPerZone}, (_, number) => ({
		upstream: {service: fake.service, name: fake.name, incarnation: fake.incarnation},
		answered: fake.isAnswering ? 5 : 0,
		failed: 0,
		timedOut: fake.isAnswering ? 0 : 2,
		shed: 0,
		inFlight: 1,
		meanLatencyMilliseconds: 20,
		seenBy: {name: `${fake.zone}-entry-${number}`, incarnation: 1},
	}));
}

function reportOf(world: World, zone: string): Report {
	const fakes = [...world.fakes.values()].filter(fake => fake.zone === zone);
	return {
		announcements: fakes.filter(fake => fake.isAnnouncing).map(fake => announcementOf(world, fake)),
		evidence: fakes.flatMap(fake => evidenceOf(fake)),
		slotLoads: [],
		keyLoads: [],
		demands: [],
	};
}

function happen(world: World, event: TraceEvent): void {
	if ('name' in event) {
		upstreamHandlers[event.kind](world, world.fakes.get(event.name)!, event.at);
	}
}

function describe(registry: MembershipState, at: number, services: readonly ServiceShape[], joinedAt: Record<string, number>): Omit<RegistryChange, 'flapping'> {
	const upstreams = Object.fromEntries(services.map(({name}) => [name, upstreamsOf(registry, name)]));
	for (const {service, name, incarnation} of Object.values(upstreams).flat()) {
		if (incarnation > 1) {
			joinedAt[lifeKey(service, name, incarnation)] ??= at;
		}
	}

	return {at, upstreams, joinedAt: {...joinedAt}};
}

/** Replays a trace through the watch and the registry. */
export function detect(trace: Trace): Detection {
	const deployment = deployments[trace.deployment]!;
	const world = createWorld(deployment);
	const contracts = deployment.services.map(service => contractOf(trace, service));
	const rosterSizes = Object.fromEntries(Object.keys(deployment.zones).map(zone => [zone, instancesPerZone]));
	const events = withRestarts(trace);
	const changes: RegistryChange[] = [];
	const joinedAt: Record<string, number> = {};
	let [watch, registry, happened, index] = [createWatch(0), emptyMembership, 0, 0];
	for (let now = 0; now <= trace.durationSeconds * millisecondsPerSecond; now += tickMilliseconds) {
		for (; happened < events.length && events[happened]!.at * millisecondsPerSecond <= now; happened++) {
			happen(world, events[happened]!);
		}

		const cut = cutZonesAt(trace, now / millisecondsPerSecond);
		for (const zone of Object.keys(deployment.zones).filter(zone => !cut.includes(zone) && now % reportMilliseconds === 0)) {
			watch = advanceWatch(watch, {
				kind: 'reportReceived', now, report: reportOf(world, zone), reporter: {zone, instance: `${zone}-entry-0`},
			}).state;
		}

		const judged = advanceWatch(watch, {
			kind: 'ticked', now, registry, contracts, rosterSizes,
		});
		watch = judged.state;
		for (const {command} of judged.effects) {
			registry = applyMembership(registry, command, ++index).unwrapOr(registry);
		}

		if (judged.effects.length > 0) {
			const flapping = Object.fromEntries(deployment.services.map(({name}) => [name, flappingCount(judged.state, name, now)]));
			changes.push({...describe(registry, now, deployment.services, joinedAt), flapping});
		}
	}

	return {changes, truth: {stoppedAt: world.stoppedAt, hangs: world.hangs}};
}
