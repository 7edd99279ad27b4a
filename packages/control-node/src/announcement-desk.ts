/**
 * Takes announcements of upstreams at any control instance. What the replicated
 * record shows to be routine is answered here; the rest goes to the leader, as
 * little of it as the leader doesn't know.
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

/** What the desk works with. */
export type AnnouncementDeskParts = {
	readonly holder: DirectoryHolder;
	/** Whether this instance is in touch with a leader that a majority follows. */
	readonly isFresh: () => boolean;
	readonly holdMilliseconds: Milliseconds;
	readonly passOn: (report: AnnouncementReport) => Promise<Result<AnnouncementOutcome, Failure>>;
};

/** An answer is kept back for this long at most: it has to arrive within a second, and passing the announcement on and confirming it take up to 0.4 s between regions. */
const keptMilliseconds: Milliseconds = 350;

/** The lives that have to hear something of their keys: that they got some, or have to give some up. */
const livesWithNews = memoize((ranges: readonly KeyRange[]): ReadonlySet<string> =>
	new Set(ranges.flatMap(range => range.holder !== undefined && !isSettled(range) ? [incarnationText(range.holder)] : [])));

/** Makes the desk. */
export function createAnnouncementDesk({holder, isFresh, holdMilliseconds, passOn}: AnnouncementDeskParts): {readonly announce: (announcement: Announcement) => Promise<Result<AnnouncementAnswer, Failure>>} {
	const kept = new Map<string, () => void>();
	let keys: DirectoryState['keys'] | undefined;
	holder.listen(state => {
		if (kept.size === 0 || state.keys === keys) {
			return;
		}

		keys = state.keys;
		const lives = Object.values(state.keys).map(ranges => livesWithNews(ranges));
		for (const [life, goOn] of kept) {
			if (lives.some(some => some.has(life))) {
				goOn();
			}
		}
	});

	function hasNews({upstream, keys: {life}}: Announcement): boolean {
		return livesWithNews(rangesOf(holder.state().keys, upstream.service)).has(incarnationText(life));
	}

	/**
	 * Keeps an announcement that brings nothing new for a moment, so that an upstream
	 * that should get keys or give them up hears of it at once and not with its next
	 * announcement. One that is giving keys up announces itself often until it has,
	 * and is not kept.
	 */
	async function keep({keys: {life}}: Announcement): Promise<void> {
		const key = incarnationText(life);
		await new Promise<void>(resolve => {
			const goOn = () => {
				clearTimeout(timer);
				if (kept.get(key) === goOn) {
					kept.delete(key);
				}

				resolve();
			};

			const timer = setTimeout(goOn, keptMilliseconds);
			kept.get(key)?.();
			kept.set(key, goOn);
		});
	}

	return {
		async announce(announcement) {
			const {upstream, keys: announced} = announcement;
			if (isFresh() && canAnswerLocally(holder.state(), announcement)) {
				return ok({holdMilliseconds});
			}

			const isKeyed = holder.state().items.service[upstream.service]?.value?.keyed === true;
			const isQuiet = isRecorded(holder.state(), upstream) && upstream.state === UpstreamState.ready && announced.released.length === 0;
			const isKept = isKeyed && isQuiet && !hasNews(announcement);
			if (isKept) {
				await keep(announcement);
			}

			const state = holder.state();
			const ranges = rangesOf(state.keys, upstream.service);
			const report = reportKeys(ranges, announced);
			const outcome = await passOn({
				...(isRecorded(state, upstream) ? {} : {upstream}),
				keys: report,
				isUrgent: !isQuiet || hasNews(announcement),
			});
			return outcome.map(({keyed, rows, holdMilliseconds: held}) => keyed
				? {holdMilliseconds: held, holds: rows ?? rowsToSend(ranges, report)}
				: {holdMilliseconds: held});
		},
	};
}
