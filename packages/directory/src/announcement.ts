/**
 * What an announcement changes in the record of upstreams.
 */
import {type HeldKeys} from '@dogwooddeck/key-lease/granting';
import {failure, FailureKind, type Failure} from '@dogwooddeck/model/failure';
import {err, ok, type Result} from 'true-myth/result';
import {standing} from './item.js';
import {type DirectoryState, hasDeparted} from './state.js';
import {type UpstreamCommand, type UpstreamRecord} from './upstream.js';

/** What an upstream says of itself, in a regular call. */
export type Announcement = {
	readonly upstream: UpstreamRecord;
	readonly keys: HeldKeys;
};

function sameRecord(one: UpstreamRecord, other: UpstreamRecord): boolean {
	return one.born === other.born && one.service === other.service && one.address === other.address && one.zone === other.zone
		&& one.slots === other.slots && one.state === other.state && one.cold === other.cold;
}

/** Whether the record stands as an upstream announces it. */
export function isRecorded(state: DirectoryState, upstream: UpstreamRecord): boolean {
	const known = state.upstreams[upstream.id];
	return known !== undefined && sameRecord(known, upstream);
}

/** Of the announcements that change nothing, one in so many still goes to the leader, which forgets upstreams that it doesn't hear. */
const routineOf = 4;

/**
 * Whether any control instance that is in touch with the leader may answer: the
 * record stands as it is announced, and the service has no keys to renew.
 */
export function isRoutine(state: DirectoryState, {upstream, keys}: Announcement): boolean {
	const service = state.items.service[upstream.service]?.value;
	return isRecorded(state, upstream) && service?.keyed === false && keys.sequence % routineOf !== 0;
}

/**
 * The commands that record an announcement; none where nothing changed, or
 * where its sender has departed and only gives its keys up. Fails
 * with `notReady` before anything was declared, and with `notFound` where the
 * service is not declared.
 */
export function recordAnnouncement(state: DirectoryState, upstream: UpstreamRecord): Result<readonly UpstreamCommand[], Failure> {
	const services = standing(state.items.service);
	if (services.length === 0) {
		return err(failure(FailureKind.notReady, 'no service is declared yet'));
	}

	if (hasDeparted(state, upstream)) {
		return ok([]);
	}

	if (isRecorded(state, upstream)) {
		return ok([]);
	}

	return services.some(([name]) => name === upstream.service)
		? ok([{kind: 'upstreamAnnounced', upstream}])
		: err(failure(FailureKind.notFound, `there is no service ${upstream.service}`));
}
