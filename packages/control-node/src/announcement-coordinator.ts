/**
 * Handles announcements of upstreams at any control instance. An announcement
 * that is routine by the replicated directory is answered locally; any other is
 * forwarded to the leader, reduced to what the leader doesn't have yet.
 */
import {
	type Announcement, isRecorded, canAnswerLocally,
} from '@dogwooddeck/directory/announcement';
import {type DirectoryState} from '@dogwooddeck/directory/state';
import {UpstreamState} from '@dogwooddeck/directory/upstream';
import {rangesOf} from '@dogwooddeck/key-lease/command';
import {isSettled, type KeyRange, incarnationText} from '@dogwooddeck/key-lease/range';
import {reportKeys, rowsToSend} from '@dogwooddeck/key-lease/report';
import {type AnnouncementAnswer, type AnnouncementOutcome, type AnnouncementReport} from '@dogwooddeck/mesh/calls';
import {memoize} from '@dogwooddeck/model/memoize';
import {type Failure} from '@dogwooddeck/model/failure';
import {type Milliseconds} from '@dogwooddeck/model/identifiers';
import {ok, type Result} from 'true-myth/result';
import {type DirectoryHolder} from './directory-voter.js';

/** The collaborators and options of the announcement coordinator. */
export type AnnouncementCoordinatorDependencies = {
	readonly holder: DirectoryHolder;
	/** Whether this instance's directory is recent: it is the confirmed leader, or in contact with the leader and not behind. */
	readonly isFresh: () => boolean;
	readonly holdMilliseconds: Milliseconds;
	readonly forward: (report: AnnouncementReport) => Promise<Result<AnnouncementOutcome, Failure>>;
};

/** Maximum time to delay an announcement: its answer has to arrive within a second, and forwarding and confirming it take up to 0.4 s between regions. */
const maximumDelayMilliseconds: Milliseconds = 350;

/** The incarnations that have to be notified of a change of their keys: keys granted to them, or keys to release. */
const incarnationsToNotify = memoize((ranges: readonly KeyRange[]): ReadonlySet<string> =>
	new Set(ranges.flatMap(range => range.holder !== undefined && !isSettled(range) ? [incarnationText(range.holder)] : [])));

/** Creates the announcement coordinator. */
export function createAnnouncementCoordinator({holder, isFresh, holdMilliseconds, forward}: AnnouncementCoordinatorDependencies): {readonly announce: (announcement: Announcement) => Promise<Result<AnnouncementAnswer, Failure>>} {
	const delayed = new Map<string, () => void>();
	let keys: DirectoryState['keys'] | undefined;
	holder.listen(state => {
		if (delayed.size === 0 || state.keys === keys) {
			return;
		}

		keys = state.keys;
		const incarnationSets = Object.values(state.keys).map(ranges => incarnationsToNotify(ranges));
		for (const [incarnation, resume] of delayed) {
			if (incarnationSets.some(incarnations => incarnations.has(incarnation))) {
				resume();
			}
		}
	});

	function mustNotify({upstream, keys: {life: incarnation}}: Announcement): boolean {
		return incarnationsToNotify(rangesOf(holder.state().keys, upstream.service)).has(incarnationText(incarnation));
	}

	/**
	 * Delays an announcement that reports nothing new for a moment, so that an
	 * upstream that is granted keys or has to release some is notified at once and
	 * not with its next announcement. An upstream that is releasing keys announces
	 * itself often until it is done, and is not delayed.
	 */
	async function delay({keys: {life: incarnation}}: Announcement): Promise<void> {
		const key = incarnationText(incarnation);
		await new Promise<void>(resolve => {
			const resume = () => {
				clearTimeout(timer);
				if (delayed.get(key) === resume) {
					delayed.delete(key);
				}

				resolve();
			};

			const timer = setTimeout(resume, maximumDelayMilliseconds);
			delayed.get(key)?.();
			delayed.set(key, resume);
		});
	}

	return {
		async announce(announcement) {
			const {upstream, keys: announced} = announcement;
			if (isFresh() && canAnswerLocally(holder.state(), announcement)) {
				return ok({holdMilliseconds});
			}

			const isKeyed = holder.state().items.service[upstream.service]?.value?.keyed === true;
			const reportsNoChange = isRecorded(holder.state(), upstream) && upstream.state === UpstreamState.ready && announced.released.length === 0;
			const isDelayed = isKeyed && reportsNoChange && !mustNotify(announcement);
			if (isDelayed) {
				await delay(announcement);
			}

			const state = holder.state();
			const ranges = rangesOf(state.keys, upstream.service);
			const report = reportKeys(ranges, announced);
			const outcome = await forward({
				...(isRecorded(state, upstream) ? {} : {upstream}),
				keys: report,
				isUrgent: !reportsNoChange || mustNotify(announcement),
			});
			return outcome.map(({keyed, rows, holdMilliseconds: held}) => keyed
				? {holdMilliseconds: held, holds: rows ?? rowsToSend(ranges, report)}
				: {holdMilliseconds: held});
		},
	};
}
