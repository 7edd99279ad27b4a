/**
 * Announcements of upstreams: whether one needs the leader, and the commands that
 * record it in the directory.
 */
import {type HeldKeys} from '@dogwooddeck/key-lease/granting';
import {failure, FailureKind, type Failure} from '@dogwooddeck/model/failure';
import {err, ok, type Result} from 'true-myth/result';
import {hasDeparted} from './departure.js';
import {definedItems} from './item.js';
import {type DirectoryState} from './state.js';
import {type UpstreamCommand, type UpstreamRecord} from './upstream.js';

/** What an upstream periodically reports about itself and its keys. */
export type Announcement = {
	readonly upstream: UpstreamRecord;
	readonly keys: HeldKeys;
};

function sameRecord(one: UpstreamRecord, other: UpstreamRecord): boolean {
	return one.born === other.born && one.service === other.service && one.address === other.address && one.zone === other.zone
		&& one.slots === other.slots && one.state === other.state && one.cold === other.cold;
}

/** Whether the directory's record matches the announced one. */
export function isRecorded(state: DirectoryState, upstream: UpstreamRecord): boolean {
	const recorded = state.upstreams[upstream.id];
	return recorded !== undefined && sameRecord(recorded, upstream);
}

/** One in this many announcements without changes is still sent to the leader, which removes upstreams without contact. */
const leaderAnnouncementInterval = 4;

/**
 * Whether any control instance in contact with the leader may answer an
 * announcement itself: the record matches, and the service has no keys to renew.
 */
export function canAnswerLocally(state: DirectoryState, {upstream, keys}: Announcement): boolean {
	const service = state.items.service[upstream.service]?.value;
	return isRecorded(state, upstream) && service?.keyed === false && keys.sequence % leaderAnnouncementInterval !== 0;
}

/**
 * Returns the commands that record an announcement: none if nothing changed, or
 * if its sender has departed and only releases its keys. Fails with `notReady`
 * before any service is declared, and with `notFound` if the service is not
 * declared.
 */
export function recordAnnouncement(state: DirectoryState, upstream: UpstreamRecord): Result<readonly UpstreamCommand[], Failure> {
	const services = definedItems(state.items.service);
	if (services.length === 0) {
		return err(failure(FailureKind.notReady, 'no service is declared yet'));
	}

	if (hasDeparted(state.departures, upstream)) {
		return ok([]);
	}

	if (isRecorded(state, upstream)) {
		return ok([]);
	}

	return services.some(([name]) => name === upstream.service)
		? ok([{kind: 'upstreamAnnounced', upstream}])
		: err(failure(FailureKind.notFound, `there is no service ${upstream.service}`));
}
