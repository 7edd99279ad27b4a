/**
 * A recorded trace: which deployment it is of, what happened in it, and the
 * outcome that a replay must give. Requests are not recorded one by one; the
 * weights of keys follow from the seed.
 */
import {type PartitionPolicy, type MovePreference} from '@dogwooddeck/model/contract';

/** What happens to upstreams and links. Times are seconds since the trace's start. */
export type TraceEvent =
	/** An upstream starts, in its next life. */
	| {readonly kind: 'joined'; readonly at: number; readonly service: string; readonly name: string}
	/** It announces that it leaves, and stops when it owns nothing. */
	| {readonly kind: 'leaving'; readonly at: number; readonly service: string; readonly name: string}
	/** Its process is gone. */
	| {readonly kind: 'lost'; readonly at: number; readonly service: string; readonly name: string}
	/** It hangs, and returns as if nothing had happened; it then restarts. */
	| {readonly kind: 'frozen'; readonly at: number; readonly until: number; readonly service: string; readonly name: string}
	/** It goes on announcing itself as healthy, but answers nothing. */
	| {readonly kind: 'lying'; readonly at: number; readonly service: string; readonly name: string}
	/** It sheds: it carries only half of its load. */
	| {readonly kind: 'shedding'; readonly at: number; readonly until: number; readonly service: string; readonly name: string}
	/** Reports of loads reach control late; what it hears in the meantime is as old. */
	| {readonly kind: 'lagging'; readonly at: number; readonly until: number; readonly bySeconds: number}
	/** No link leads into or out of a zone. */
	| {readonly kind: 'zoneCut'; readonly at: number; readonly until: number; readonly zone: string}
	/** The regions lose each other; control stays in the first. */
	| {readonly kind: 'regionsCut'; readonly at: number; readonly until: number};

/** What is stated about the outcome, for the committed traces. */
export type StatedOutcome = {
	readonly unavailableKeySeconds: number;
	readonly moves: number;
	readonly forcedMoves: number;
	readonly keyImbalance: number;
	readonly loadImbalance: number;
};

/** A trace. */
export type Trace = {
	readonly name: string;
	readonly deployment: string;
	readonly seed: number;
	readonly durationSeconds: number;
	readonly whenCut: PartitionPolicy;
	readonly events: readonly TraceEvent[];
	/** The outcome of our policy. */
	readonly outcome?: StatedOutcome;
};

/** One service of a deployment, and its traffic. */
export type ServiceShape = {
	readonly name: string;
	readonly upstreams: number;
	readonly keys: number;
	/** The exponent of Zipf's law for the weights of keys. */
	readonly skew: number;
	/** Requests a second at the height of the day. */
	readonly requestsPerSecond: number;
	readonly serviceMilliseconds: number;
	/** Bytes of a request and its answer. */
	readonly exchangeBytes: number;
	/** Bytes of the state that an upstream keeps for a key. */
	readonly stateBytes: number;
};

/** One deployment. */
export type DeploymentShape = {
	readonly weigh: MovePreference;
	readonly regions: readonly string[];
	/** By zone, the zone's region. */
	readonly zones: Readonly<Record<string, string>>;
	/** Requests that one upstream runs at one time. */
	readonly upstreamSlots: number;
	readonly zoneMilliseconds: number;
	readonly regionMilliseconds: number;
	readonly services: readonly ServiceShape[];
};

/** The number of keys that are the hottest at one time, and change. */
export const hotKeys = 11;
/** How long the hottest keys stay the same. */
export const hotSeconds = 150;
/** The part of a key's requests that comes from its home region. */
export const homeShare = 0.8;

/** The deployments at today's sizes. */
export const deployments: Readonly<Record<string, DeploymentShape>> = {
	bermrand: {
		weigh: 'availability',
		regions: ['noord', 'zuid'],
		zones: {
			'noord-1': 'noord', 'noord-2': 'noord', 'zuid-1': 'zuid', 'zuid-2': 'zuid',
		},
		upstreamSlots: 3,
		zoneMilliseconds: 1.5,
		regionMilliseconds: 30,
		services: [
			{
				name: 'bermrand/schedule', upstreams: 17, keys: 20_000, skew: 0.9, requestsPerSecond: 1500, serviceMilliseconds: 20, exchangeBytes: 1200, stateBytes: 4000,
			},
			{
				name: 'bermrand/booking', upstreams: 8, keys: 8000, skew: 0.7, requestsPerSecond: 300, serviceMilliseconds: 40, exchangeBytes: 900, stateBytes: 2000,
			},
			{
				name: 'bermrand/completion', upstreams: 8, keys: 8000, skew: 0.7, requestsPerSecond: 240, serviceMilliseconds: 40, exchangeBytes: 900, stateBytes: 2000,
			},
		],
	},
	valbrembo: {
		weigh: 'churn',
		regions: ['lombardia', 'veneto'],
		zones: {
			'lombardia-1': 'lombardia', 'lombardia-2': 'lombardia', 'veneto-1': 'veneto', 'veneto-2': 'veneto',
		},
		upstreamSlots: 2,
		zoneMilliseconds: 0.5,
		regionMilliseconds: 30,
		services: [
			{
				name: 'valbrembo/catalogue', upstreams: 16, keys: 30_000, skew: 0.9, requestsPerSecond: 1100, serviceMilliseconds: 15, exchangeBytes: 2000, stateBytes: 4000,
			},
			{
				name: 'valbrembo/orders', upstreams: 8, keys: 6000, skew: 0.7, requestsPerSecond: 130, serviceMilliseconds: 50, exchangeBytes: 900, stateBytes: 2000,
			},
			{
				name: 'valbrembo/reservations', upstreams: 8, keys: 6000, skew: 0.7, requestsPerSecond: 110, serviceMilliseconds: 50, exchangeBytes: 900, stateBytes: 2000,
			},
		],
	},
};

/** The name of a service's upstream by its number. */
export function upstreamName(service: ServiceShape, number: number): string {
	return `${service.name.split('/').at(-1)}-${number}`;
}

/** The zone that an upstream stands in, by its number. */
export function zoneOf(deployment: DeploymentShape, name: string): string {
	const zones = Object.keys(deployment.zones);
	return zones[Number(name.split('-').at(-1)) % zones.length]!;
}
