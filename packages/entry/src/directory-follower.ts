/**
 * Follows the directory: changes from the nearest control instance that is in
 * touch with the leader, the newest state wins. A stream that falls silent is
 * opened anew, and others are followed meanwhile.
 */
import {monotonicNow} from '@dogwooddeck/clock/monotonic';
import {directoryMachine, type DirectoryState} from '@dogwooddeck/directory/state';
import {Distance, distanceOf} from '@dogwooddeck/gateway/selection';
import {type UpstreamIncarnation, incarnationText} from '@dogwooddeck/key-lease/range';
import {type FollowMessage} from '@dogwooddeck/mesh/calls';
import {type FollowStream, type MeshClients} from '@dogwooddeck/mesh/client';
import {type Failure} from '@dogwooddeck/model/failure';
import {
	type LogIndex, type Milliseconds, type MonotonicTime, type RegionName, type ZoneName,
} from '@dogwooddeck/model/identifiers';
import {LagWatch} from '@dogwooddeck/replica/lag-watch';
import {createStateHolder} from '@dogwooddeck/replica/state-holder';
import {EventName} from '@dogwooddeck/telemetry/event';
import {type Log} from '@dogwooddeck/telemetry/log';

/** What the follower knows. */
export type DirectoryFollower = {
	readonly state: () => DirectoryState;
	readonly listen: (listener: (state: DirectoryState) => void) => void;
	/** Whether the directory was once confirmed by a control instance in touch with the leader. */
	readonly isConfirmed: () => boolean;
	/** The nearest control instance that is heard. */
	readonly nearest: () => string | undefined;
	/** The number of entries of the deployment, as far as it is known; at least 1. */
	readonly entryCount: () => number;
	/** The part of the requests for its keys that an upstream with too much work can process; 1 for others. */
	readonly shareOf: (life: UpstreamIncarnation) => number;
	/** Follows further control instances. */
	readonly followAlso: (addresses: readonly string[]) => void;
	readonly stop: () => void;
};

/** What the follower works with. */
export type FollowerParts = {
	readonly name: string;
	readonly zone: ZoneName;
	/** The region of each zone. */
	readonly regions: Readonly<Record<ZoneName, RegionName>>;
	readonly seeds: readonly string[];
	readonly clients: MeshClients;
	readonly log: Log;
};

/** A stream is silent after this long: its sender writes each 250 ms. */
const silentMilliseconds: Milliseconds = 900;
const checkMilliseconds: Milliseconds = 200;
/** Until a stream has brought its first message it gets more time, to connect. */
const connectMilliseconds: Milliseconds = 1500;

/** While a nearer control instance has not been in touch with the leader for this long, others are followed beside it: an election takes as long. */
const staleMilliseconds: Milliseconds = 700;

/** One control instance, as a follower knows it. */
export type FollowedControl = {
	/** Undefined until it has said where it stands. */
	readonly distance?: Distance;
	readonly isOpen: boolean;
	readonly hasHeard: boolean;
	readonly heardAt: MonotonicTime;
	/** When it last said that it is in touch with the leader, or when its stream began. */
	readonly freshAt: MonotonicTime;
};

/** What was told of overloads holds for this long: a key is hot for seconds. */
const sharesMilliseconds: Milliseconds = 1500;

const ranks: Readonly<Record<Distance, number>> = {
	[Distance.sameZone]: 0,
	[Distance.sameRegion]: 1,
	[Distance.otherRegion]: 2,
};

/** Whether an instance is followed, and for what. */
export const Wanted = {
	/** To hear where it stands. */
	presence: 'presence',
	changes: 'changes',
	nothing: 'nothing',
} as const;

/** One of these. */
export type Wanted = (typeof Wanted)[keyof typeof Wanted];

/**
 * For what a control instance should be followed: for changes while none that is
 * nearer is heard and in touch with the leader, since each message is paid by
 * volume where it crosses zones, and costs each instance processor time.
 */
export function wantedOf({distance}: FollowedControl, all: readonly FollowedControl[], now: MonotonicTime): Wanted {
	if (distance === undefined) {
		return Wanted.presence;
	}

	const isServed = all.some(other => other.distance !== undefined && ranks[other.distance] < ranks[distance]
		&& other.isOpen && other.hasHeard && now - other.heardAt <= silentMilliseconds && now - other.freshAt <= staleMilliseconds);
	return isServed ? Wanted.nothing : Wanted.changes;
}

type Stream = {following?: FollowStream; distance?: Distance; wanted: Wanted; freshAt: MonotonicTime; heardAt: MonotonicTime; isOpen: boolean; hasHeard: boolean; entries: number};

