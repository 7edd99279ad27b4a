/**
 * Replicates the directory: streams changes from the nearest control instance that
 * is in contact with the leader, and keeps the newest state. A stream that stops
 * sending is reopened, and other instances are followed in the meantime.
 */
import {monotonicNow} from '@dogwooddeck/clock/monotonic';
import {directoryMachine, type DirectoryState} from '@dogwooddeck/directory/state';
import {ColdLeases} from '@dogwooddeck/gateway/cold-lease';
import {Distance, distanceOf} from '@dogwooddeck/gateway/upstream-selection';
import {type UpstreamIncarnation, incarnationText} from '@dogwooddeck/key-lease/range';
import {type FollowMessage} from '@dogwooddeck/mesh/calls';
import {type FollowStream, type MeshClients} from '@dogwooddeck/mesh/client';
import {type Failure} from '@dogwooddeck/model/failure';
import {
	type LogIndex, type Milliseconds, type MonotonicTime, type RegionName, type ZoneName,
} from '@dogwooddeck/model/identifiers';
import {LagMonitor} from '@dogwooddeck/replica/lag-monitor';
import {createStateHolder} from '@dogwooddeck/replica/state-holder';
import {EventName} from '@dogwooddeck/telemetry/event';
import {type Log} from '@dogwooddeck/telemetry/log';

/** The replicated directory, and what control instances report beside it. */
export type DirectoryFollower = {
	readonly state: () => DirectoryState;
	readonly listen: (listener: (state: DirectoryState) => void) => void;
	/** Whether a control instance in contact with the leader has confirmed the directory at least once. */
	readonly isConfirmed: () => boolean;
	/** Returns the last time at which the directory was known to be current, before the change that is being applied; `-Infinity` if it never was. */
	readonly currentAt: () => MonotonicTime;
	/** Returns the address of the nearest control instance with an active stream. */
	readonly nearest: () => string | undefined;
	/** Returns the address of the control instance of a zone; the same at all instances that know the same members. */
	readonly controlOf: (zone: ZoneName) => string | undefined;
	/** Returns the number of entry instances of the deployment, as last reported; at least 1. */
	readonly entryCount: () => number;
	/** Returns the fraction of the requests for its keys that an overloaded upstream can process; 1 for other upstreams. */
	readonly shareOf: (upstream: UpstreamIncarnation) => number;
	/** Returns the fraction of the requests for one key that its holder can process; undefined if the key has no share of its own. */
	readonly keyShareOf: (upstream: UpstreamIncarnation, key: number) => number | undefined;
	/** Returns the fraction of a cold upstream's capacity that this instance may use; 0 without a lease. */
	readonly coldFractionOf: (upstream: string, zone: ZoneName, now: MonotonicTime) => number;
	/** Returns when a control instance in contact with the leader last sent a message. */
	readonly contactAt: () => MonotonicTime;
	/** Follows further control instances. */
	readonly followAlso: (addresses: readonly string[]) => void;
	readonly stop: () => void;
};

/** What the follower depends on. */
export type FollowerDependencies = {
	readonly name: string;
	readonly zone: ZoneName;
	/** The region of each zone. */
	readonly regions: Readonly<Record<ZoneName, RegionName>>;
	readonly seeds: readonly string[];
	readonly clients: MeshClients;
	readonly log: Log;
};

/** A stream that receives no data for this long is closed and reopened: its sender writes each 250 ms. */
const contactTimeoutMilliseconds: Milliseconds = 900;
const checkMilliseconds: Milliseconds = 200;
/** The longer timeout for the first message of a stream, which includes connecting. */
const connectMilliseconds: Milliseconds = 1500;

/** When a nearer control instance has had no contact with the leader for this long, others are followed too: an election takes as long. */
const leaderContactTimeoutMilliseconds: Milliseconds = 700;

/** The state of the stream from one control instance. */
export type ControlStreamState = {
	/** Undefined until it has reported its zone. */
	readonly distance?: Distance;
	readonly isOpen: boolean;
	readonly hasReceived: boolean;
	readonly lastContactAt: MonotonicTime;
	/** When it last reported contact with the leader, or when its stream began. */
	readonly leaderContactAt: MonotonicTime;
};

/** Reported overloads are valid for this long: a key is hot for seconds. */
const sharesLifetimeMilliseconds: Milliseconds = 1500;

