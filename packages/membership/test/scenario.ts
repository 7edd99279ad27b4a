/**
 * Simulates the upstreams of a service in two availability zones and the
 * instances that report them, against the real watch and registry.
 */
import {defaultContract, type ServiceContract, PartitionPolicy} from '@dogwooddeck/model/contract';
import {emptyReport, type Report} from '@dogwooddeck/model/lease';
import {type Announcement} from '@dogwooddeck/model/registry';
import {applyMembership, emptyMembership, type MembershipState} from '@dogwooddeck/membership/registry';
import {
	advanceWatch, createWatch, flappingCount, type WatchEffect, type WatchEvent,
} from '@dogwooddeck/membership/watch';

export const service = 'bermrand/schedule';
export const reportMilliseconds = 250;
export const tickMilliseconds = 50;

/** A simulated scenario: each field is a fault or a change and when it starts, in milliseconds. */
export type Scenario = {
	readonly whenCut?: PartitionPolicy;
	/** Upstreams in each of the zones `n-1` and `n-2`. */
	readonly upstreams?: number;
	readonly rosterSize?: number;
	/** When an upstream stops announcing itself, by its name. */
	readonly unresponsiveFrom?: Readonly<Record<string, number>>;
	readonly leavingFrom?: Readonly<Record<string, number>>;
	/** When an upstream starts its next incarnation, by its name. */
	readonly restartsAt?: Readonly<Record<string, readonly number[]>>;
	/** When attempts of these instances of the upstream's zone start to fail, by the upstream's name. */
	readonly failingFrom?: Readonly<Record<string, {readonly at: number; readonly instances: readonly string[]}>>;
	/** The only instances that send requests. Absent: all. */
	readonly busyInstances?: readonly string[];
	/** Only every n-th report contains announcements. */
	readonly reportsPerAnnouncement?: number;
	/** The time in which no report of a zone arrives, by the zone. */
	readonly partitioned?: Readonly<Record<string, readonly [from: number, until: number]>>;
	/** When a new leader starts with an empty view. */
	readonly newLeaderAt?: number;
	readonly untilMilliseconds: number;
};

/** The result of a scenario. */
export type SimulationResult = {
	readonly registry: MembershipState;
	readonly log: ReadonlyArray<{readonly at: number; readonly name: string; readonly change: string}>;
	/** The times without contact that the verdicts report, in milliseconds. */
	readonly timesWithoutContact: readonly number[];
	readonly flapping: number;
};

export const instances = ['i1', 'i2', 'i3'];

export function contractOf(scenario: Scenario): ServiceContract {
	return {
		...defaultContract, name: service, prefix: '/schedule', key: {place: 'path', segment: 0}, whenCut: scenario.whenCut ?? PartitionPolicy.hold,
	};
}

export function namesIn(scenario: Scenario, zone: string): readonly string[] {
	return Array.from({length: scenario.upstreams ?? 4}, (_, number) => `${zone}/u${number}`);
}

export function announcementsOf(scenario: Scenario, zone: string, now: number): readonly Announcement[] {
	const isReported = now % (reportMilliseconds * (scenario.reportsPerAnnouncement ?? 1)) === 0;
	return namesIn(scenario, zone)
		.filter(() => isReported)
		.filter(name => now < (scenario.unresponsiveFrom?.[name] ?? Number.POSITIVE_INFINITY))
		.map(name => ({
			service,
			name,
			incarnation: 1 + (scenario.restartsAt?.[name] ?? []).filter(at => at <= now).length,
			region: 'noord',
			zone,
			address: '127.0.0.1:1',
			leaving: now >= (scenario.leavingFrom?.[name] ?? Number.POSITIVE_INFINITY),
			load: 0,
		}));
}

function evidenceOf(scenario: Scenario, zone: string, now: number): Report['evidence'] {
	return Object.entries(scenario.failingFrom ?? {})
		.filter(([name]) => name.startsWith(zone))
		.flatMap(([name, {at, instances: failing}]) => (scenario.busyInstances ?? instances.slice(0, scenario.rosterSize ?? 3)).map(instance => {
			const isFailing = now >= at && failing.includes(instance);
			return {
				upstream: {service, name, incarnation: 1},
				answered: isFailing ? 0 : 5,
				failed: isFailing ? 2 : 0,
				timedOut: 0,
				shed: 0,
				inFlight: 1,
				meanLatencyMilliseconds: 5,
				seenBy: {name: instance, incarnation: 1},
			};
		}));
}

export function isPartitioned(scenario: Scenario, zone: string, now: number): boolean {
	const [from, until] = scenario.partitioned?.[zone] ?? [Number.POSITIVE_INFINITY, 0];
	return now >= from && now < until;
}

export function simulate(scenario: Scenario): SimulationResult {
	let watch = createWatch(0);
	let registry = emptyMembership;
	let index = 0;
	const log: Array<{at: number; name: string; change: string}> = [];
	const timesWithoutContact: number[] = [];
	const carryOut = (effect: WatchEffect, at: number) => {
		const {command} = effect;
		const name = command.kind === 'upstreamJoined' ? command.record.name : command.upstream.name;
		log.push({at, name, change: command.kind === 'upstreamPhaseChanged' ? command.phase : command.kind});
		timesWithoutContact.push(...('silentMilliseconds' in command ? [command.silentMilliseconds] : []));
		registry = applyMembership(registry, command, ++index).unwrapOr(registry);
	};

	const feed = (event: WatchEvent) => {
		const {state, effects} = advanceWatch(watch, event);
		watch = state;
		for (const effect of effects) {
			carryOut(effect, event.now);
		}
	};

	const rosterSizes = {'n-1': scenario.rosterSize ?? 3, 'n-2': scenario.rosterSize ?? 3};
	for (let now = 0; now <= scenario.untilMilliseconds; now += tickMilliseconds) {
		if (now === scenario.newLeaderAt) {
			watch = createWatch(now);
		}

		for (const zone of ['n-1', 'n-2'].filter(zone => now % reportMilliseconds === 0 && !isPartitioned(scenario, zone, now))) {
			const report = {...emptyReport, announcements: announcementsOf(scenario, zone, now), evidence: evidenceOf(scenario, zone, now)};
			feed({
				kind: 'reportReceived', now, report, reporter: {zone, instance: 'i1'},
			});
		}

		feed({
			kind: 'ticked', now, registry, contracts: [contractOf(scenario)], rosterSizes,
		});
	}

	return {
		registry, log, timesWithoutContact, flapping: flappingCount(watch, service, scenario.untilMilliseconds),
	};
}
