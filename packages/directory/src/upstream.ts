/**
 * The upstreams that have announced themselves, one record for each life.
 */
import {memoize} from '@dogwooddeck/model/memoize';
import {failure, FailureKind, type Failure} from '@dogwooddeck/model/failure';
import {isSocketAddress} from '@dogwooddeck/model/socket-address';
import {dispatch, type HandlerTable} from '@dogwooddeck/model/transition';
import {type UpstreamIncarnation, sameIncarnation} from '@dogwooddeck/key-lease/range';
import {err, ok, type Result} from 'true-myth/result';

/** What an upstream says it is doing. */
export const UpstreamState = {
	ready: 'ready',
	/** It goes on with what it has and takes nothing new. */
	draining: 'draining',
} as const;

/** One of the states. */
export type UpstreamState = (typeof UpstreamState)[keyof typeof UpstreamState];

/** One life of an upstream. */
export type UpstreamRecord = UpstreamIncarnation & {
	readonly service: string;
	/** `IP:port`. */
	readonly address: string;
	readonly zone: string;
	/** The requests that it processes at a time. */
	readonly slots: number;
	readonly state: UpstreamState;
	/** Whether it was still slow after its start when it was last recorded. */
	readonly cold: boolean;
};

/** Upstreams by their id. */
export type Upstreams = Readonly<Record<string, UpstreamRecord>>;

/** What the leader proposes about upstreams. */
export type UpstreamCommand =
	/** A life was announced, or its record changed. */
	| {readonly kind: 'upstreamAnnounced'; readonly upstream: UpstreamRecord}
	/** A life says that it is gone. */
	| {readonly kind: 'upstreamDeparted'; readonly life: UpstreamIncarnation}
	/** A life was not heard any more. */
	| {readonly kind: 'upstreamRemoved'; readonly life: UpstreamIncarnation};

function superseded(upstreams: Upstreams, {id, born, address, state}: UpstreamRecord): string | undefined {
	const known = upstreams[id];
	if (known !== undefined && known.born > born) {
		return `a later life of ${id} is known`;
	}

	if (known?.born === born && known.state === UpstreamState.draining && state === UpstreamState.ready) {
		return `${id} is leaving`;
	}

	const later = Object.values(upstreams).find(other => other.address === address && other.id !== id && other.born > born);
	return later === undefined ? undefined : `${later.id} has the address since`;
}

function announce(upstreams: Upstreams, upstream: UpstreamRecord): Result<Upstreams, Failure> {
	if (!isSocketAddress(upstream.address)) {
		return err(failure(FailureKind.malformed, `${upstream.id}: no connection can be made to ${upstream.address}`));
	}

	const problem = superseded(upstreams, upstream);
	if (problem !== undefined) {
		return err(failure(FailureKind.superseded, problem));
	}

	const others = Object.entries(upstreams).filter(([id, {address}]) => id === upstream.id || address !== upstream.address);
	return ok({...Object.fromEntries(others), [upstream.id]: upstream});
}

function remove(upstreams: Upstreams, life: UpstreamIncarnation): Result<Upstreams, Failure> {
	const {[life.id]: known, ...others} = upstreams;
	return ok(sameIncarnation(known, life) ? others : upstreams);
}

const handlers: HandlerTable<UpstreamCommand, [Upstreams], Result<Upstreams, Failure>> = {
	upstreamAnnounced: ({upstream}, upstreams) => announce(upstreams, upstream),
	upstreamDeparted: ({life}, upstreams) => remove(upstreams, life),
	upstreamRemoved: ({life}, upstreams) => remove(upstreams, life),
};

/** The kinds of commands about upstreams. */
export const upstreamCommandKinds = new Set<string>(Object.keys(handlers));

/** Takes a command in. Fails with `superseded` where a later life is known, and with `malformed` where the address does not exist. */
export function applyUpstreamCommand(upstreams: Upstreams, command: UpstreamCommand): Result<Upstreams, Failure> {
	return dispatch(handlers, command, upstreams);
}

const newestByAddress = memoize((upstreams: Upstreams) => {
	const newest = new Map<string, UpstreamRecord>();
	for (const upstream of Object.values(upstreams)) {
		if (upstream.born > (newest.get(upstream.address)?.born ?? -Infinity)) {
			newest.set(upstream.address, upstream);
		}
	}

	return newest;
});

/** Whether a life is known to have ended because a later one has its name or address. */
export function isReplaced(upstreams: Upstreams, life: UpstreamIncarnation, address: string | undefined): boolean {
	const known = upstreams[life.id];
	const successor = address === undefined ? undefined : newestByAddress(upstreams).get(address);
	return (known !== undefined && known.born > life.born)
		|| (successor !== undefined && successor.id !== life.id && successor.born > life.born);
}
