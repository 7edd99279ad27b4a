/**
 * Asks for the same keys again and again through several instances, as many
 * callers would, and remembers how each request went.
 */
import {type Milliseconds, type MonotonicTime} from '@dogwooddeck/model/identifiers';
import {monotonicNow} from '@dogwooddeck/clock/monotonic';
import {Pool} from 'undici';
import {type TrialInstance} from './deployment.js';

/** One request and how it went. */
export type Sighting = {
	readonly key: string;
	readonly instance: string;
	readonly sentAt: MonotonicTime;
	readonly endedAt: MonotonicTime;
	/** 0: the connection was refused or broken. */
	readonly status: number;
	/** Empty: none, or it is not known. */
	readonly upstream: string;
	/** Whether the connection broke after it stood: the answer was cut off. */
	readonly broken: boolean;
};

/** Callers that go on until they are stopped. */
export type Watcher = {
	readonly sightings: readonly Sighting[];
	/** Sends no more to an instance, as a balancer does. */
	readonly avoid: (instance: TrialInstance) => void;
	readonly include: (instance: TrialInstance) => void;
	/** Ends once all requests are over. */
	readonly stop: () => Promise<readonly Sighting[]>;
};

const pauseMilliseconds: Milliseconds = 20;
const refused: ReadonlySet<string> = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT']);

async function ask(pool: Pool, instance: string, key: string): Promise<Sighting> {
	const sentAt = monotonicNow();
	const seen = {key, instance, sentAt};
	try {
		const {statusCode, body} = await pool.request({method: 'GET', path: `/schedule/${key}`});
		const text = await body.text();
		const upstream = statusCode === 200 ? (JSON.parse(text) as {readonly upstream: string}).upstream : '';
		return {
			...seen, endedAt: monotonicNow(), status: statusCode, upstream, broken: false,
		};
	} catch (error) {
		const code = (error as {readonly code?: string}).code ?? '';
		return {
			...seen, endedAt: monotonicNow(), status: 0, upstream: '', broken: !refused.has(code),
		};
	}
}

/** Starts to watch: one caller for each key and instance. */
export function startWatcher(instances: readonly TrialInstance[], keys: readonly string[]): Watcher {
	const sightings: Sighting[] = [];
	const avoided = new Set<string>();
	let stopped = false;
	const pools = instances.map(({addresses}) => new Pool(`http://${addresses.callers}`, {connections: keys.length, pipelining: 1}));

	async function repeat(pool: Pool, name: string, key: string): Promise<void> {
		while (!stopped) {
			if (!avoided.has(name)) {
				sightings.push(await ask(pool, name, key));
			}

			await new Promise(resolve => {
				setTimeout(resolve, pauseMilliseconds);
			});
		}
	}

	const callers = instances.flatMap((instance, position) => keys.map(async key => repeat(pools[position]!, instance.name, key)));
	return {
		sightings,
		avoid(instance) {
			avoided.add(instance.name);
		},
		include(instance) {
			avoided.delete(instance.name);
		},
		async stop() {
			stopped = true;
			await Promise.all(callers);
			await Promise.all(pools.map(async pool => pool.destroy()));
			return sightings;
		},
	};
}

/** For each key, the time from a moment until it was served well again by an upstream other than the lost one. */
export function outages(sightings: readonly Sighting[], lost: string, since: MonotonicTime): ReadonlyMap<string, Milliseconds> {
	const keys = new Set(sightings.filter(({upstream, endedAt}) => upstream === lost && endedAt <= since).map(({key}) => key));
	return new Map([...keys].map(key => {
		const again = sightings.find(sighting => sighting.key === key && sighting.endedAt > since && sighting.status === 200 && sighting.upstream !== lost);
		return [key, (again?.endedAt ?? Infinity) - since] as const;
	}));
}

/** The keys that two upstreams served at overlapping times. A request's time is from its sending to its end. */
export function doubleOwners(sightings: readonly Sighting[]): readonly string[] {
	const served = sightings.filter(({upstream}) => upstream !== '');
	const found = new Set<string>();
	const latest = new Map<string, Map<string, {first: number; last: number}>>();
	for (const {key, upstream, endedAt} of served) {
		const owners = latest.get(key) ?? new Map<string, {first: number; last: number}>();
		latest.set(key, owners);
		const span = owners.get(upstream) ?? {first: endedAt, last: endedAt};
		owners.set(upstream, {first: Math.min(span.first, endedAt), last: Math.max(span.last, endedAt)});
	}

	for (const [key, owners] of latest) {
		const spans = [...owners.values()].sort((one, other) => one.first - other.first);
		if (spans.some((span, position) => position > 0 && span.first < spans[position - 1]!.last)) {
			found.add(key);
		}
	}

	return [...found];
}
