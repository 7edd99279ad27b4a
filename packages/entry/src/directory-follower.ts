/**
 * Follows the directory: streams from all control instances that are known, the
 * newest state wins. A stream that falls silent is opened anew.
 */
import {monotonicNow} from '@dogwooddeck/clock/monotonic';
import {directoryMachine, type DirectoryState} from '@dogwooddeck/directory/state';
import {type FollowMessage} from '@dogwooddeck/mesh/calls';
import {type Following, type MeshClients} from '@dogwooddeck/mesh/client';
import {type Milliseconds, type MonotonicTime} from '@dogwooddeck/model/identifiers';
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
	readonly seeds: readonly string[];
	readonly clients: MeshClients;
	readonly log: Log;
};

/** A stream is silent after this long: its sender writes each 250 ms. */
const silentMilliseconds: Milliseconds = 900;
const checkMilliseconds: Milliseconds = 200;
/** Until a stream has brought its first message it gets more time, to connect. */
const connectMilliseconds: Milliseconds = 1500;

type Stream = {following?: Following; heardAt: MonotonicTime; isOpen: boolean; hasHeard: boolean; lastMessage?: FollowMessage};

/** Starts to follow. */
export function followDirectory({name, seeds, clients, log}: FollowerParts): DirectoryFollower {
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
		stream.lastMessage = message;
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
			const stream: Stream = {heardAt: monotonicNow(), isOpen: false, hasHeard: false};
			streams.set(address, stream);
			start(address, stream);
		}
	}

	function check(): void {
		const now = monotonicNow();
		for (const [address, stream] of streams) {
			const isSilent = now - stream.heardAt > (stream.hasHeard ? silentMilliseconds : connectMilliseconds);
			if (stream.isOpen && isSilent) {
				stream.following?.stop();
				clients.reopen(address);
			}

			if (!stream.isOpen) {
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
		entryCount: () => Math.max(1, ...[...streams.values()].map(({isOpen, lastMessage}) => isOpen ? lastMessage?.entries ?? 1 : 1)),
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
