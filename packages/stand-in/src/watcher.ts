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
	/** The kind of the failure that was told; empty: none. */
	readonly failureKind: string;
	/** What was told of the failure beside its kind; empty: nothing. */
	readonly failureDetail: string;
	/** Empty: none, or it is not known. */
	readonly upstream: string;
	/** The fence number that the upstream was sent; 0: none is known. */
	readonly fence: number;
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

const shortPauseMilliseconds: Milliseconds = 20;
const refused: ReadonlySet<string> = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT']);

type Told = Pick<Sighting, 'upstream' | 'fence' | 'failureKind' | 'failureDetail'>;

const nothingTold: Told = {
	upstream: '', fence: 0, failureKind: '', failureDetail: '',
};

function told(status: number, mediaType: string, text: string): Told {
	if (!mediaType.includes('json')) {
		return nothingTold;
	}

	const {upstream = '', fence = 0, kind = '', detail = ''} = JSON.parse(text) as {readonly upstream?: string; readonly fence?: number; readonly kind?: string; readonly detail?: string};
	return status === 200 ? {...nothingTold, upstream, fence} : {...nothingTold, failureKind: kind, failureDetail: detail};
}

async function ask(pool: Pool, instance: string, key: string): Promise<Sighting> {
	const sentAt = monotonicNow();
	const seen = {key, instance, sentAt};
	try {
		const {statusCode, headers, body} = await pool.request({method: 'GET', path: `/schedule/${key}`});
		const text = await body.text();
		return {
			...seen, endedAt: monotonicNow(), status: statusCode, ...told(statusCode, String(headers['content-type']), text), broken: false,
		};
	} catch (error) {
		const code = (error as {readonly code?: string}).code ?? '';
		return {
			...seen, endedAt: monotonicNow(), status: 0, ...nothingTold, broken: !refused.has(code),
		};
	}
}

/** Starts to watch: one caller for each key and instance, which pauses after each answer. */
export function startWatcher(instances: readonly TrialInstance[], keys: readonly string[], pauseMilliseconds = shortPauseMilliseconds): Watcher {
	const sightings: Sighting[] = [];
	const avoided = new Set<string>();
	const state = {stopped: false};
	const pools = instances.map(({addresses}) => new Pool(`http://${addresses.callers}`, {connections: keys.length, pipelining: 1}));

	async function repeat(pool: Pool, name: string, key: string): Promise<void> {
		while (!state.stopped) {
			if (!avoided.has(name)) {
				sightings.push(await ask(pool, name, key));
			}

			await new Promise(resolve => {
				setTimeout(resolve, pauseMilliseconds).unref();
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
			state.stopped = true;
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

function isDouble(served: readonly Sighting[]): boolean {
	const byEnd = [...served].sort((one, other) => one.endedAt - other.endedAt);
	const owners = new Map<number, string>();
	const greatest = new Map<string, number>();
	let ended = 0;
	for (const sighting of [...served].sort((one, other) => one.sentAt - other.sentAt)) {
		while (ended < byEnd.length && byEnd[ended]!.endedAt < sighting.sentAt) {
			const {upstream, fence} = byEnd[ended]!;
			greatest.set(upstream, Math.max(greatest.get(upstream) ?? 0, fence));
			ended++;
		}

		const isLate = [...greatest].some(([upstream, fence]) => upstream !== sighting.upstream && fence > sighting.fence);
		if (isLate || (owners.get(sighting.fence) ?? sighting.upstream) !== sighting.upstream) {
			return true;
		}

		owners.set(sighting.fence, sighting.upstream);
	}

	return false;
}

/**
 * The keys that had more than one owner: a fence number was served by two
 * upstreams, or a request that was sent after another had ended went to another
 * upstream under a smaller fence number than that one. The fence of one owner
 * may be renewed, as when a key is pinned.
 */
export function doubleOwners(sightings: readonly Sighting[]): readonly string[] {
	const served = sightings.filter(({upstream}) => upstream !== '');
	const keys = [...new Set(served.map(({key}) => key))];
	return keys.filter(key => isDouble(served.filter(sighting => sighting.key === key)));
}