/** How much of a list of upstreams is logged. */
const maximumLoggedCharacters = 400;

const ranks: Readonly<Record<Distance, number>> = {
	[Distance.sameZone]: 0,
	[Distance.sameRegion]: 1,
	[Distance.otherRegion]: 2,
};

/** What is requested from a control instance. */
export const FollowMode = {
	/** Its zone, members and contact with the leader, without changes of the directory. */
	presence: 'presence',
	changes: 'changes',
	nothing: 'nothing',
} as const;

/** One of the values of `FollowMode`. */
export type FollowMode = (typeof FollowMode)[keyof typeof FollowMode];

/**
 * Returns what to request from a control instance: changes, unless a nearer one has
 * an active stream and contact with the leader, since traffic between zones is
 * charged by volume, and each message costs each instance processor time.
 */
export function followModeOf({distance}: ControlStreamState, all: readonly ControlStreamState[], now: MonotonicTime): FollowMode {
	if (distance === undefined) {
		return FollowMode.presence;
	}

	const isServed = all.some(other => other.distance !== undefined && ranks[other.distance] < ranks[distance]
		&& other.isOpen && other.hasReceived && now - other.lastContactAt <= contactTimeoutMilliseconds && now - other.leaderContactAt <= leaderContactTimeoutMilliseconds);
	return isServed ? FollowMode.nothing : FollowMode.changes;
}

/** What a share is announced for: all keys of an upstream, or one of them. */
function shareName(upstream: UpstreamIncarnation, key?: number): string {
	return key === undefined ? incarnationText(upstream) : `${incarnationText(upstream)}#${key}`;
}

type ControlStream = {following?: FollowStream; distance?: Distance; zone?: ZoneName; mode: FollowMode; leaderContactAt: MonotonicTime; lastContactAt: MonotonicTime; isOpen: boolean; hasReceived: boolean; entries: number};

