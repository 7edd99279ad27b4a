/**
 * Follows the directory: streams from all control instances that are known, the
 * newest state wins. A stream that falls silent is opened anew.
 */
import {monotonicNow} from '@dogwooddeck/clock/monotonic';
import {directoryMachine, type DirectoryState} from '@dogwooddeck/directory/state';
import {type FollowMessage} from '@dogwooddeck/mesh/calls';
import {type Following, type MeshClients} from '@dogwooddeck/mesh/client';
import {
	type Milliseconds, type MonotonicTime, type RegionName, type ZoneName,
} from '@dogwooddeck/model/identifiers';
import {createStateHolder} from '@dogwooddeck/replica/state-holder';
import {EventName} from '@dogwooddeck/telemetry/event';
import {type Log} from '@dogwooddeck/telemetry/log';

/** What the follower knows. */
export type DirectoryFollower = {
	readonly state: () => DirectoryState;
	readonly listen: (listener: (state: DirectoryState) => void) => void;
	/** Whether the directory was once confirmed by a control instance in touch with the leader. */
	readonly isConfirmed: () => boolean;
	readonly leader: () => string | undefined;
	/** The number of entries of the deployment, as far as it is known; at least 1. */
	readonly entryCount: () => number;
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

/** One control instance, as a follower knows it. */
export type FollowedControl = {
	/** Whether it stands in the follower's own region; undefined until it has said where it stands. */
	readonly isNear?: boolean;
	readonly isOpen: boolean;
	readonly hasHeard: boolean;
	readonly heardAt: MonotonicTime;
	/** Whether its last message said that it is in touch with the leader. */
	readonly isFresh: boolean;
};

/**
 * Which control instances should be followed: those of the own region, since the
 * link between regions is narrow and paid by volume; all others while none of the
 * region is heard and in touch with the leader.
 */
export function shouldFollow(control: FollowedControl, all: readonly FollowedControl[], now: MonotonicTime): boolean {
	return control.isNear !== false || !all.some(({isNear, isOpen, hasHeard, heardAt, isFresh}) => isNear === true && isOpen && hasHeard && isFresh && now - heardAt <= silentMilliseconds);
}

type Stream = {following?: Following; isNear?: boolean; isFresh: boolean; heardAt: MonotonicTime; isOpen: boolean; hasHeard: boolean; entries: number};

/** Starts to follow. */
export function followDirectory({
	name, zone, regions, seeds, clients, log,
}: FollowerParts): DirectoryFollower {
	const holder = createStateHolder(directoryMachine);
	const streams = new Map<string, Stream>();
	let isConfirmed = false;
	let leader: string | undefined;

	function take(address: string, stream: Stream, message: FollowMessage): void {
		if (!stream.hasHeard) {
			log.event(EventName.controlGained, {control: address, fresh: message.fresh, applied: holder.state().applied});
		}

		stream.heardAt = monotonicNow();
		stream.hasHeard = true;
		stream.isFresh = message.fresh;
		stream.isNear = regions[message.zone] === regions[zone];
		stream.entries = message.entryCount;
		if (message.catchUp !== undefined) {
			holder.catchUp(message.catchUp);
		}

		isConfirmed ||= message.fresh;
		leader = message.fresh ? message.leader ?? leader : leader;
		for (const member of message.members) {
			open(member);
		}
	}

	function end(address: string, stream: Stream): void {
		stream.isOpen = false;
		if (stream.hasHeard) {
			log.warning(EventName.controlLost, {control: address, silentFor: Math.round(monotonicNow() - stream.heardAt), applied: holder.state().applied});
		}
	}

	function start(address: string, stream: Stream): void {
		stream.isOpen = true;
		stream.hasHeard = false;
		stream.heardAt = monotonicNow();
		stream.following = clients.follow(address, {entry: name, applied: holder.state().applied}, {
			onMessage(message) {
				take(address, stream, message);
			},
			onEnd() {
				end(address, stream);
			},
		});
	}

	function open(address: string): void {
		if (!streams.has(address)) {
			const stream: Stream = {
				isFresh: false, heardAt: monotonicNow(), isOpen: false, hasHeard: false, entries: 1,
			};
			streams.set(address, stream);
			start(address, stream);
		}
	}

	function check(): void {
		const now = monotonicNow();
		const all = [...streams.values()];
		for (const [address, stream] of streams) {
			const isSilent = now - stream.heardAt > (stream.hasHeard ? silentMilliseconds : connectMilliseconds);
			if (stream.isOpen && isSilent) {
				stream.following?.stop();
				clients.reopen(address);
			}

			const isWanted = shouldFollow(stream, all, now);
			if (stream.isOpen && !isWanted) {
				stream.following?.stop();
				clients.reopen(address);
			} else if (!stream.isOpen && isWanted) {
				start(address, stream);
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
		leader: () => leader,
		entryCount: () => Math.max(1, ...[...streams.values()].map(({isOpen, entries}) => isOpen ? entries : 1)),
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