/** Starts to follow. */
export function followDirectory({
	name, zone, regions, seeds, clients, log,
}: FollowerParts): DirectoryFollower {
	const holder = createStateHolder(directoryMachine);
	const streams = new Map<string, Stream>();
	const lag = new LagWatch(log);
	let isConfirmed = false;
	let shares: ReadonlyMap<string, number> = new Map();
	let sharesAt: MonotonicTime = -Infinity;
	/** The highest index that any control instance said was committed. */
	let committed: LogIndex = 0;

	function take(address: string, stream: Stream, message: FollowMessage): void {
		if (!stream.hasHeard && stream.wanted === Wanted.changes) {
			log.event(EventName.controlGained, {control: address, fresh: message.fresh, applied: holder.state().applied});
		}

		stream.heardAt = monotonicNow();
		stream.hasHeard = true;
		stream.freshAt = message.fresh ? stream.heardAt : stream.freshAt;
		stream.distance = distanceOf(zone, message.zone, regions);
		stream.entries = message.entryCount;
		shares = new Map(message.shares.map(({life, share}) => [incarnationText(life), share]));
		sharesAt = stream.heardAt;
		if (message.catchUp !== undefined) {
			holder.catchUp(message.catchUp);
		}

		committed = Math.max(committed, message.committed);
		isConfirmed ||= message.fresh && stream.wanted === Wanted.changes;
		for (const member of message.members) {
			open(member);
		}

		if (stream.wanted === Wanted.presence) {
			check();
		}
	}

	function end(address: string, stream: Stream, failed: Failure | undefined): void {
		stream.isOpen = false;
		if (stream.hasHeard && stream.wanted === Wanted.changes) {
			log.warning(EventName.controlLost, {
				control: address, silentFor: Math.round(monotonicNow() - stream.heardAt), applied: holder.state().applied, failure: failed?.kind, detail: failed?.detail,
			});
		}
	}

	function start(address: string, stream: Stream, wanted: Wanted): void {
		stream.isOpen = true;
		stream.wanted = wanted;
		stream.hasHeard = false;
		stream.heardAt = monotonicNow();
		stream.freshAt = stream.heardAt;
		stream.following = clients.follow(address, {entry: name, applied: holder.state().applied, wantsChanges: wanted === Wanted.changes}, {
			onPart() {
				stream.heardAt = monotonicNow();
			},
			onMessage(message) {
				take(address, stream, message);
			},
			onEnd(failed) {
				end(address, stream, failed);
			},
		});
	}

	function open(address: string): void {
		if (!streams.has(address)) {
			const stream: Stream = {
				wanted: Wanted.presence, freshAt: -Infinity, heardAt: monotonicNow(), isOpen: false, hasHeard: false, entries: 1,
			};
			streams.set(address, stream);
			start(address, stream, Wanted.presence);
		}
	}

	function check(): void {
		const now = monotonicNow();
		const all = [...streams.values()];
		lag.note(holder.state().applied, committed, now);
		for (const [address, stream] of streams) {
			const isSilent = now - stream.heardAt > (stream.hasHeard ? silentMilliseconds : connectMilliseconds);
			if (stream.isOpen && isSilent) {
				stream.following?.stop();
				clients.reopen(address);
			}

			const wanted = wantedOf(stream, all, now);
			if (stream.isOpen && wanted !== stream.wanted) {
				stream.following?.stop();
				if (wanted === Wanted.nothing) {
					clients.reopen(address);
				}
			}

			if (!stream.isOpen && wanted !== Wanted.nothing) {
				start(address, stream, wanted);
			}
		}
	}

	const checking = setInterval(check, checkMilliseconds);
	for (const seed of seeds) {
		open(seed);
	}

	return {
		state: holder.state,
		listen: holder.listen,
		isConfirmed: () => isConfirmed,
		nearest() {
			const heard = [...streams].filter(([, {isOpen, hasHeard, distance}]) => isOpen && hasHeard && distance !== undefined);
			return heard.sort(([, one], [, other]) => ranks[one.distance!] - ranks[other.distance!])[0]?.[0];
		},
		entryCount: () => Math.max(1, ...[...streams.values()].map(({isOpen, entries}) => isOpen ? entries : 1)),
		shareOf: life => monotonicNow() - sharesAt <= sharesMilliseconds ? shares.get(incarnationText(life)) ?? 1 : 1,
		followAlso(addresses) {
			for (const address of addresses) {
				open(address);
			}
		},
		stop() {
			clearInterval(checking);
			for (const stream of streams.values()) {
				stream.following?.stop();
			}
		},
	};
}
