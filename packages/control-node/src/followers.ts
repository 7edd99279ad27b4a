/**
 * Streams to the entries that follow this instance: every change of the directory
 * for those that request changes, and a heartbeat that lets each detect loss of contact.
 */
import {type Buffer} from 'node:buffer';
import {type FollowMessage} from '@dogwooddeck/mesh/calls';
import {type Follower} from '@dogwooddeck/mesh/server';
import {encodeMessage} from '@dogwooddeck/mesh/encoding';
import {type LogIndex, type Milliseconds} from '@dogwooddeck/model/identifiers';
import {type DirectoryHolder} from './directory-voter.js';

/** The fields of each message other than the changes. */
export type Heartbeat = Omit<FollowMessage, 'catchUp'>;

/** Changes within this window are sent together: each message is written to every follower. */
const batchMilliseconds: Milliseconds = 40;

/** Interval of the heartbeats. Entries treat three missed messages as loss of contact. */
export const heartbeatMilliseconds: Milliseconds = 250;

type FollowerState = {readonly follower: Follower; sent: LogIndex};

/** The followers of this instance. */
export type Followers = {
	readonly add: (follower: Follower) => void;
	/** The names of the following entries. */
	readonly names: () => readonly string[];
	/** The names of the entries that receive the changes. */
	readonly changeReceivers: () => readonly string[];
	readonly stop: () => void;
};

/** Creates the list of followers. */
export function createFollowers(holder: DirectoryHolder, heartbeat: () => Heartbeat): Followers {
	const followerStates = new Set<FollowerState>();
	let isFlushing = false;

	function messageFor(sent: LogIndex): FollowMessage {
		const catchUp = holder.catchUpAfter(sent);
		return {...heartbeat(), ...(catchUp.state !== undefined || catchUp.entries.length > 0 ? {catchUp} : {})};
	}

	/** Followers at the same log index get the same message, which is encoded once. */
	function sendTo(recipients: Iterable<FollowerState>): void {
		const encoded = new Map<LogIndex | undefined, Buffer>();
		for (const one of recipients) {
			const sentIndex = one.follower.request.wantsChanges ? one.sent : undefined;
			const message = encoded.get(sentIndex) ?? encodeMessage(sentIndex === undefined ? heartbeat() : messageFor(sentIndex));
			encoded.set(sentIndex, message);
			if (one.follower.send(message)) {
				one.sent = holder.state().applied;
			}
		}
	}

	holder.listen(() => {
		if (!isFlushing) {
			isFlushing = true;
			setTimeout(() => {
				isFlushing = false;
				sendTo([...followerStates].filter(({follower}) => follower.request.wantsChanges));
			}, batchMilliseconds);
		}
	});
	const heartbeatTimer = setInterval(() => {
		sendTo(followerStates);
	}, heartbeatMilliseconds);
	return {
		add(follower) {
			const one = {follower, sent: follower.request.applied};
			followerStates.add(one);
			follower.onEnd(() => {
				followerStates.delete(one);
			});
			sendTo([one]);
		},
		changeReceivers: () => [...new Set([...followerStates].flatMap(({follower: {request}}) => request.wantsChanges ? [request.entry] : []))],
		names: () => [...new Set([...followerStates].map(({follower}) => follower.request.entry))],
		stop() {
			clearInterval(heartbeatTimer);
		},
	};
}