/** Starts to follow the control instances at `seeds`, and the members that they report. */
export function followDirectory({
	name, zone, regions, seeds, clients, log,
}: FollowerDependencies): DirectoryFollower {
	const holder = createStateHolder(directoryMachine);
	const streams = new Map<string, ControlStream>();
	const lag = new LagMonitor(log);
	let isConfirmed = false;
	let currentAt: MonotonicTime = -Infinity;
	/** The last two runs of the check timer: what is read after the last arrived after the one before it, also if this process did not run in between. */
	let checkedAt: MonotonicTime = -Infinity;
	let checkedBefore: MonotonicTime = -Infinity;
	/** The control instances that the last message listed. */
	let members: ReadonlySet<string> = new Set();
	let shares: ReadonlyMap<string, number> = new Map();
	let sharesAt: MonotonicTime = -Infinity;
	let contactAt: MonotonicTime = -Infinity;
	const coldLeases = new ColdLeases(name);
	/** The highest log index that any control instance reported as committed. */
	let committed: LogIndex = 0;

	function announcedShare(name: string): number | undefined {
		return monotonicNow() - sharesAt <= sharesLifetimeMilliseconds ? shares.get(name) : undefined;
	}

	function logLeaseChanges(): void {
		const {gained, lost} = coldLeases.takeChanges(monotonicNow());
		for (const [event, upstreams] of [[EventName.coldLeaseGained, gained], [EventName.coldLeaseLost, lost]] as const) {
			if (upstreams.length > 0) {
				log.event(event, {count: upstreams.length, upstreams: upstreams.join(',').slice(0, maximumLoggedCharacters)});
			}
		}
	}

	function receive(address: string, stream: ControlStream, message: FollowMessage): void {
		if (!stream.hasReceived && stream.mode === FollowMode.changes) {
			log.event(EventName.controlGained, {control: address, fresh: message.fresh, applied: holder.state().applied});
		}

		stream.lastContactAt = monotonicNow();
		stream.hasReceived = true;
		stream.leaderContactAt = message.fresh ? stream.lastContactAt : stream.leaderContactAt;
		stream.distance = distanceOf(zone, message.zone, regions);
		stream.zone = message.zone;
		members = new Set([...message.members, address]);
		stream.entries = message.entryCount;
		shares = new Map(message.shares.map(({life, share, key}) => [shareName(life, key), share]));
		sharesAt = stream.lastContactAt;
		coldLeases.receive(address, message, stream.lastContactAt);
		logLeaseChanges();
		contactAt = message.fresh && stream.mode === FollowMode.changes ? stream.lastContactAt : contactAt;
		if (message.catchUp !== undefined) {
			holder.catchUp(message.catchUp);
		}

		committed = Math.max(committed, message.committed);
		currentAt = message.fresh && holder.state().applied >= message.committed ? checkedBefore : currentAt;
		isConfirmed ||= message.fresh && stream.mode === FollowMode.changes;
		for (const member of message.members) {
			open(member);
		}

		if (stream.mode === FollowMode.presence) {
			check();
		}
	}

	function end(address: string, stream: ControlStream, failed: Failure | undefined): void {
		stream.isOpen = false;
		if (stream.hasReceived && stream.mode === FollowMode.changes) {
			log.warning(EventName.controlLost, {
				control: address, silentFor: Math.round(monotonicNow() - stream.lastContactAt), applied: holder.state().applied, failure: failed?.kind, detail: failed?.detail,
			});
		}
	}

	function start(address: string, stream: ControlStream, mode: FollowMode): void {
		stream.isOpen = true;
		stream.mode = mode;
		stream.hasReceived = false;
		stream.lastContactAt = monotonicNow();
		stream.leaderContactAt = stream.lastContactAt;
		coldLeases.open(address, stream.lastContactAt);
		stream.following = clients.follow(address, {entry: name, applied: holder.state().applied, wantsChanges: mode === FollowMode.changes}, {
			onPart() {
				stream.lastContactAt = monotonicNow();
			},
			onMessage(message) {
				receive(address, stream, message);
			},
			onEnd(failed) {
				end(address, stream, failed);
			},
		});
	}

	function open(address: string): void {
		if (!streams.has(address)) {
			const stream: ControlStream = {
				mode: FollowMode.presence, leaderContactAt: -Infinity, lastContactAt: monotonicNow(), isOpen: false, hasReceived: false, entries: 1,
			};
			streams.set(address, stream);
			start(address, stream, FollowMode.presence);
		}
	}

	function check(): void {
		const now = monotonicNow();
		const all = [...streams.values()];
		lag.record(holder.state().applied, committed, now);
		logLeaseChanges();
		for (const [address, stream] of streams) {
			const isTimedOut = now - stream.lastContactAt > (stream.hasReceived ? contactTimeoutMilliseconds : connectMilliseconds);
			if (stream.isOpen && isTimedOut) {
				stream.following?.stop();
				clients.reopen(address);
			}

			const mode = followModeOf(stream, all, now);
			if (stream.isOpen && mode !== stream.mode) {
				stream.following?.stop();
				if (mode === FollowMode.nothing) {
					clients.reopen(address);
				}
			}

			if (!stream.isOpen && mode !== FollowMode.nothing) {
				start(address, stream, mode);
			}
		}
	}

	const checkTimer = setInterval(() => {
		checkedBefore = checkedAt;
		checkedAt = monotonicNow();
		check();
	}, checkMilliseconds);
	for (const seed of seeds) {
		open(seed);
	}

	return {
		state: holder.state,
		listen: holder.listen,
		isConfirmed: () => isConfirmed,
		currentAt: () => currentAt,
		nearest() {
			const active = [...streams].filter(([, {isOpen, hasReceived, distance}]) => isOpen && hasReceived && distance !== undefined);
			return active.sort(([, one], [, other]) => ranks[one.distance!] - ranks[other.distance!])[0]?.[0];
		},
		controlOf: wanted => [...streams].filter(([address, stream]) => stream.zone === wanted && members.has(address)).map(([address]) => address).sort()[0],
		entryCount: () => Math.max(1, ...[...streams.values()].map(({isOpen, entries}) => isOpen ? entries : 1)),
		shareOf: upstream => announcedShare(shareName(upstream)) ?? 1,
		keyShareOf: (upstream, key) => announcedShare(shareName(upstream, key)),
		coldFractionOf: (upstream, upstreamZone, now) => coldLeases.fractionOf(upstream, upstreamZone, now),
		contactAt: () => contactAt,
		followAlso(addresses) {
			for (const address of addresses) {
				open(address);
			}
		},
		stop() {
			clearInterval(checkTimer);
			for (const stream of streams.values()) {
				stream.following?.stop();
			}
		},
	};
}
