/**
 * The entries that follow this instance: each gets every change of the
 * directory, and a short message at least as often as it needs to notice silence.
 */
import {type FollowMessage} from '@dogwooddeck/mesh/calls';
import {type Follower} from '@dogwooddeck/mesh/server';
import {type LogIndex, type Milliseconds} from '@dogwooddeck/model/identifiers';
import {type DirectoryHolder} from './directory-voter.js';

/** What each message says beside the changes. */
export type Pulse = Omit<FollowMessage, 'catchUp'>;

/** How often a follower hears something. Entries take three missed messages for silence. */
export const pulseMilliseconds: Milliseconds = 250;

type Followed = {readonly follower: Follower; sent: LogIndex};

/** The followers of this instance. */
export type Followers = {
	readonly add: (follower: Follower) => void;
	/** The names of the entries that follow. */
	readonly names: () => readonly string[];
	readonly stop: () => void;
};

/** Makes the list of followers. */
export function createFollowers(holder: DirectoryHolder, pulse: () => Pulse): Followers {
	const followed = new Set<Followed>();
	let isFlushing = false;

	function send(one: Followed): void {
		const catchUp = holder.after(one.sent);
		const brings = catchUp.state !== undefined || catchUp.entries.length > 0;
		const sent = one.follower.send({...pulse(), ...(brings ? {catchUp} : {})});
		if (sent) {
			one.sent = holder.state().applied;
		}
	}

	function sendToAll(): void {
		for (const one of followed) {
			send(one);
		}
	}

	holder.listen(() => {
		if (!isFlushing) {
			isFlushing = true;
			setImmediate(() => {
				isFlushing = false;
				sendToAll();
			});
		}
	});
	const pulsing = setInterval(sendToAll, pulseMilliseconds);
	return {
		add(follower) {
			const one = {follower, sent: follower.request.applied};
			followed.add(one);
			follower.onEnd(() => {
				followed.delete(one);
			});
			send(one);
		},
		names: () => [...new Set([...followed].map(({follower}) => follower.request.entry))],
		stop() {
			clearInterval(pulsing);
		},
	};
}
