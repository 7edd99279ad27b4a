/**
 * The records of announced upstreams, at most one incarnation for each id, and the
 * commands that change them.
 */
import {memoize} from '@dogwooddeck/model/memoize';
import {failure, FailureKind, type Failure} from '@dogwooddeck/model/failure';
import {type WallTime} from '@dogwooddeck/model/identifiers';
import {isSocketAddress} from '@dogwooddeck/model/socket-address';
import {dispatch, type HandlerTable} from '@dogwooddeck/model/transition';
import {type UpstreamIncarnation, sameIncarnation} from '@dogwooddeck/key-lease/range';
import {err, ok, type Result} from 'true-myth/result';

/** The state that an upstream announces. */
export const UpstreamState = {
	ready: 'ready',
	/** It completes the work that it has and accepts no new work. */
	draining: 'draining',
} as const;

export type UpstreamState = (typeof UpstreamState)[keyof typeof UpstreamState];

/** The record of one incarnation of an upstream. */
export type UpstreamRecord = UpstreamIncarnation & {
	readonly service: string;
	/** The socket address, as `IP:port`. */
	readonly address: string;
	readonly zone: string;
	/** The number of requests that it processes concurrently. */
	readonly slots: number;
	readonly state: UpstreamState;
	/** Whether it was still slow after its start (warming up) when it was last recorded. */
	readonly cold: boolean;
};

/** Upstreams by id. */
export type Upstreams = Readonly<Record<string, UpstreamRecord>>;

/** An incarnation that departs; without `born`, the one that runs under the id. */
export type DepartingUpstream = Pick<UpstreamIncarnation, 'id'> & Partial<UpstreamIncarnation>;

/** The commands that the leader proposes about upstreams. */
export type UpstreamCommand =
	/** An incarnation announced itself, or its record changed. */
	| {readonly kind: 'upstreamAnnounced'; readonly upstream: UpstreamRecord}
	/** An incarnation announced its departure, at `at`; it may never have announced itself before. */
	| {readonly kind: 'upstreamDeparted'; readonly life: DepartingUpstream; readonly at: WallTime}
	/** An incarnation is removed after the contact timeout. */
	| {readonly kind: 'upstreamRemoved'; readonly life: UpstreamIncarnation};

function supersededReason(upstreams: Upstreams, {id, born, address, state}: UpstreamRecord): string | undefined {
	const recorded = upstreams[id];
	if (recorded !== undefined && recorded.born > born) {
		return `a later incarnation of ${id} is recorded`;
	}

	if (recorded?.born === born && recorded.state === UpstreamState.draining && state === UpstreamState.ready) {
		return `${id} is draining and can't become ready again`;
	}

	const later = Object.values(upstreams).find(other => other.address === address && other.id !== id && other.born > born);
	return later === undefined ? undefined : `${later.id}, a later upstream, has the same address`;
}

function announce(upstreams: Upstreams, upstream: UpstreamRecord): Result<Upstreams, Failure> {
	if (!isSocketAddress(upstream.address)) {
		return err(failure(FailureKind.malformed, `${upstream.id}: ${upstream.address} is not a valid socket address`));
	}

	const problem = supersededReason(upstreams, upstream);
	if (problem !== undefined) {
		return err(failure(FailureKind.superseded, problem));
	}

	const others = Object.entries(upstreams).filter(([id, {address}]) => id === upstream.id || address !== upstream.address);
	return ok({...Object.fromEntries(others), [upstream.id]: upstream});
}

function remove(upstreams: Upstreams, upstream: UpstreamIncarnation): Result<Upstreams, Failure> {
	const {[upstream.id]: recorded, ...others} = upstreams;
	return ok(sameIncarnation(recorded, upstream) ? others : upstreams);
}

/** Removes the record of a departing incarnation, or of an earlier one with its id, which has ended. Without `born`, the recorded one is no later. */
function depart(upstreams: Upstreams, {id, born = Infinity}: DepartingUpstream): Result<Upstreams, Failure> {
	const {[id]: recorded, ...others} = upstreams;
	return ok(recorded !== undefined && recorded.born <= born ? others : upstreams);
}

const handlers: HandlerTable<UpstreamCommand, [Upstreams], Result<Upstreams, Failure>> = {
	upstreamAnnounced: ({upstream}, upstreams) => announce(upstreams, upstream),
	upstreamDeparted: ({life}, upstreams) => depart(upstreams, life),
	upstreamRemoved: ({life}, upstreams) => remove(upstreams, life),
};

/** The kinds of upstream commands. */
export const upstreamCommandKinds = new Set<string>(Object.keys(handlers));

/** Applies a command. Fails with `superseded` if a later incarnation of the id or a later upstream at the address is recorded, or if a draining upstream announces itself as ready, and with `malformed` if the address is not valid. */
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

/** Whether an incarnation has ended because a later one has its id or address. */
export function isReplaced(upstreams: Upstreams, upstream: UpstreamIncarnation, address: string | undefined): boolean {
	const recorded = upstreams[upstream.id];
	const successor = address === undefined ? undefined : newestByAddress(upstreams).get(address);
	return (recorded !== undefined && recorded.born > upstream.born)
		|| (successor !== undefined && successor.id !== upstream.id && successor.born > upstream.born);
}
