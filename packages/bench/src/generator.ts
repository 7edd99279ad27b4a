/**
 * Makes traces of both deployments from a seed.
 */
import {PartitionPolicy} from '@dogwooddeck/model/contract';
import {createRandom, type Random} from './random.js';
import {
	deployments, type DeploymentShape, type Trace, type TraceEvent, upstreamName,
} from './trace.js';

/** The length of every trace. */
export const durationSeconds = 900;

/** The shortest time between two things that happen to upstreams of one trace. */
const spacingSeconds = 20;

type Maker = (deployment: DeploymentShape, random: Random) => readonly TraceEvent[];

type Upstream = {readonly service: string; readonly name: string};

function pick(deployment: DeploymentShape, random: Random): Upstream {
	const service = deployment.services[random.whole(0, deployment.services.length - 1)]!;
	return {service: service.name, name: upstreamName(service, random.whole(0, service.upstreams - 1))};
}

/** Different upstreams, so that no event meets one that another event already changed. */
function pickSome(deployment: DeploymentShape, random: Random, count: number): readonly Upstream[] {
	const picked = new Map<string, Upstream>();
	while (picked.size < count) {
		const upstream = pick(deployment, random);
		picked.set(upstream.name, upstream);
	}

	return [...picked.values()];
}

function restart(upstream: Upstream, at: number, away: number): readonly TraceEvent[] {
	return [{kind: 'leaving', at, ...upstream}, {kind: 'joined', at: at + away, ...upstream}];
}

function loss(upstream: Upstream, at: number, away: number): readonly TraceEvent[] {
	return [{kind: 'lost', at, ...upstream}, {kind: 'joined', at: at + away, ...upstream}];
}

const makers: Readonly<Record<string, Maker>> = {
	/** Hot keys change, one server is replaced, one sheds. */
	morning(deployment, random) {
		const [replaced, shedding, lying] = pickSome(deployment, random, 3);
		return [
			...restart(replaced!, 200 + random.whole(0, 60), 30),
			{
				kind: 'shedding', at: 400, until: 460, ...shedding!,
			},
			{kind: 'lying', at: 600 + random.whole(0, 60), ...lying!},
			{kind: 'joined', at: 720, ...lying!},
		];
	},
	/** Servers die, freeze and come back. */
	losses(deployment, random) {
		return pickSome(deployment, random, 8).flatMap((upstream, number) => {
			const at = 60 + (number * 80) + random.whole(0, spacingSeconds);
			return number % 4 === 3
				? [{
					kind: 'frozen', at, until: at + 25, ...upstream,
				} as const]
				: loss(upstream, at, 40 + random.whole(0, 60));
		});
	},
	/** All servers of all services are replaced, one after the other. */
	rolling(deployment) {
		const all = deployment.services.flatMap(service => Array.from({length: service.upstreams}, (_, number) => ({service: service.name, name: upstreamName(service, number)})));
		return all.flatMap((upstream, number) => restart(upstream, 60 + (number * 22), 12));
	},
	/** A few servers come and go again and again, and a rack is lost. */
	flapping(deployment, random) {
		const [first, second, ...rack] = pickSome(deployment, random, 6);
		const flaps = [first!, second!].flatMap((upstream, number) => Array.from({length: 8}, (_, round) =>
			loss(upstream, 60 + (number * 9) + (round * 45), 12)).flat());
		return [...flaps, ...rack.flatMap(upstream => loss(upstream, 600, 90))];
	},
	/** A zone is cut off. */
	zoneCut(deployment, random) {
		const zone = Object.keys(deployment.zones)[random.whole(1, 3)]!;
		const [lost] = pickSome(deployment, random, 1);
		return [{
			kind: 'zoneCut', at: 120, until: 360, zone,
		}, ...loss(lost!, 500, 60)];
	},
	/** The regions lose each other. */
	regionsCut(deployment, random) {
		const [lost] = pickSome(deployment, random, 1);
		return [{kind: 'regionsCut', at: 120, until: 300}, ...loss(lost!, 500, 60)];
	},
	/** Loads are heard of late while the hot keys change. */
	lagging(deployment, random) {
		const [replaced, lost] = pickSome(deployment, random, 2);
		return [
			{
				kind: 'lagging', at: 120, until: 780, bySeconds: 60,
			},
			...restart(replaced!, 250, 30),
			...loss(lost!, 500, 60),
		];
	},
};

function makeTrace(deployment: string, maker: string, seed: number, whenCut: PartitionPolicy): Trace {
	const numbers = [Object.keys(deployments).indexOf(deployment), Object.keys(makers).indexOf(maker)];
	const events = makers[maker]!(deployments[deployment]!, createRandom(seed, ...numbers));
	return {
		name: `${deployment}-${maker}`,
		deployment,
		seed,
		durationSeconds,
		whenCut,
		events: events.toSorted((one, other) => one.at - other.at),
	};
}

/** All traces of a seed. */
export function makeTraces(seed: number): readonly Trace[] {
	return Object.keys(deployments).flatMap(deployment => Object.keys(makers).map(maker => makeTrace(deployment, maker, seed, PartitionPolicy.hold)));
}
